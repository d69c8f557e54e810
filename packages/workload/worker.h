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

/// Whether a worker takes work.
enum class WorkerAvailability { kAbsent, kReady, kDraining };

constexpr auto NamesOf(WorkerAvailability) {
  return MakeNameTable<WorkerAvailability>(
      {{WorkerAvailability::kAbsent, "absent"},
       {WorkerAvailability::kReady, "ready"},
       {WorkerAvailability::kDraining, "draining"}});
}

/// What an agent says of the worker beside it.
struct WorkerDescription {
  WorkerLife life;
  WorkerAvailability availability = WorkerAvailability::kAbsent;
  ServiceId service;
  FailureDomainId failure_domain;
  RackId rack;
  std::set<std::string> labels;
  Resources capacity;

  bool operator==(const WorkerDescription&) const = default;
};

/// A worker as the planner knows it.
struct Worker {
  /// Agent that stands for the worker.
  InstanceId agent;
  WorkerDescription description;
  /// The agent has answered this planner within the last exchange.
  bool reachable = false;
  /// Boot clock: nothing that the worker runs now outlives this, unless the
  /// agent is heard again.
  Instant lease_ends;
  /// Runs of different jobs that failed here with none that succeeded between.
  std::uint32_t consecutive_failures = 0;
  /// Boot clock: no work before this, except when nothing else has room.
  Instant avoid_until;
  /// Boot clock: the worker refused an order; no work before this.
  Instant refusal_backoff_until;

  /// True when new work may be sent to the worker.
  bool IsSchedulable(Instant now) const {
    return this->reachable &&
           this->description.availability == WorkerAvailability::kReady &&
           now >= this->refusal_backoff_until;
  }
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_WORKER_H_
