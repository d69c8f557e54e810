#include "packages/requests/pending_settlements.h"

#include <algorithm>

namespace carobrill::requests {
namespace {

records::Record RecordOf(const records::ClaimSettled& settled) {
  records::Record record;
  *record.mutable_claim_settled() = settled;
  return record;
}

ClaimKey KeyOf(const records::ClaimSettled& settled) {
  return ClaimKey{AccountId(settled.account()), settled.key()};
}

}  // namespace

PendingSettlements::PendingSettlements(std::size_t answer_limit_bytes)
    : answer_limit_bytes(answer_limit_bytes) {}

records::Record PendingSettlements::Add(const ClaimKey& key,
                                        Offset offset,
                                        const Settlement& settlement) {
  PendingSettlement& entry = this->pending[ClaimId{key, offset}];
  records::ClaimSettled& settled = entry.settled;
  settled.set_account(key.account.value);
  settled.set_key(key.key);
  settled.set_claim_offset(offset);
  settled.set_outcome(settlement.outcome);
  settled.set_answer_omitted(settlement.answer_omitted);
  settled.clear_answer();
  if (settlement.answer.size() <= this->answer_limit_bytes) {
    settled.set_answer(settlement.answer);
  } else {
    settled.set_answer_omitted(true);
  }
  entry.retry_at = Instant::Never();
  return RecordOf(settled);
}

bool PendingSettlements::IsRedundant(const ClaimKey& key,
                                     Offset offset,
                                     records::ClaimOutcome outcome) const {
  const auto found = this->pending.find(ClaimId{key, offset});
  return found != this->pending.end() &&
         (found->second.settled.outcome() != records::CLAIM_OUTCOME_UNKNOWN ||
          outcome == records::CLAIM_OUTCOME_UNKNOWN);
}

bool PendingSettlements::IsPending(const ClaimKey& key, Offset offset) const {
  return this->pending.contains(ClaimId{key, offset});
}

// A definite outcome stays pending when a settlement as unknown is accepted:
// its own record is still in progress and will correct the claim.
void PendingSettlements::OnApplied(const records::ClaimSettled& settled,
                                   bool accepted) {
  const auto found =
      this->pending.find(ClaimId{KeyOf(settled), settled.claim_offset()});
  if (found == this->pending.end()) {
    return;
  }
  const bool same = found->second.settled.outcome() == settled.outcome();
  const bool final_outcome =
      accepted && settled.outcome() != records::CLAIM_OUTCOME_UNKNOWN;
  if (same || final_outcome) {
    this->pending.erase(found);
  }
}

void PendingSettlements::OnDropped(const records::ClaimSettled& settled,
                                   Instant retry_at) {
  const auto found =
      this->pending.find(ClaimId{KeyOf(settled), settled.claim_offset()});
  if (found != this->pending.end() &&
      found->second.settled.outcome() == settled.outcome()) {
    found->second.retry_at = retry_at;
  }
}

void PendingSettlements::OnClaimTableReplaced(const ClaimTable& claims,
                                              Instant now) {
  std::erase_if(this->pending, [&claims](const auto& entry) {
    const auto& [key, offset] = entry.first;
    const Claim* claim = claims.Find(key);
    return claim == nullptr || claim->offset > offset ||
           (claim->offset == offset && claim->state != ClaimState::kOpen &&
            claim->state != ClaimState::kUnknown);
  });
  for (auto& [name, entry] : this->pending) {
    entry.retry_at = now;
  }
}

std::vector<records::Record> PendingSettlements::TakeDue(Instant now) {
  std::vector<records::Record> due;
  for (auto& [name, entry] : this->pending) {
    if (entry.retry_at <= now) {
      entry.retry_at = Instant::Never();
      due.push_back(RecordOf(entry.settled));
    }
  }
  return due;
}

Instant PendingSettlements::NextDueAt() const {
  Instant next = Instant::Never();
  for (const auto& [name, entry] : this->pending) {
    next = std::min(next, entry.retry_at);
  }
  return next;
}

}  // namespace carobrill::requests
