#ifndef PACKAGES_DAEMON_PROPOSER_H_
#define PACKAGES_DAEMON_PROPOSER_H_

#include <map>
#include <memory>
#include <string>

#include "packages/core/ids.h"
#include "packages/core/task.h"
#include "packages/core/time.h"
#include "packages/daemon/entry_session.h"
#include "packages/ledger/proposal.h"
#include "packages/records/records.pb.h"

namespace carobrill::daemon {

/// Proposes records to the log and guarantees an answer by a deadline, even if
/// the log does not respond. Used on the entry's task only.
class Proposer {
 public:
  /// `session` and `task` must outlive the proposer.
  Proposer(EntrySession& session, Task& task);

  /// Proposes `record` on behalf of `actor`. If the record is not decided by
  /// `deadline` (boot clock), `callback` gets kNotWritten if the record was
  /// withdrawn before it was sent, or kVerdictUnknown otherwise.
  void Propose(records::Record record,
               const std::string& actor,
               Instant deadline,
               ledger::ProposalCallback callback);

  /// Withdraws the proposals that were never sent. Their callbacks get
  /// kNotWritten. To be called when the log becomes unavailable.
  void WithdrawUnsent();

  /// Number of proposals that are not decided yet.
  std::size_t PendingCount() const { return this->pending.size(); }

 private:
  void Complete(std::uint64_t id, const ledger::ProposalResult& result);
  void OnDeadline(std::uint64_t id);

  struct PendingProposal {
    ledger::ProposalId proposal = 0;
    ledger::ProposalCallback callback;
  };

  EntrySession& session;
  Task& task;
  std::uint64_t last_id = 0;
  std::map<std::uint64_t, PendingProposal> pending;
  /// Expires with the proposer, so that later timers have no effect.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_PROPOSER_H_
