#include "packages/workload/placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace carobrill::workload {
namespace {

const Resources& RoomOf(const WorkerRoom& room, RoomKind kind) {
  return kind == RoomKind::kFree ? room.free : room.soon;
}

std::uint32_t AllowedBySpread(const PlacementUnit& unit,
                              const WorkerRoom& room) {
  const std::uint32_t limit = unit.Spec().max_per_worker;
  if (limit == 0) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  const auto held = unit.held.find(room.worker->description.life);
  const std::uint32_t taken = held == unit.held.end() ? 0 : held->second;
  return limit > taken ? limit - taken : 0;
}

/// Tasks of the unit that fit on the worker.
std::uint32_t Slots(const PlacementUnit& unit,
                    const WorkerRoom& room,
                    RoomKind kind) {
  const Resources demand = unit.Spec().Room();
  Resources left = RoomOf(room, kind);
  const auto most =
      std::min<std::uint64_t>(AllowedBySpread(unit, room), unit.tasks.size());
  std::uint32_t slots = 0;
  while (slots < most && demand.FitsIn(left)) {
    left -= demand;
    ++slots;
  }
  return slots;
}

/// A candidate and how many of the unit's tasks it takes.
struct Candidate {
  std::size_t index = 0;
  std::uint32_t slots = 0;
  /// Share of the worker that is left over; small is a tight fit.
  double left_over = 0;
};

/// A choice and how much room it leaves unusable.
struct Choice {
  std::vector<std::size_t> workers;
  double left_over = 0;
};

Candidate Measure(const PlacementUnit& unit,
                  const RoomMap& map,
                  std::size_t index,
                  RoomKind kind) {
  const WorkerRoom& room = map.Rooms()[index];
  Candidate candidate{index, Slots(unit, room, kind), 0};
  Resources left = RoomOf(room, kind);
  for (std::uint32_t i = 0; i < candidate.slots; ++i) {
    left -= unit.Spec().Room();
  }
  const Resources& capacity = room.worker->description.capacity;
  // Accelerators are what large tasks lack first, so they weigh double.
  candidate.left_over =
      2 * DominantShare({0, 0, left.accelerators}, capacity) +
      DominantShare({left.cpu_millis, left.memory_mb, 0}, capacity);
  return candidate;
}

std::optional<Choice> Pack(const PlacementUnit& unit,
                           const RoomMap& map,
                           const std::vector<std::size_t>& scope,
                           RoomKind kind) {
  std::vector<Candidate> candidates;
  std::uint64_t total = 0;
  for (const std::size_t index : scope) {
    const Candidate candidate = Measure(unit, map, index, kind);
    if (candidate.slots > 0) {
      candidates.push_back(candidate);
      total += candidate.slots;
    }
  }
  if (total < unit.tasks.size()) {
    return std::nullopt;
  }
  std::ranges::sort(candidates, [](const Candidate& a, const Candidate& b) {
    return std::pair(a.left_over, a.index) < std::pair(b.left_over, b.index);
  });
  Choice choice;
  for (const Candidate& candidate : candidates) {
    for (std::uint32_t i = 0;
         i < candidate.slots && choice.workers.size() < unit.tasks.size();
         ++i) {
      choice.workers.push_back(candidate.index);
    }
    choice.left_over += candidate.left_over;
    if (choice.workers.size() == unit.tasks.size()) {
      break;
    }
  }
  return choice;
}

}  // namespace

bool Eligible(const PlacementUnit& unit,
              const WorkerRoom& room,
              const PlacementRules& rules) {
  const StepSpec& spec = unit.Spec();
  const WorkerDescription& worker = room.worker->description;
  const bool near = spec.data_rack.empty() || rules.any_rack ||
                    worker.rack.value == spec.data_rack;
  const bool labelled =
      spec.worker_label.empty() || worker.labels.contains(spec.worker_label);
  const bool allowed =
      !unit.allowed.has_value() || unit.allowed->contains(worker.life);
  return room.usable && near && labelled && allowed &&
         (rules.any_health || !room.avoided) &&
         worker.service == unit.submission->service;
}

std::vector<std::vector<std::size_t>> Scopes(const PlacementUnit& unit,
                                             const RoomMap& map,
                                             const PlacementRules& rules) {
  const bool by_rack = unit.Spec().one_rack && !rules.any_rack;
  std::map<RackId, std::vector<std::size_t>> scopes;
  for (std::size_t i = 0; i < map.Rooms().size(); ++i) {
    const WorkerRoom& room = map.Rooms()[i];
    if (Eligible(unit, room, rules)) {
      scopes[by_rack ? room.worker->description.rack : RackId()].push_back(i);
    }
  }
  std::vector<std::vector<std::size_t>> result;
  result.reserve(scopes.size());
  for (auto& [rack, indexes] : scopes) {
    result.push_back(std::move(indexes));
  }
  return result;
}

std::optional<std::vector<std::size_t>> Place(const PlacementUnit& unit,
                                              const RoomMap& map,
                                              const PlacementRules& rules) {
  std::optional<Choice> best;
  for (const auto& scope : Scopes(unit, map, rules)) {
    auto choice = Pack(unit, map, scope, rules.room);
    if (choice.has_value() &&
        (!best.has_value() || choice->left_over < best->left_over)) {
      best = std::move(choice);
    }
  }
  if (!best.has_value()) {
    return std::nullopt;
  }
  return best->workers;
}

}  // namespace carobrill::workload
