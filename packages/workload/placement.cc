#include "packages/workload/placement.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace carobrill::workload {
namespace {

const Resources& CapacityOf(const WorkerCapacity& entry, CapacityKind kind) {
  return kind == CapacityKind::kFree ? entry.free : entry.future_free;
}

/// A worker and the number of the unit's tasks that fit on it.
struct Candidate {
  std::size_t index = 0;
  std::uint32_t slots = 0;
  /// Weighted share of the worker's capacity that stays unused when it takes
  /// all `slots`; a small share is a tight fit.
  double remaining_share = 0;

  bool operator<(const Candidate& other) const {
    return std::pair(this->remaining_share, this->index) <
           std::pair(other.remaining_share, other.index);
  }
};

/// Candidates of one rack, or of all racks.
struct CandidateSet {
  std::vector<Candidate> candidates;
  std::uint64_t slots = 0;
};

/// Selected workers, one per task, and their total unused share.
struct Selection {
  std::vector<std::size_t> workers;
  double remaining_share = 0;
};

/// Cost of a worker's speed, in units of unused share: a worker of half the
/// speed counts as much as a quarter of unused accelerators. A worker of
/// unknown speed counts as slow, so that work which can wait shows its speed
/// first.
double SpeedCost(SpeedPreference preference, const Worker& worker) {
  constexpr double kCostOfSpeed = 1;
  const double speed =
      worker.speed_known ? worker.speed : worker.speed * kSlowWorkerSpeed;
  switch (preference) {
    case SpeedPreference::kFast:
      return -kCostOfSpeed * speed;
    case SpeedPreference::kSlow:
      return kCostOfSpeed * speed;
    case SpeedPreference::kNone:
      break;
  }
  return 0;
}

Candidate EvaluateWorker(const PlacementUnit& unit,
                         const WorkerCapacity& entry,
                         std::size_t index,
                         const Resources& demand,
                         CapacityKind kind) {
  const auto most = std::min<std::uint64_t>(RemainingSpreadLimit(unit, entry),
                                            unit.tasks.size());
  Resources left = CapacityOf(entry, kind);
  const auto slots =
      static_cast<std::uint32_t>(demand.CountFitting(left, most));
  left -= demand.Times(slots);
  const Resources& capacity = entry.worker->description.capacity;
  // Accelerators run out first for large tasks, so they have twice the weight.
  const double remaining_share =
      2 * DominantShare({0, 0, left.accelerators}, capacity) +
      DominantShare({left.cpu_millis, left.memory_mb, 0}, capacity) +
      SpeedCost(unit.speed_preference, *entry.worker);
  return {index, slots, remaining_share};
}

// Takes the tightest fits first.
Selection PackTasks(std::size_t tasks, CandidateSet& set) {
  Selection selection;
  if (tasks == 1) {
    const Candidate& best = *std::ranges::min_element(
        set.candidates,
        [](const Candidate& a, const Candidate& b) { return a < b; });
    return {{best.index}, best.remaining_share};
  }
  std::ranges::sort(set.candidates, [](const Candidate& a, const Candidate& b) {
    return a < b;
  });
  for (const Candidate& candidate : set.candidates) {
    for (std::uint32_t i = 0;
         i < candidate.slots && selection.workers.size() < tasks; ++i) {
      selection.workers.push_back(candidate.index);
    }
    selection.remaining_share += candidate.remaining_share;
    if (selection.workers.size() == tasks) {
      break;
    }
  }
  return selection;
}

bool StaysOnOneRack(const PlacementUnit& unit,
                    const PlacementConstraints& constraints) {
  return unit.Spec().one_rack && !constraints.allow_any_rack;
}

}  // namespace

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

