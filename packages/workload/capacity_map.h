#ifndef PACKAGES_WORKLOAD_CAPACITY_MAP_H_
#define PACKAGES_WORKLOAD_CAPACITY_MAP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "packages/workload/resources.h"
#include "packages/workload/run_index.h"
#include "packages/workload/worker.h"

namespace carobrill::workload {

/// Returns the approximate size in memory, and in each message to its agent, of
/// the order to start a run, in bytes.
std::size_t StartOrderBytes(const Submission& submission,
                            const TaskState& task);

/// Capacity of one worker during one planning pass.
struct WorkerCapacity {
  const Worker* worker = nullptr;
  /// Runs on the worker at the start of the pass, also those of its earlier
  /// incarnations; null for none.
  const RunIndex::Runs* runs = nullptr;
  /// Resources that are neither in use nor reserved.
  Resources free;
  /// `free` plus the resources of tasks that are being stopped, less what is
  /// reserved out of these.
  Resources future_free;
  bool schedulable = false;
  bool avoided = false;
  /// Held for urgent jobs.
  bool headroom = false;
  /// Tasks hold or have reserved resources.
  bool occupied = false;
  /// Job of a task that is on probation here (IsOnProbation()); null for none.
  const JobId* suspect_job = nullptr;
  /// Taken by the last attempt of the job of `suspect_job` alone.
  bool exclusive = false;
  /// StartOrderBytes() of all runs that are not known to have started.
  std::size_t starting_bytes = 0;
};

/// Capacity of all ready workers of one service, and its use.
struct ServiceCapacity {
  Resources total;
  /// Resources of all tasks that are not being stopped.
  Resources used;
  /// The part of `used` that belongs to jobs of priority 0.
  Resources used_by_urgent;
};

/// Capacity of all workers of the cluster. Rebuilt for each planning pass from
/// the tasks that hold resources: those that are starting, running or stopping.
class CapacityMap {
 public:
  using Workers = std::map<InstanceId, Worker>;

  CapacityMap(const Workers& workers, const RunIndex& runs, Instant now);

  const std::vector<WorkerCapacity>& Entries() const { return this->entries; }

  /// Returns the number of each entry's rack. Racks are numbered from 0 in the
  /// order of their names.
  const std::vector<std::uint32_t>& RackNumbers();

  /// Returns the capacity of each service at the start of the pass.
  const std::map<ServiceId, ServiceCapacity>& Services() const {
    return this->services;
  }

  /// Marks workers of the service as held for urgent jobs, whole racks at a
  /// time, until they have `share` of the service's capacity. The order of the
  /// racks is always the same, so that other work leaves them over time.
  void HoldHeadroom(const ServiceId& service, double share);

  /// Reserves `demand` on a worker, for a new run or for a task that waits for
  /// resources there. Both reduce `free` as well as `future_free`, so that no
  /// later task takes the already free part of what a waiting task needs.
  void Reserve(std::size_t index, const Resources& demand);

  /// Records that a task of `job`, under which `worker_crashes` workers have
  /// crashed, is on probation on a worker. Other jobs avoid the worker
  /// meanwhile, or do not use it at all during a last attempt. `job` must
  /// outlive the map.
  void MarkSuspect(std::size_t index,
                   const JobId& job,
                   std::uint32_t worker_crashes);

  /// Counts a run that is to be started on a worker.
  void AddStart(std::size_t index,
                const Submission& submission,
                const TaskState& task);

  /// Returns the number of runs of the job that are not known to have started.
  std::size_t CountStarts(const JobId& job) const;

  /// Returns the sum of WorkerCapacity::starting_bytes.
  std::size_t StartingBytes() const { return this->starting_bytes; }

  /// Adds `demand` of a task that is being stopped to `future_free`.
  void MarkReleasing(std::size_t index, const Resources& demand);

 private:
  std::vector<WorkerCapacity> entries;
  std::vector<std::uint32_t> rack_numbers;
  std::map<ServiceId, ServiceCapacity> services;
  std::size_t starting_bytes = 0;
  std::map<JobId, std::size_t> starts_of_job;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_CAPACITY_MAP_H_
