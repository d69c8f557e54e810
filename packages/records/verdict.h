#ifndef PACKAGES_RECORDS_VERDICT_H_
#define PACKAGES_RECORDS_VERDICT_H_

#include "packages/core/name_table.h"

namespace carobrill::records {

/// Result of applying a record: accepted, or the reason why it was not.
/// Deterministic, so every replica reaches the same verdict.
enum class Verdict {
  kAccepted,
  /// The record does not concern this component.
  kIgnored,
  kDuplicate,
  kMalformed,
  kVersionConflict,
  kInvalidRules,
  kUnknownAccount,
  kUnknownWorker,
  kUnknownJob,
  kUnknownClaim,
  kStaleIncarnation,
  kStaleAttempt,
  kWrongState,
  kCannotRun,
  kAboveQuota,
  kNotPreemptible,
  kCellTaken,
  kNotAdjacent,
  kWorkerUnavailable,
  kBreaksGuarantee,
  kVictimNotPreemptible,
  kVictimsRemain,
  kKeyReused,
  kRetryBudgetSpent,
};

constexpr auto NamesOf(Verdict) {
  return MakeNameTable<Verdict>({
      {Verdict::kAccepted, "accepted"},
      {Verdict::kIgnored, "ignored"},
      {Verdict::kDuplicate, "duplicate"},
      {Verdict::kMalformed, "malformed"},
      {Verdict::kVersionConflict, "version_conflict"},
      {Verdict::kInvalidRules, "invalid_rules"},
      {Verdict::kUnknownAccount, "unknown_account"},
      {Verdict::kUnknownWorker, "unknown_worker"},
      {Verdict::kUnknownJob, "unknown_job"},
      {Verdict::kUnknownClaim, "unknown_claim"},
      {Verdict::kStaleIncarnation, "stale_incarnation"},
      {Verdict::kStaleAttempt, "stale_attempt"},
      {Verdict::kWrongState, "wrong_state"},
      {Verdict::kCannotRun, "cannot_run"},
      {Verdict::kAboveQuota, "above_quota"},
      {Verdict::kNotPreemptible, "not_preemptible"},
      {Verdict::kCellTaken, "cell_taken"},
      {Verdict::kNotAdjacent, "not_adjacent"},
      {Verdict::kWorkerUnavailable, "worker_unavailable"},
      {Verdict::kBreaksGuarantee, "breaks_guarantee"},
      {Verdict::kVictimNotPreemptible, "victim_not_preemptible"},
      {Verdict::kVictimsRemain, "victims_remain"},
      {Verdict::kKeyReused, "key_reused"},
      {Verdict::kRetryBudgetSpent, "retry_budget_spent"},
  });
}

}  // namespace carobrill::records

#endif  // PACKAGES_RECORDS_VERDICT_H_