bool IsEligible(const PlacementUnit& unit,
                const WorkerCapacity& entry,
                const PlacementConstraints& constraints) {
  if (!entry.schedulable || (entry.avoided && !constraints.allow_avoided) ||
      (entry.headroom && !constraints.allow_headroom) ||
      (entry.occupied && constraints.idle_only) ||
      entry.worker->speed < constraints.min_speed ||
      (unit.paced && entry.starting_bytes >= kMaxStartingBytesOfWorker)) {
    return false;
  }
  // If the worker crashes, it must be known which of the jobs did it.
  if (entry.suspect_job != nullptr &&
      (unit.worker_crashes > 0 || entry.exclusive) &&
      *entry.suspect_job != unit.submission->id) {
    return false;
  }
  const StepSpec& spec = unit.Spec();
  const WorkerDescription& worker = entry.worker->description;
  const bool on_data_rack = spec.data_rack.empty() ||
                            constraints.allow_any_rack ||
                            worker.rack.value == spec.data_rack;
  return on_data_rack && worker.service == unit.submission->service &&
         (spec.worker_label.empty() ||
          worker.labels.contains(spec.worker_label)) &&
         (!unit.allowed_workers.has_value() ||
          unit.allowed_workers->contains(worker.incarnation));
}

bool FitsIfIdle(const PlacementUnit& unit, CapacityMap& map, double min_speed) {
  const Resources demand = unit.Spec().PlacementDemand();
  const PlacementConstraints anywhere{
      CapacityKind::kFree, true, true, true, false, min_speed};
  std::vector<std::uint64_t> slots;
  for (std::size_t i = 0; i < map.Entries().size(); ++i) {
    const WorkerCapacity& entry = map.Entries()[i];
    if (!IsEligible(unit, entry, anywhere)) {
      continue;
    }
    const std::size_t rack =
        unit.Spec().one_rack ? map.RackNumbers()[i] : std::size_t{0};
    slots.resize(std::max(slots.size(), rack + 1));
    slots[rack] += demand.CountFitting(
        entry.worker->description.capacity,
        std::min<std::uint64_t>(RemainingSpreadLimit(unit, entry),
                                unit.tasks.size()));
    if (slots[rack] >= unit.tasks.size()) {
      return true;
    }
  }
  return false;
}

bool FitsOnOneRack(const PlacementUnit& unit, CapacityMap& map) {
  return !unit.Spec().one_rack || FitsIfIdle(unit, map, 0);
}

std::vector<std::vector<std::size_t>> CandidateSets(
    const PlacementUnit& unit,
    CapacityMap& map,
    const PlacementConstraints& constraints) {
  const bool by_rack = StaysOnOneRack(unit, constraints);
  std::vector<std::vector<std::size_t>> sets;
  for (std::size_t i = 0; i < map.Entries().size(); ++i) {
    if (!IsEligible(unit, map.Entries()[i], constraints)) {
      continue;
    }
    const std::size_t set = by_rack ? map.RackNumbers()[i] : 0;
    sets.resize(std::max(sets.size(), set + 1));
    sets[set].push_back(i);
  }
  std::erase_if(sets, [](const auto& set) { return set.empty(); });
  return sets;
}

std::optional<std::vector<std::size_t>> SelectWorkers(
    const PlacementUnit& unit,
    CapacityMap& map,
    const PlacementConstraints& constraints) {
  const bool by_rack = StaysOnOneRack(unit, constraints);
  const Resources demand = unit.Spec().PlacementDemand();
  std::vector<CandidateSet> sets;
  for (std::size_t i = 0; i < map.Entries().size(); ++i) {
    const WorkerCapacity& entry = map.Entries()[i];
    // Most workers are full under load, so capacity is compared first.
    if (!demand.FitsIn(CapacityOf(entry, constraints.capacity)) ||
        !IsEligible(unit, entry, constraints)) {
      continue;
    }
    const Candidate candidate =
        EvaluateWorker(unit, entry, i, demand, constraints.capacity);
    if (candidate.slots > 0) {
      const std::size_t set = by_rack ? map.RackNumbers()[i] : 0;
      sets.resize(std::max(sets.size(), set + 1));
      sets[set].candidates.push_back(candidate);
      sets[set].slots += candidate.slots;
    }
  }
  std::optional<Selection> best;
  for (CandidateSet& set : sets) {
    if (set.slots < unit.tasks.size()) {
      continue;
    }
    Selection selection = PackTasks(unit.tasks.size(), set);
    if (!best.has_value() ||
        selection.remaining_share < best->remaining_share) {
      best = std::move(selection);
    }
  }
  if (!best.has_value()) {
    return std::nullopt;
  }
  return std::move(best->workers);
}

}  // namespace carobrill::workload
