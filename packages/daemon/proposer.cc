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
  const std::uint64_t ticket = ++this->last_ticket;
  this->open[ticket].callback = std::move(callback);
  const auto proposal = this->session.Propose(
      std::move(record), [this, ticket](const ProposalResult& result) {
        this->Decide(ticket, result);
      });
  this->open[ticket].proposal = proposal;
  if (deadline < Instant::Never()) {
    this->task.PostAt(deadline,
                      [this, ticket, alive = std::weak_ptr<int>(this->alive)] {
                        if (!alive.expired()) {
                          this->Expire(ticket);
                        }
                      });
  }
}

void Proposer::WithdrawUnsent() {
  std::vector<std::uint64_t> withdrawn;
  for (const auto& [ticket, entry] : this->open) {
    if (entry.proposal != 0 && this->session.Abandon(entry.proposal)) {
      withdrawn.push_back(ticket);
    }
  }
  for (const std::uint64_t ticket : withdrawn) {
    this->Decide(ticket, {ProposalOutcome::kNotWritten, {}, 0});
  }
}

// The entry is removed before the callback runs, which may propose again.
void Proposer::Decide(std::uint64_t ticket, const ProposalResult& result) {
  const auto found = this->open.find(ticket);
  if (found == this->open.end()) {
    return;
  }
  const auto callback = std::move(found->second.callback);
  this->open.erase(found);
  callback(result);
}

void Proposer::Expire(std::uint64_t ticket) {
  const auto found = this->open.find(ticket);
  if (found == this->open.end()) {
    return;
  }
  const bool unsent = found->second.proposal == 0 ||
                      this->session.Abandon(found->second.proposal);
  this->Decide(ticket, {unsent ? ProposalOutcome::kNotWritten
                               : ProposalOutcome::kVerdictUnknown,
                        {},
                        0});
}

}  // namespace carobrill::daemon
