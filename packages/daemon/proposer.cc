#include "packages/daemon/proposer.h"

#include <utility>
#include <vector>

namespace carobrill::daemon {

using ledger::ProposalOutcome;
using ledger::ProposalResult;

Proposer::Proposer(EntrySession& session, Task& task)
    : session(session), task(task) {}

void Proposer::Propose(records::Record record,
                       const std::string& actor,
                       Instant deadline,
                       ledger::ProposalCallback callback) {
  record.set_actor(actor);
  record.set_written_at_ms(WallClock{}.Now().ms);
  const std::uint64_t id = ++this->last_id;
  this->pending[id].callback = std::move(callback);
  const auto proposal = this->session.Propose(
      std::move(record),
      [this, id](const ProposalResult& result) { this->Complete(id, result); });
  this->pending[id].proposal = proposal;
  if (deadline < Instant::Never()) {
    this->task.PostAt(deadline,
                      [this, id, alive = std::weak_ptr<int>(this->alive)] {
                        if (!alive.expired()) {
                          this->OnDeadline(id);
                        }
                      });
  }
}

void Proposer::WithdrawUnsent() {
  std::vector<std::uint64_t> withdrawn;
  for (const auto& [id, pending_proposal] : this->pending) {
    if (pending_proposal.proposal != 0 &&
        this->session.Abandon(pending_proposal.proposal)) {
      withdrawn.push_back(id);
    }
  }
  for (const std::uint64_t id : withdrawn) {
    this->Complete(id, {ProposalOutcome::kNotWritten, {}, 0});
  }
}

// Removes the proposal before the callback runs, because the callback may
// propose again.
void Proposer::Complete(std::uint64_t id, const ProposalResult& result) {
  const auto found = this->pending.find(id);
  if (found == this->pending.end()) {
    return;
  }
  const auto callback = std::move(found->second.callback);
  this->pending.erase(found);
  callback(result);
}

void Proposer::OnDeadline(std::uint64_t id) {
  const auto found = this->pending.find(id);
  if (found == this->pending.end()) {
    return;
  }
  const bool unsent = found->second.proposal == 0 ||
                      this->session.Abandon(found->second.proposal);
  this->Complete(id, {unsent ? ProposalOutcome::kNotWritten
                             : ProposalOutcome::kVerdictUnknown,
                      {},
                      0});
}

}  // namespace carobrill::daemon
