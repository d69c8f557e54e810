#ifndef PACKAGES_WORKLOAD_WORKER_H_
#define PACKAGES_WORKLOAD_WORKER_H_

#include <cstdint>
#include <set>
#include <string>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/time.h"
#include "packages/workload/job.h"
#include "packages/workload/resources.h"

namespace carobrill::workload {

/// Speed relative to the typical worker below which a worker counts as slow. A
/// common objective of urgent work is 1.5 times its run time, which a slower
/// worker cannot meet.
inline constexpr double kSlowWorkerSpeed = 0.7;

/// Whether a worker accepts new tasks.
enum class WorkerAvailability { kAbsent, kReady, kDraining };

constexpr auto NamesOf(WorkerAvailability) {
  return MakeNameTable<WorkerAvailability>(
      {{WorkerAvailability::kAbsent, "absent"},
       {WorkerAvailability::kReady, "ready"},
       {WorkerAvailability::kDraining, "draining"}});
}

/// A worker as described by its agent.
struct WorkerDescription {
  WorkerIncarnation incarnation;
  WorkerAvailability availability = WorkerAvailability::kAbsent;
  ServiceId service;
  FailureDomainId failure_domain;
  RackId rack;
  std::set<std::string> labels;
  Resources capacity;
  /// The incarnation that crashed last while the agent watched; empty for none.
  WorkerIncarnation last_crashed;

  bool operator==(const WorkerDescription&) const = default;
};

/// The planner's view of a worker.
struct Worker {
  /// Agent that manages the worker.
  InstanceId agent;
  WorkerDescription description;
  /// Whether the agent answered the latest exchange with this planner.
  bool reachable = false;
  /// Boot clock: expiry of the worker's lease. No task that it runs now
  /// outlives this, unless the agent responds again and the lease is renewed.
  Instant lease_expires_at;
  /// Boot clock: when the agent last read the list of running tasks from the
  /// worker. Without a newer list nothing is known about their progress.
  Instant running_read_at;
  /// Failed runs here since the last successful one; counts only the first
  /// failure of each task or gang.
  std::uint32_t consecutive_failures = 0;
  /// Boot clock: until this time the worker gets tasks only when no other
  /// worker has capacity.
  Instant avoid_until;
  /// Boot clock: no new tasks before this, since the worker refused an order.
  Instant refusal_backoff_until;
  /// Learned speed relative to the typical worker of the service; 1 when
  /// unknown.
  double speed = 1;
  /// `speed` has been seen in runs, or does not matter.
  bool speed_known = true;
  /// The operator has evacuated the worker's failure domain: what runs may run
  /// on, but nothing new starts.
  bool evacuated = false;

  /// True when new tasks may be assigned to the worker.
  bool IsSchedulable(Instant now) const {
    return this->reachable && !this->evacuated &&
           this->description.availability == WorkerAvailability::kReady &&
           now >= this->refusal_backoff_until;
  }
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_WORKER_H_
