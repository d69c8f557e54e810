#ifndef PACKAGES_WORKLOAD_CAPACITY_MAP_H_
#define PACKAGES_WORKLOAD_CAPACITY_MAP_H_

#include <cstddef>
#include <map>
#include <vector>

#include "packages/workload/job.h"
#include "packages/workload/resources.h"
#include "packages/workload/worker.h"

namespace carobrill::workload {

/// Room of one worker during one run of the planner.
struct WorkerCapacity {
  const Worker* worker = nullptr;
  /// Neither taken nor promised.
  Resources free;
  /// `free`, and what is being stopped.
  Resources future_free;
  bool schedulable = false;
  bool avoided = false;
};

/// Room of all workers of the cluster, rebuilt for each run of the planner from
/// the tasks that hold room: starting, running or stopping.
class CapacityMap {
 public:
  using Workers = std::map<InstanceId, Worker>;
  using Jobs = std::map<JobId, Job>;

  CapacityMap(const Workers& workers, const Jobs& jobs, Instant now);

  std::vector<WorkerCapacity>& Entries() { return this->entries; }
  const std::vector<WorkerCapacity>& Entries() const { return this->entries; }

  /// Index of the worker with that life, or nothing when it is not known.
  const std::size_t* IndexOf(const WorkerLife& incarnation) const;

  /// Takes `demand` on a worker, for a new run or for a task that waits for
  /// room there. A wait takes from `free` as well, so that no later task gets
  /// the part of its room that is free already.
  void Reserve(std::size_t index, const Resources& demand);

  /// Notes that `demand` on a worker is being stopped.
  void MarkReleasing(std::size_t index, const Resources& demand);

 private:
  std::vector<WorkerCapacity> entries;
  std::map<WorkerLife, std::size_t> indexes;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_CAPACITY_MAP_H_
