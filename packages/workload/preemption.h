#ifndef PACKAGES_WORKLOAD_PREEMPTION_H_
#define PACKAGES_WORKLOAD_PREEMPTION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "packages/workload/placement.h"

namespace carobrill::workload {

/// Tasks that are preempted together: a whole gang or a single task.
struct Victim {
  std::vector<ActiveRun> runs;
  /// Workers, as indexes into the CapacityMap, and the resources that become
  /// free there.
  std::vector<std::pair<std::size_t, Resources>> freed;
  std::uint32_t priority = 0;
  /// The job is within the guarantee of its account.
  bool guaranteed = false;
  /// Stopped earlier in this planning pass.
  bool stopped = false;
  /// The tasks' step if it has max_unavailable, else null.
  const StepState* limited_step = nullptr;
  /// Core-seconds of work that are lost when the tasks are stopped.
  double lost_core_s = 0;
  /// Lost work of all tasks, weighted by priority, with a constant added per
  /// task. Cheaper victims are preempted first.
  double cost = 0;
};

/// The tasks that may be preempted in one planning pass.
class VictimPool {
 public:
  /// `guaranteed_jobs` are the jobs within the guarantee of their account.
  VictimPool(const CapacityMap& map,
             const std::set<JobId>& guaranteed_jobs,
             Instant now);

  const std::vector<Victim>& Victims() const { return this->victims; }

  /// Number of tasks of each step with max_unavailable that may be stopped in
  /// addition to those that are already unavailable.
  const std::map<const StepState*, std::int64_t>& StopsLeft() const {
    return this->stops_left;
  }

  /// Excludes a victim from later plans of this pass, and returns it.
  const Victim& MarkStopped(std::size_t victim);

  /// Returns the victims on a worker, the cheapest first, each with the
  /// resources that it frees there.
  const std::vector<std::pair<std::size_t, Resources>>& OnWorker(
      std::size_t worker) const {
    return this->by_worker[worker];
  }

 private:
  void LimitUnavailability(Victim& victim);

  std::vector<Victim> victims;
  std::map<const StepState*, std::int64_t> stops_left;
  std::vector<std::vector<std::pair<std::size_t, Resources>>> by_worker;
};

/// Which victims a unit may preempt, and how much work it may cost.
struct PreemptionRights {
  std::uint32_t priority = 0;
  bool guaranteed = false;
  /// Maximum number of core-seconds of work that may be lost.
  double max_lost_core_s = 0;

  /// True when the unit may preempt the victim.
  bool Allows(const Victim& victim) const {
    return !victim.stopped &&
           (victim.priority > this->priority ||
            (this->guaranteed && victim.priority == this->priority &&
             !victim.guaranteed));
  }
};

/// Workers for a unit, and the victims to stop for it.
struct PreemptionPlan {
  std::vector<std::size_t> workers;
  std::vector<std::size_t> victims;
  double cost = 0;
  double lost_core_s = 0;
};

/// Finds a low-cost set of victims whose preemption lets the whole unit be
/// placed; the search is greedy, task by task. The plan refers to workers by
/// index into `map` and to victims by index into `pool`. Returns nothing when
/// no plan is found within the rights.
std::optional<PreemptionPlan> PlanPreemption(
    const PlacementUnit& unit,
    CapacityMap& map,
    const PlacementConstraints& constraints,
    const VictimPool& pool,
    const PreemptionRights& rights);

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_PREEMPTION_H_
