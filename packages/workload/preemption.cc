#include "packages/workload/preemption.h"

#include <algorithm>
#include <map>
#include <utility>

namespace carobrill::workload {
namespace {

/// Capacity and decisions so far while a plan for one set of workers is built.
struct SearchState {
  std::vector<Resources> future_free;
  std::vector<bool> selected;
  std::map<std::size_t, std::uint32_t> placed;
  PreemptionPlan plan;
};

using VictimsByWorker = std::map<std::size_t, std::vector<std::size_t>>;

VictimsByWorker IndexByWorker(const std::vector<Victim>& victims) {
  VictimsByWorker by_worker;
  for (std::size_t v = 0; v < victims.size(); ++v) {
    for (const auto& [worker, freed] : victims[v].freed) {
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

Resources ResourcesFreedOn(const Victim& victim, std::size_t worker) {
  Resources total;
  for (const auto& [index, freed] : victim.freed) {
    if (index == worker) {
      total += freed;
    }
  }
  return total;
}

/// Victims to stop so that one more task fits on a worker.
struct Eviction {
  std::size_t worker = 0;
  std::vector<std::size_t> victims;
  double cost = 0;
};

// Adds victims in order of increasing cost until the task fits, then removes
// those that turn out not to be needed, the most expensive first.
std::optional<Eviction> FindEviction(const Resources& demand,
                                     std::size_t worker,
                                     const std::vector<Victim>& victims,
                                     const VictimsByWorker& by_worker,
                                     const SearchState& state) {
  Eviction eviction{worker, {}, 0};
  Resources available = state.future_free[worker];
  const auto list = by_worker.find(worker);
  if (list != by_worker.end()) {
    for (const std::size_t v : list->second) {
      if (demand.FitsIn(available)) {
        break;
      }
      if (!state.selected[v]) {
        available += ResourcesFreedOn(victims[v], worker);
        eviction.victims.push_back(v);
      }
    }
  }
  if (!demand.FitsIn(available)) {
    return std::nullopt;
  }
  for (std::size_t i = eviction.victims.size(); i-- > 0;) {
    Resources remaining = available;
    remaining -= ResourcesFreedOn(victims[eviction.victims[i]], worker);
    if (demand.FitsIn(remaining)) {
      available = remaining;
      eviction.victims.erase(eviction.victims.begin() +
                             static_cast<std::ptrdiff_t>(i));
    }
  }
  for (const std::size_t v : eviction.victims) {
    eviction.cost += victims[v].cost;
  }
  return eviction;
}

bool IsWithinSpreadLimit(const PlacementUnit& unit,
                         const WorkerCapacity& entry,
                         std::uint32_t placed) {
  const std::uint32_t limit = unit.Spec().max_per_worker;
  const auto existing =
      unit.tasks_by_worker.find(entry.worker->description.incarnation);
  const std::uint32_t taken =
      existing == unit.tasks_by_worker.end() ? 0 : existing->second;
  return limit == 0 || taken + placed < limit;
}

void ApplyEviction(const Eviction& eviction,
                   const Resources& demand,
                   const std::vector<Victim>& victims,
                   SearchState& state) {
  for (const std::size_t v : eviction.victims) {
    state.selected[v] = true;
    state.plan.victims.push_back(v);
    for (const auto& [worker, freed] : victims[v].freed) {
      state.future_free[worker] += freed;
    }
  }
  state.future_free[eviction.worker] -= demand;
  ++state.placed[eviction.worker];
  state.plan.workers.push_back(eviction.worker);
  state.plan.cost += eviction.cost;
}

std::optional<PreemptionPlan> PlanForSet(
    const PlacementUnit& unit,
    const CapacityMap& map,
    const std::vector<std::size_t>& worker_set,
    const std::vector<Victim>& victims,
    const VictimsByWorker& by_worker) {
  const Resources demand = unit.Spec().PlacementDemand();
  SearchState state;
  state.selected.assign(victims.size(), false);
  for (const WorkerCapacity& entry : map.Entries()) {
    state.future_free.push_back(entry.future_free);
  }
  for (std::size_t i = 0; i < unit.tasks.size(); ++i) {
    std::optional<Eviction> best;
    for (const std::size_t worker : worker_set) {
      if (!IsWithinSpreadLimit(unit, map.Entries()[worker],
                               state.placed[worker])) {
        continue;
      }
      auto eviction = FindEviction(demand, worker, victims, by_worker, state);
      if (eviction.has_value() &&
          (!best.has_value() || eviction->cost < best->cost)) {
        best = std::move(eviction);
      }
    }
    if (!best.has_value()) {
      return std::nullopt;
    }
    ApplyEviction(*best, demand, victims, state);
  }
  return std::move(state.plan);
}

}  // namespace

std::optional<PreemptionPlan> PlanPreemption(
    const PlacementUnit& unit,
    const CapacityMap& map,
    const PlacementConstraints& constraints,
    const std::vector<Victim>& victims) {
  const VictimsByWorker by_worker = IndexByWorker(victims);
  std::optional<PreemptionPlan> best;
  for (const auto& worker_set : CandidateSets(unit, map, constraints)) {
    auto plan = PlanForSet(unit, map, worker_set, victims, by_worker);
    if (plan.has_value() && (!best.has_value() || plan->cost < best->cost)) {
      best = std::move(plan);
    }
  }
  return best;
}

}  // namespace carobrill::workload
