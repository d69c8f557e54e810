#ifndef PACKAGES_LEDGER_SESSION_HOOKS_H_
#define PACKAGES_LEDGER_SESSION_HOOKS_H_

#include <functional>
#include <optional>

#include "packages/ledger/peer_sync.h"
#include "packages/ledger/recovery.h"
#include "packages/ledger/replica.h"

namespace carobrill::ledger {

/// Receives the answer of a peer; nothing when the peer did not answer.
using PeerCallback = std::function<void(std::optional<PeerState>)>;

/// What a LogSession tells its owner and asks of it. Empty functions are
/// skipped. All run on the session's task.
struct SessionHooks {
  /// A record was folded, malformed and repeated ones included.
  std::function<void(const FoldedRecord&)> on_folded;
  /// The state was replaced as a whole, by a snapshot or by a peer's state.
  std::function<void()> on_state_replaced;
  /// The recovery state changed.
  std::function<void(RecoveryState)> on_recovery_state;
  /// This replica's hash differs from a snapshot's.
  std::function<void(const Divergence&)> on_divergence;
  /// An older state had to be taken over, because the log had already gone on
  /// from it under a new lineage.
  std::function<void()> on_state_regressed;
  /// Whether this entry plans and so writes snapshots when they are due.
  std::function<bool()> writes_snapshots;
  /// Asks a peer for its state; the callback may run at any later time.
  std::function<void(const PeerQuery&, PeerCallback)> fetch_from_peer;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_SESSION_HOOKS_H_
