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
struct WorkerRoom {
  const Worker* worker = nullptr;
  /// Neither taken nor promised.
  Resources free;
  /// `free`, and what is being stopped.
  Resources soon;
  bool usable = false;
  bool avoided = false;
};

/// Room of all workers of the cluster, rebuilt for each run of the planner from
/// the tasks that hold room: starting, running or stopping.
class RoomMap {
 public:
  using Workers = std::map<InstanceId, Worker>;
  using Jobs = std::map<JobId, Job>;

  RoomMap(const Workers& workers, const Jobs& jobs, Instant now);

  std::vector<WorkerRoom>& Rooms() { return this->rooms; }
  const std::vector<WorkerRoom>& Rooms() const { return this->rooms; }

  /// Index of the worker with that life, or nothing when it is not known.
  const std::size_t* IndexOf(const WorkerLife& life) const;

  /// Takes `demand` on a worker, for a new run or for a task that waits for
  /// room there. A wait takes from `free` as well, so that no later task gets
  /// the part of its room that is free already.
  void Take(std::size_t index, const Resources& demand);

  /// Notes that `demand` on a worker is being stopped.
  void Release(std::size_t index, const Resources& demand);

 private:
  std::vector<WorkerRoom> rooms;
  std::map<WorkerLife, std::size_t> indexes;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_CAPACITY_MAP_H_
