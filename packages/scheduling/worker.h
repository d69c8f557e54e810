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
  /// Log time at which the worker entered its current state.
  Instant since;
  std::string reason;
  /// Distinct jobs that failed on this worker since its last success.
  std::set<JobId> failed_jobs;
  /// Quarantines since the last success in the ready state. Each one doubles
  /// the next quarantine time.
  std::uint32_t quarantines = 0;
  Instant quarantined_until;
  /// True if a task has succeeded during the current probation.
  bool probation_passed = false;
  /// Jobs that hold cells on this worker.
  std::set<JobId> jobs;
};

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_WORKER_H_
