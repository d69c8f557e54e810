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

/// Proposes records to the log and answers by a deadline, whatever the log
/// does. Used on the entry's task only.
class Proposer {
 public:
  /// `session` and `task` must outlive the proposer.
  Proposer(EntrySession& session, Task& task);

  /// Proposes `record` for `actor`. When it is not decided by `deadline` (boot
  /// clock), `callback` gets kNotWritten if the record was never sent and is
  /// withdrawn, else kVerdictUnknown.
  void Propose(records::Record record,
               const std::string& actor,
               Instant deadline,
               ledger::ProposalCallback callback);

  /// Withdraws the proposals that were never sent; their callbacks get
  /// kNotWritten. For use when the log has become unavailable.
  void WithdrawUnsent();

  /// Proposals that are not decided yet.
  std::size_t Open() const { return this->open.size(); }

 private:
  void Decide(std::uint64_t ticket, const ledger::ProposalResult& result);
  void Expire(std::uint64_t ticket);

  struct Entry {
    ledger::ProposalId proposal = 0;
    ledger::ProposalCallback callback;
  };

  EntrySession& session;
  Task& task;
  std::uint64_t last_ticket = 0;
  std::map<std::uint64_t, Entry> open;
  /// Tells timers that outlive the proposer to do nothing.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_PROPOSER_H_
