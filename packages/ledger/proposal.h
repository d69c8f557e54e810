#ifndef PACKAGES_LEDGER_PROPOSAL_H_
#define PACKAGES_LEDGER_PROPOSAL_H_

#include <cstdint>
#include <functional>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/records/verdict.h"

namespace carobrill::ledger {

/// Identifies a proposed record within one process.
using ProposalId = std::uint64_t;

/// State of a proposed record.
enum class ProposalState {
  /// Not sent yet; it can still be abandoned.
  kQueued,
  /// Sent at least once but not yet read back, so its outcome is open.
  kSent,
  /// Its callback has run, or it was abandoned.
  kFinished,
};

constexpr auto NamesOf(ProposalState) {
  return MakeNameTable<ProposalState>({
      {ProposalState::kQueued, "queued"},
      {ProposalState::kSent, "sent"},
      {ProposalState::kFinished, "finished"},
  });
}

/// Outcome of a proposal.
enum class ProposalOutcome {
  /// Applied: `verdict` and `offset` are final and the same on every replica.
  kDecided,
  /// Certainly never written, for example because the queue was full.
  kNotWritten,
  /// The state was replaced by a snapshot or a peer's state that already covers
  /// the record, so its verdict is unknown.
  kVerdictUnknown,
};

constexpr auto NamesOf(ProposalOutcome) {
  return MakeNameTable<ProposalOutcome>({
      {ProposalOutcome::kDecided, "decided"},
      {ProposalOutcome::kNotWritten, "not_written"},
      {ProposalOutcome::kVerdictUnknown, "verdict_unknown"},
  });
}

/// Result of a proposal; `verdict` and `offset` are valid only with kDecided.
struct ProposalResult {
  ProposalOutcome outcome = ProposalOutcome::kNotWritten;
  records::Verdict verdict = records::Verdict::kIgnored;
  Offset offset = 0;
};

/// Invoked once on the session's task when the outcome is final.
using ProposalCallback = std::function<void(const ProposalResult&)>;

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_PROPOSAL_H_
