#include "packages/workload/placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace carobrill::workload {
namespace {

const Resources& CapacityOf(const WorkerCapacity& entry, CapacityKind kind) {
  return kind == CapacityKind::kFree ? entry.free : entry.future_free;
}

std::uint32_t RemainingSpreadLimit(const PlacementUnit& unit,
                                   const WorkerCapacity& entry) {
  const std::uint32_t limit = unit.Spec().max_per_worker;
  if (limit == 0) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  const auto existing =
      unit.tasks_by_worker.find(entry.worker->description.incarnation);
  const std::uint32_t taken =
      existing == unit.tasks_by_worker.end() ? 0 : existing->second;
  return limit > taken ? limit - taken : 0;
}

/// Number of tasks of the unit that fit on the worker.
std::uint32_t CountSlots(const PlacementUnit& unit,
                         const WorkerCapacity& entry,
                         CapacityKind kind) {
  const Resources demand = unit.Spec().PlacementDemand();
  Resources left = CapacityOf(entry, kind);
  const auto most = std::min<std::uint64_t>(RemainingSpreadLimit(unit, entry),
                                            unit.tasks.size());
  std::uint32_t slots = 0;
  while (slots < most && demand.FitsIn(left)) {
    left -= demand;
    ++slots;
  }
  return slots;
}

/// A worker and the number of the unit's tasks that fit on it.
struct Candidate {
  std::size_t index = 0;
  std::uint32_t slots = 0;
  /// Weighted share of the worker's capacity that stays unused when it takes
  /// all `slots`; a small share is a tight fit.
  double remaining_share = 0;
};

/// Selected workers, one per task, and their total unused share.
struct Selection {
  std::vector<std::size_t> workers;
  double remaining_share = 0;
};

Candidate EvaluateWorker(const PlacementUnit& unit,
                         const CapacityMap& map,
                         std::size_t index,
                         CapacityKind kind) {
  const WorkerCapacity& entry = map.Entries()[index];
  Candidate candidate{index, CountSlots(unit, entry, kind), 0};
  Resources left = CapacityOf(entry, kind);
  for (std::uint32_t i = 0; i < candidate.slots; ++i) {
    left -= unit.Spec().PlacementDemand();
  }
  const Resources& capacity = entry.worker->description.capacity;
  // Accelerators run out first for large tasks, so they have twice the weight.
  candidate.remaining_share =
      2 * DominantShare({0, 0, left.accelerators}, capacity) +
      DominantShare({left.cpu_millis, left.memory_mb, 0}, capacity);
  return candidate;
}

std::optional<Selection> PackTasks(const PlacementUnit& unit,
                                   const CapacityMap& map,
                                   const std::vector<std::size_t>& worker_set,
                                   CapacityKind kind) {
  std::vector<Candidate> candidates;
  std::uint64_t total = 0;
  for (const std::size_t index : worker_set) {
    const Candidate candidate = EvaluateWorker(unit, map, index, kind);
    if (candidate.slots > 0) {
      candidates.push_back(candidate);
      total += candidate.slots;
    }
  }
  if (total < unit.tasks.size()) {
    return std::nullopt;
  }
  std::ranges::sort(candidates, [](const Candidate& a, const Candidate& b) {
    return std::pair(a.remaining_share, a.index) <
           std::pair(b.remaining_share, b.index);
  });
  Selection selection;
  for (const Candidate& candidate : candidates) {
    for (std::uint32_t i = 0;
         i < candidate.slots && selection.workers.size() < unit.tasks.size();
         ++i) {
      selection.workers.push_back(candidate.index);
    }
    selection.remaining_share += candidate.remaining_share;
    if (selection.workers.size() == unit.tasks.size()) {
      break;
    }
  }
  return selection;
}

}  // namespace

bool IsEligible(const PlacementUnit& unit,
                const WorkerCapacity& entry,
                const PlacementConstraints& constraints) {
  const StepSpec& spec = unit.Spec();
  const WorkerDescription& worker = entry.worker->description;
  const bool on_data_rack = spec.data_rack.empty() ||
                            constraints.allow_any_rack ||
                            worker.rack.value == spec.data_rack;
  const bool has_label =
      spec.worker_label.empty() || worker.labels.contains(spec.worker_label);
  const bool allowed = !unit.allowed_workers.has_value() ||
                       unit.allowed_workers->contains(worker.incarnation);
  return entry.schedulable && on_data_rack && has_label && allowed &&
         (constraints.allow_avoided || !entry.avoided) &&
         worker.service == unit.submission->service;
}

std::vector<std::vector<std::size_t>> CandidateSets(
    const PlacementUnit& unit,
    const CapacityMap& map,
    const PlacementConstraints& constraints) {
  const bool by_rack = unit.Spec().one_rack && !constraints.allow_any_rack;
  std::map<RackId, std::vector<std::size_t>> sets;
  for (std::size_t i = 0; i < map.Entries().size(); ++i) {
    const WorkerCapacity& entry = map.Entries()[i];
    if (IsEligible(unit, entry, constraints)) {
      sets[by_rack ? entry.worker->description.rack : RackId()].push_back(i);
    }
  }
  std::vector<std::vector<std::size_t>> result;
  result.reserve(sets.size());
  for (auto& [rack, indexes] : sets) {
    result.push_back(std::move(indexes));
  }
  return result;
}

std::optional<std::vector<std::size_t>> SelectWorkers(
    const PlacementUnit& unit,
    const CapacityMap& map,
    const PlacementConstraints& constraints) {
  std::optional<Selection> best;
  for (const auto& worker_set : CandidateSets(unit, map, constraints)) {
    auto selection = PackTasks(unit, map, worker_set, constraints.capacity);
    if (selection.has_value() &&
        (!best.has_value() ||
         selection->remaining_share < best->remaining_share)) {
      best = std::move(selection);
    }
  }
  if (!best.has_value()) {
    return std::nullopt;
  }
  return best->workers;
}

}  // namespace carobrill::workload
