#ifndef PACKAGES_SCHEDULING_JOB_H_
#define PACKAGES_SCHEDULING_JOB_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/time.h"
#include "packages/records/records.pb.h"

namespace carobrill::scheduling {

/// States of charts/gang.json.
enum class JobState {
  kQueued,
  kPlaced,
  kStarting,
  kRunning,
  kStopping,
  kSucceeded,
  kFailed,
  kCancelled,
  kOutcomeUnknown,
};

constexpr auto NamesOf(JobState) {
  return MakeNameTable<JobState>({
      {JobState::kQueued, "queued"},
      {JobState::kPlaced, "placed"},
      {JobState::kStarting, "starting"},
      {JobState::kRunning, "running"},
      {JobState::kStopping, "stopping"},
      {JobState::kSucceeded, "succeeded"},
      {JobState::kFailed, "failed"},
      {JobState::kCancelled, "cancelled"},
      {JobState::kOutcomeUnknown, "outcome_unknown"},
  });
}

/// Events of charts/gang.json.
enum class JobEvent {
  kPlace,
  kRelease,
  kCommit,
  kStart,
  kStop,
  kCancel,
  kRequeue,
  kSucceed,
  kFail,
  kFinishCancel,
  kLoseTrack,
};

constexpr auto NamesOf(JobEvent) {
  return MakeNameTable<JobEvent>({
      {JobEvent::kPlace, "place"},
      {JobEvent::kRelease, "release"},
      {JobEvent::kCommit, "commit"},
      {JobEvent::kStart, "start"},
      {JobEvent::kStop, "stop"},
      {JobEvent::kCancel, "cancel"},
      {JobEvent::kRequeue, "requeue"},
      {JobEvent::kSucceed, "succeed"},
      {JobEvent::kFail, "fail"},
      {JobEvent::kFinishCancel, "finish_cancel"},
      {JobEvent::kLoseTrack, "lose_track"},
  });
}

/// Why a job failed, was cancelled, is stopping, or returned to the queue.
enum class EndReason {
  kNone,
  kCancelled,
  kPreempted,
  kDrained,
  kOversized,
  kWorkerLost,
  kReleased,
  kFailed,
  kAttemptsSpent,
  kRetryBudgetSpent,
  kNotIdempotent,
};

constexpr auto NamesOf(EndReason) {
  return MakeNameTable<EndReason>({
      {EndReason::kNone, "none"},
      {EndReason::kCancelled, "cancelled"},
      {EndReason::kPreempted, "preempted"},
      {EndReason::kDrained, "drained"},
      {EndReason::kOversized, "oversized"},
      {EndReason::kWorkerLost, "worker_lost"},
      {EndReason::kReleased, "released"},
      {EndReason::kFailed, "failed"},
      {EndReason::kAttemptsSpent, "attempts_spent"},
      {EndReason::kRetryBudgetSpent, "retry_budget_spent"},
      {EndReason::kNotIdempotent, "not_idempotent"},
  });
}

/// One task of a gang and the cell that it occupies.
struct GangMember {
  WorkerId worker;
  Incarnation incarnation = 0;
  std::uint32_t first_accelerator = 0;
  std::uint32_t accelerators = 0;
};

/// A submitted job and the state of its gang.
struct Job {
  JobId id;
  std::string idempotency_key;
  /// Job specification; the payload is dropped when the job ends.
  records::JobSpec spec;
  /// Digest of the submitted specification, to detect reuse of an idempotency
  /// key with a different one.
  std::uint64_t spec_digest = 0;
  JobState state = JobState::kQueued;
  /// Log time at which the job entered its current state.
  Instant since;
  Instant submitted_at;
  /// Log offset of the submission; breaks ties in the queue order.
  Offset submitted_offset = 0;
  /// Sort key in the queue; see QueueEntry.
  std::int64_t order_ms = 0;
  std::uint32_t attempt = 1;
  std::vector<GangMember> members;
  bool borrowed = false;
  /// Stopping jobs that still occupy cells claimed by this gang.
  std::set<JobId> pending_victims;
  /// Set by the first committed start; from then on tasks may have run.
  bool may_have_started = false;
  bool cancel_requested = false;
  EndReason reason = EndReason::kNone;
  /// Number of failed attempts, and the workers on which they failed.
  std::uint32_t failures = 0;
  std::set<WorkerId> failed_workers;
  std::string checkpoint;
  /// Total run time over all ended attempts.
  std::int64_t total_run_ms = 0;
  Instant started_at;
};

/// True if the state is final.
constexpr bool IsEnded(JobState state) {
  return state >= JobState::kSucceeded;
}

/// True if a job in this state holds cells.
constexpr bool HoldsCells(JobState state) {
  return state >= JobState::kPlaced && state <= JobState::kStopping;
}

/// True if tasks may be running in this state.
constexpr bool IsCommitted(JobState state) {
  return state >= JobState::kStarting && state <= JobState::kStopping;
}

/// True if the job may be preempted. A non-idempotent job must support
/// checkpoints, because it cannot be run again from the start.
inline bool IsPreemptible(const records::JobSpec& spec) {
  return spec.preemption() == records::PREEMPTION_CHECKPOINT ||
         (spec.preemption() == records::PREEMPTION_STOP && spec.idempotent());
}

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_JOB_H_
