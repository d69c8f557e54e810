#ifndef PACKAGES_WORKLOAD_PREEMPTION_H_
#define PACKAGES_WORKLOAD_PREEMPTION_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "packages/workload/placement.h"

namespace carobrill::workload {

/// Tasks that are stopped together: a whole gang, or one task.
struct Victim {
  std::vector<TaskKey> tasks;
  /// Room that each task gives back, by index into the RoomMap.
  std::vector<std::pair<std::size_t, Resources>> freed;
  /// Core-seconds of work that the stop throws away.
  double lost_core_s = 0;
  /// `lost_core_s` weighted by priority; the order in which victims are taken.
  double cost = 0;
};

/// Workers for a unit and what has to be stopped for it.
struct PreemptionPlan {
  std::vector<std::size_t> workers;
  std::vector<std::size_t> victims;
  double cost = 0;
};

/// Finds the cheapest way to place the whole unit by stopping some of
/// `victims`, whose indexes the result names. Nothing when even stopping all
/// of them would not help.
std::optional<PreemptionPlan> PlanPreemption(
    const PlacementUnit& unit,
    const CapacityMap& map,
    const PlacementConstraints& constraints,
    const std::vector<Victim>& victims);

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_PREEMPTION_H_
