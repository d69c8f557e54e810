#ifndef PACKAGES_WORKLOAD_PLACEMENT_H_
#define PACKAGES_WORKLOAD_PLACEMENT_H_

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "packages/workload/capacity_map.h"
#include "packages/workload/job.h"

namespace carobrill::workload {

/// Tasks of one step that are placed together: a whole gang, or one task.
struct PlacementUnit {
  const Submission* submission = nullptr;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  /// Indexes of the tasks within the step.
  std::vector<std::uint32_t> tasks;
  /// Tasks of the same step that each worker holds already.
  std::map<WorkerLife, std::uint32_t> tasks_by_worker;
  /// Workers that the queue's policy allows; unset when it has none.
  std::optional<std::set<WorkerLife>> allowed_workers;

  const StepSpec& Spec() const { return this->submission->spec.steps[step]; }
};

/// Which room a placement may use.
enum class CapacityKind { kFree, kFutureFree };

/// How picky a placement is.
struct PlacementConstraints {
  CapacityKind capacity = CapacityKind::kFree;
  /// Accept a rack that slows the tasks down.
  bool allow_any_rack = false;
  /// Accept workers that failed lately.
  bool allow_avoided = false;
};

/// True when the worker may run tasks of the unit, room aside.
bool IsEligible(const PlacementUnit& unit,
                const WorkerCapacity& entry,
                const PlacementConstraints& constraints);

/// Sets of workers, by index, among which the whole unit may be placed: one a
/// rack when the unit wants one rack, else one of all workers.
std::vector<std::vector<std::size_t>> CandidateSets(
    const PlacementUnit& unit,
    const CapacityMap& map,
    const PlacementConstraints& constraints);

/// Chooses a worker for each task of the unit, all or none, so that the least
/// usable room is left over. Returns indexes into the map, or nothing.
std::optional<std::vector<std::size_t>> SelectWorkers(
    const PlacementUnit& unit,
    const CapacityMap& map,
    const PlacementConstraints& constraints);

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_PLACEMENT_H_
