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

/// Why a job ended without success, or returned to the queue.
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

/// One task of a gang and the aligned cell that it occupies.
struct GangMember {
  WorkerId worker;
  Incarnation incarnation = 0;
  std::uint32_t first_accelerator = 0;
  std::uint32_t accelerators = 0;
};

/// A submitted job and its gang.
struct Job {
  JobId id;
  std::string idempotency_key;
  /// The payload is dropped when the job ends.
  records::JobSpec spec;
  /// Digest of the whole specification, to detect a reused key.
  std::uint64_t spec_digest = 0;
  JobState state = JobState::kQueued;
  /// Start of the current state, in log time.
  Instant since;
  Instant submitted_at;
  /// Offset of the submission, which breaks ties in order.
  Offset submitted_offset = 0;
  /// Position in the queue, see QueueEntry.
  std::int64_t order_ms = 0;
  std::uint32_t attempt = 1;
  std::vector<GangMember> members;
  bool borrowed = false;
  /// Jobs that still occupy cells of this gang.
  std::set<JobId> pending_victims;
  /// Set from the first committed start on; the job may have run.
  bool may_have_started = false;
  bool cancel_requested = false;
  EndReason reason = EndReason::kNone;
  /// Failed attempts, and the workers they failed on.
  std::uint32_t failures = 0;
  std::set<WorkerId> failed_workers;
  std::string checkpoint;
  /// Time that earlier attempts and the current one ran.
  std::int64_t total_run_ms = 0;
  Instant started_at;
};

/// True when no event can change the job any more.
constexpr bool IsEnded(JobState state) {
  return state >= JobState::kSucceeded;
}

/// True when the job holds cells.
constexpr bool HoldsCells(JobState state) {
  return state >= JobState::kPlaced && state <= JobState::kStopping;
}

/// True when tasks of the job may be running.
constexpr bool IsCommitted(JobState state) {
  return state >= JobState::kStarting && state <= JobState::kStopping;
}

/// True when the job may be stopped to reclaim its cells. A non-idempotent job
/// must be able to checkpoint, because its only run would otherwise be lost.
inline bool IsPreemptible(const records::JobSpec& spec) {
  return spec.preemption() == records::PREEMPTION_CHECKPOINT ||
         (spec.preemption() == records::PREEMPTION_STOP && spec.idempotent());
}

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_JOB_H_
