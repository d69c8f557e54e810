#include "packages/workload/preemption.h"

#include <algorithm>
#include <map>
#include <utility>

namespace carobrill::workload {
namespace {

/// Room and choices while a plan for one scope is worked out.
struct Attempt {
  std::vector<Resources> soon;
  std::vector<bool> chosen;
  std::map<std::size_t, std::uint32_t> placed;
  PreemptionPlan plan;
};

using VictimsByWorker = std::map<std::size_t, std::vector<std::size_t>>;

VictimsByWorker IndexByWorker(const std::vector<Victim>& victims) {
  VictimsByWorker by_worker;
  for (std::size_t v = 0; v < victims.size(); ++v) {
    for (const auto& [worker, room] : victims[v].room) {
      auto& list = by_worker[worker];
      if (list.empty() || list.back() != v) {
        list.push_back(v);
      }
    }
  }
  for (auto& [worker, list] : by_worker) {
    std::ranges::stable_sort(list, {},
                             [&](std::size_t v) { return victims[v].cost; });
  }
  return by_worker;
}

Resources RoomOn(const Victim& victim, std::size_t worker) {
  Resources total;
  for (const auto& [index, room] : victim.room) {
    if (index == worker) {
      total += room;
    }
  }
  return total;
}

/// Victims to stop on one worker so that one more task fits there.
struct Step {
  std::size_t worker = 0;
  std::vector<std::size_t> victims;
  double cost = 0;
};

// Takes victims by rising cost until the task fits, then spares those that
// turn out not to be needed, the most costly first.
std::optional<Step> StepOn(const Resources& demand,
                           std::size_t worker,
                           const std::vector<Victim>& victims,
                           const VictimsByWorker& by_worker,
                           const Attempt& attempt) {
  Step step{worker, {}, 0};
  Resources room = attempt.soon[worker];
  const auto list = by_worker.find(worker);
  if (list != by_worker.end()) {
    for (const std::size_t v : list->second) {
      if (demand.FitsIn(room)) {
        break;
      }
      if (!attempt.chosen[v]) {
        room += RoomOn(victims[v], worker);
        step.victims.push_back(v);
      }
    }
  }
  if (!demand.FitsIn(room)) {
    return std::nullopt;
  }
  for (std::size_t i = step.victims.size(); i-- > 0;) {
    Resources without = room;
    without -= RoomOn(victims[step.victims[i]], worker);
    if (demand.FitsIn(without)) {
      room = without;
      step.victims.erase(step.victims.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
  for (const std::size_t v : step.victims) {
    step.cost += victims[v].cost;
  }
  return step;
}

bool SpreadAllows(const PlacementUnit& unit,
                  const WorkerRoom& room,
                  std::uint32_t placed) {
  const std::uint32_t limit = unit.Spec().max_per_worker;
  const auto held = unit.held.find(room.worker->description.life);
  const std::uint32_t taken = held == unit.held.end() ? 0 : held->second;
  return limit == 0 || taken + placed < limit;
}

void Accept(const Step& step,
            const Resources& demand,
            const std::vector<Victim>& victims,
            Attempt& attempt) {
  for (const std::size_t v : step.victims) {
    attempt.chosen[v] = true;
    attempt.plan.victims.push_back(v);
    for (const auto& [worker, room] : victims[v].room) {
      attempt.soon[worker] += room;
    }
  }
  attempt.soon[step.worker] -= demand;
  ++attempt.placed[step.worker];
  attempt.plan.workers.push_back(step.worker);
  attempt.plan.cost += step.cost;
}

std::optional<PreemptionPlan> PlanWithin(const PlacementUnit& unit,
                                         const RoomMap& map,
                                         const std::vector<std::size_t>& scope,
                                         const std::vector<Victim>& victims,
                                         const VictimsByWorker& by_worker) {
  const Resources demand = unit.Spec().Room();
  Attempt attempt;
  attempt.chosen.assign(victims.size(), false);
  for (const WorkerRoom& room : map.Rooms()) {
    attempt.soon.push_back(room.soon);
  }
  for (std::size_t i = 0; i < unit.tasks.size(); ++i) {
    std::optional<Step> best;
    for (const std::size_t worker : scope) {
      if (!SpreadAllows(unit, map.Rooms()[worker], attempt.placed[worker])) {
        continue;
      }
      auto step = StepOn(demand, worker, victims, by_worker, attempt);
      if (step.has_value() && (!best.has_value() || step->cost < best->cost)) {
        best = std::move(step);
      }
    }
    if (!best.has_value()) {
      return std::nullopt;
    }
    Accept(*best, demand, victims, attempt);
  }
  return std::move(attempt.plan);
}

}  // namespace

std::optional<PreemptionPlan> PlanPreemption(
    const PlacementUnit& unit,
    const RoomMap& map,
    const PlacementRules& rules,
    const std::vector<Victim>& victims) {
  const VictimsByWorker by_worker = IndexByWorker(victims);
  std::optional<PreemptionPlan> best;
  for (const auto& scope : Scopes(unit, map, rules)) {
    auto plan = PlanWithin(unit, map, scope, victims, by_worker);
    if (plan.has_value() && (!best.has_value() || plan->cost < best->cost)) {
      best = std::move(plan);
    }
  }
  return best;
}

}  // namespace carobrill::workload
