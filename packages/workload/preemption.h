#ifndef PACKAGES_WORKLOAD_PREEMPTION_H_
#define PACKAGES_WORKLOAD_PREEMPTION_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "packages/workload/placement.h"

namespace carobrill::workload {

/// Tasks that are preempted together: a whole gang or a single task.
struct Victim {
  std::vector<TaskKey> tasks;
  /// Worker, as index into the CapacityMap, and resources that each task frees.
  std::vector<std::pair<std::size_t, Resources>> freed;
  /// Core-seconds of work that are lost when the tasks are stopped.
  double lost_core_s = 0;
  /// Lost work of all tasks, weighted by priority, with a constant added per
  /// task. Cheaper victims are preempted first.
  double cost = 0;
};

/// Workers for a unit, and the victims to stop for it.
struct PreemptionPlan {
  std::vector<std::size_t> workers;
  std::vector<std::size_t> victims;
  double cost = 0;
};

/// Finds a low-cost set of victims whose preemption lets the whole unit be
/// placed; the search is greedy, task by task. The plan refers to workers by
/// index into `map` and to victims by index into `victims`. Returns nothing
/// when no plan is found.
std::optional<PreemptionPlan> PlanPreemption(
    const PlacementUnit& unit,
    const CapacityMap& map,
    const PlacementConstraints& constraints,
    const std::vector<Victim>& victims);

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_PREEMPTION_H_
