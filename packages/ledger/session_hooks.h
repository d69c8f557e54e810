#ifndef PACKAGES_LEDGER_SESSION_HOOKS_H_
#define PACKAGES_LEDGER_SESSION_HOOKS_H_

#include <functional>
#include <optional>

#include "packages/ledger/peer_sync.h"
#include "packages/ledger/recovery.h"
#include "packages/ledger/replica.h"

namespace carobrill::ledger {

/// Receives the answer of a peer; no value if the peer did not answer.
using PeerCallback = std::function<void(std::optional<PeerReply>)>;

/// Callbacks from a LogSession to its owner. Empty functions are skipped. All
/// run on the session's task.
struct SessionHooks {
  /// A record was processed, including malformed and repeated ones.
  std::function<void(const AppliedRecord&)> on_record_applied;
  /// The state was replaced as a whole by a snapshot or a peer's state.
  std::function<void()> on_state_replaced;
  /// The recovery state changed.
  std::function<void(RecoveryState)> on_recovery_state;
  /// The state hash of this replica differs from that of a snapshot.
  std::function<void(const Divergence&)> on_divergence;
  /// An older state was loaded because the log had already continued from it
  /// under a new lineage.
  std::function<void()> on_state_reverted;
  /// Returns whether this entry is the planner, which writes snapshots when
  /// they are due.
  std::function<bool()> should_write_snapshots;
  /// Requests the state of a peer; the callback may run at any later time.
  std::function<void(const PeerQuery&, PeerCallback)> fetch_from_peer;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_SESSION_HOOKS_H_
