#include "packages/agent/attempt_table.h"

#include <algorithm>
#include <utility>

#include "packages/core/digest.h"

namespace carobrill::agent {
namespace {

ClaimStatus Running() {
  ClaimStatus status;
  status.running = true;
  return status;
}

ClaimStatus NotRun() {
  ClaimStatus status;
  status.ran = rpc::RAN_NO;
  return status;
}

ClaimStatus Ended(const AttemptOutcome& outcome) {
  ClaimStatus status;
  status.ran = outcome.ran;
  if (outcome.ran == rpc::RAN_YES) {
    status.answer = outcome.answer;
    status.answer_length = outcome.answer.size();
    status.answer_digest = DigestOf(outcome.answer);
  }
  return status;
}

}  // namespace

AttemptTable::AttemptTable(const AttemptLimits& limits) : limits(limits) {}

rpc::Refusal AttemptTable::Check(const AttemptKey& key) const {
  if (this->attempts.contains(key.attempt)) {
    return rpc::REFUSAL_DUPLICATE;
  }
  if (key.claim.has_value() &&
      (*key.claim < this->floor || this->claims.contains(*key.claim))) {
    return rpc::REFUSAL_FENCED;
  }
  return rpc::REFUSAL_NONE;
}

rpc::Refusal AttemptTable::Begin(const AttemptKey& key, Instant now) {
  this->Tick(now);
  const rpc::Refusal refusal = this->Check(key);
  if (refusal != rpc::REFUSAL_NONE) {
    return refusal;
  }
  if (!this->Remember(key, now)) {
    return rpc::REFUSAL_NO_SLOT;
  }
  if (key.claim.has_value()) {
    this->SetClaim(*key.claim, Running(), Instant::Never());
  }
  return rpc::REFUSAL_NONE;
}

// A refusal is told as "not run". A second delivery of the same message must
// not make that untrue.
void AttemptTable::Refuse(const AttemptKey& key, Instant now) {
  this->Tick(now);
  this->Remember(key, now);
  if (key.claim.has_value()) {
    this->Fence(*key.claim, now);
  }
}

void AttemptTable::End(const AttemptKey& key,
                       const AttemptOutcome& outcome,
                       Instant now) {
  this->Tick(now);
  if (!key.claim.has_value() || !this->Look(*key.claim).running) {
    return;
  }
  this->SetClaim(*key.claim, Ended(outcome),
                 this->aged.After(this->limits.claim_grace_ms));
  this->ForgetClaims();
}

ClaimStatus AttemptTable::Fence(Offset claim, Instant now) {
  this->Tick(now);
  if (claim >= this->floor && !this->claims.contains(claim)) {
    this->SetClaim(claim, NotRun(),
                   this->aged.After(this->limits.claim_grace_ms));
  }
  ClaimStatus status = this->Look(claim);
  this->ForgetClaims();
  return status;
}

ClaimStatus AttemptTable::Look(Offset claim) const {
  const auto found = this->claims.find(claim);
  return found == this->claims.end() ? ClaimStatus{} : found->second.status;
}

void AttemptTable::Tick(Instant now) {
  this->aged = this->clock.Advance(now);
  while (!this->attempts_by_age.empty() &&
         this->attempts_by_age.begin()->first <= this->aged) {
    this->attempts.erase(this->attempts_by_age.begin()->second);
    this->attempts_by_age.erase(this->attempts_by_age.begin());
  }
  this->ForgetClaims();
}

// A full table refuses new attempts. Dropping an old one instead would let a
// second delivery of it run.
bool AttemptTable::Remember(const AttemptKey& key, Instant now) {
  if (this->attempts.contains(key.attempt)) {
    return true;
  }
  if (this->attempts.size() >= this->limits.attempts) {
    return false;
  }
  const auto left_ms = key.deadline.RemainingMs(now);
  const Instant forget_at =
      this->aged.After(left_ms + this->limits.attempt_grace_ms);
  this->attempts.emplace(key.attempt, forget_at);
  this->attempts_by_age.emplace(forget_at, key.attempt);
  return true;
}

void AttemptTable::SetClaim(Offset offset,
                            ClaimStatus status,
                            Instant forget_at) {
  Claim& claim = this->claims[offset];
  this->DropAnswer(claim.status);
  if (!status.answer.empty()) {
    this->answer_bytes += status.answer.size();
    this->answers.push_back(offset);
  }
  claim = Claim{std::move(status), forget_at};
  if (forget_at != Instant::Never()) {
    this->claims_by_age.emplace(forget_at, offset);
  }
}

void AttemptTable::DropAnswer(ClaimStatus& status) {
  this->answer_bytes -= status.answer.size();
  status.answer.clear();
}

// The offsets of forgotten claims lie below the floor from then on, and what
// lies below the floor is refused. So forgetting a claim loses the record of
// its outcome but never a promise. A running claim is not forgotten; there are
// no more of them than slots. Answers are dropped first, since they are large.
void AttemptTable::ForgetClaims() {
  while (!this->claims_by_age.empty() &&
         (this->claims_by_age.begin()->first <= this->aged ||
          this->claims_by_age.size() > this->limits.claims)) {
    const Offset offset = this->claims_by_age.begin()->second;
    this->claims_by_age.erase(this->claims_by_age.begin());
    this->DropAnswer(this->claims.at(offset).status);
    this->claims.erase(offset);
    this->floor = std::max(this->floor, offset + 1);
  }
  while (this->answer_bytes > this->limits.answer_bytes) {
    const auto oldest = this->claims.find(this->answers.front());
    this->answers.pop_front();
    if (oldest != this->claims.end()) {
      this->DropAnswer(oldest->second.status);
    }
  }
}

}  // namespace carobrill::agent
