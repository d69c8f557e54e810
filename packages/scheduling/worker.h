#ifndef PACKAGES_SCHEDULING_WORKER_H_
#define PACKAGES_SCHEDULING_WORKER_H_

#include <cstdint>
#include <set>
#include <string>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/time.h"

namespace carobrill::scheduling {

/// States of charts/worker.json.
enum class WorkerState { kReady, kDraining, kQuarantined, kProbation, kLost };

constexpr auto NamesOf(WorkerState) {
  return MakeNameTable<WorkerState>({
      {WorkerState::kReady, "ready"},
      {WorkerState::kDraining, "draining"},
      {WorkerState::kQuarantined, "quarantined"},
      {WorkerState::kProbation, "probation"},
      {WorkerState::kLost, "lost"},
  });
}

/// Events of charts/worker.json.
enum class WorkerEvent {
  kRegister,
  kAdmit,
  kDrain,
  kQuarantine,
  kProbe,
  kLose,
};

constexpr auto NamesOf(WorkerEvent) {
  return MakeNameTable<WorkerEvent>({
      {WorkerEvent::kRegister, "register"},
      {WorkerEvent::kAdmit, "admit"},
      {WorkerEvent::kDrain, "drain"},
      {WorkerEvent::kQuarantine, "quarantine"},
      {WorkerEvent::kProbe, "probe"},
      {WorkerEvent::kLose, "lose"},
  });
}

/// A machine that runs tasks.
struct Worker {
  WorkerId id;
  Incarnation incarnation = 0;
  RackId rack;
  FailureDomainId domain;
  RegionId region;
  std::uint32_t accelerators = 0;
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;
  WorkerState state = WorkerState::kReady;
  /// Start of the current state, in log time.
  Instant since;
  std::string reason;
  /// Distinct jobs that failed here since the last success.
  std::set<JobId> failed_jobs;
  /// Quarantines since the last success after probation; doubles the backoff.
  std::uint32_t quarantines = 0;
  Instant quarantined_until;
  /// Set when a task succeeded on probation.
  bool probation_passed = false;
  /// Jobs that hold cells here.
  std::set<JobId> jobs;
};

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_WORKER_H_
