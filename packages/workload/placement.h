#ifndef PACKAGES_WORKLOAD_PLACEMENT_H_
#define PACKAGES_WORKLOAD_PLACEMENT_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "packages/workload/capacity_map.h"
#include "packages/workload/job.h"

namespace carobrill::workload {

/// Which of the workers that meet the constraints a unit takes first.
enum class SpeedPreference {
  /// The tightest fit, whatever the speed.
  kNone,
  kFast,
  /// Leaves fast workers to work that needs them.
  kSlow,
};

/// WorkerCapacity::starting_bytes from which paced units avoid a worker. Each
/// message to its agent has all of them.
inline constexpr std::size_t kMaxStartingBytesOfWorker = 256'000;

/// Tasks of one step that are placed together: a whole gang or a single task.
struct PlacementUnit {
  const Submission* submission = nullptr;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  /// Indexes of the tasks within the step.
  std::vector<std::uint32_t> tasks;
  /// Number of tasks of the same step that already hold resources, by worker.
  /// Filled only for a step with max_per_worker.
  std::map<WorkerIncarnation, std::uint32_t> tasks_by_worker;
  /// Workers that the queue's external policy allows; unset without a policy.
  std::optional<std::set<WorkerIncarnation>> allowed_workers;
  SpeedPreference speed_preference = SpeedPreference::kNone;
  /// Largest number of workers that have crashed under one of the tasks.
  std::uint32_t worker_crashes = 0;
  /// The job has many starts that are not confirmed, so workers with
  /// kMaxStartingBytesOfWorker get no more of them.
  bool paced = false;

  const StepSpec& Spec() const { return this->submission->spec.steps[step]; }
};

/// Which capacity a placement may use: `free` or `future_free` of a worker.
enum class CapacityKind { kFree, kFutureFree };

/// Constraints on the choice of workers.
struct PlacementConstraints {
  CapacityKind capacity = CapacityKind::kFree;
  /// Allow racks on which the tasks run slower.
  bool allow_any_rack = false;
  /// Allow workers that are avoided after recent failures or stalls.
  bool allow_avoided = false;
  /// Allow workers that are held for urgent jobs.
  bool allow_headroom = false;
  /// Allow only workers on which no task holds or reserves resources.
  bool idle_only = false;
  /// Minimum speed of a worker (Worker::speed).
  double min_speed = 0;

  bool operator==(const PlacementConstraints&) const = default;
};

/// True when the worker may run tasks of the unit, regardless of its capacity.
bool IsEligible(const PlacementUnit& unit,
                const WorkerCapacity& entry,
                const PlacementConstraints& constraints);

/// Number of further tasks of the unit that max_per_worker allows on the
/// worker.
std::uint32_t RemainingSpreadLimit(const PlacementUnit& unit,
                                   const WorkerCapacity& entry);

/// True when the workers of at least `min_speed`, if idle, could take all tasks
/// of the unit: those of some rack when it should stay on one.
bool FitsIfIdle(const PlacementUnit& unit, CapacityMap& map, double min_speed);

/// True when the unit prefers no single rack, or when the workers of some rack,
/// if idle, could take all of its tasks.
bool FitsOnOneRack(const PlacementUnit& unit, CapacityMap& map);

/// Returns the sets of eligible workers, by index, within each of which the
/// whole unit may be placed: one set per rack when the unit should stay on one
/// rack, otherwise one set over all racks.
std::vector<std::vector<std::size_t>> CandidateSets(
    const PlacementUnit& unit,
    CapacityMap& map,
    const PlacementConstraints& constraints);

/// Selects a worker for each task of the unit, all or none, by best fit: the
/// chosen workers keep the least unused capacity. Returns indexes into the map,
/// or nothing when the unit does not fit.
std::optional<std::vector<std::size_t>> SelectWorkers(
    const PlacementUnit& unit,
    CapacityMap& map,
    const PlacementConstraints& constraints);

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_PLACEMENT_H_
