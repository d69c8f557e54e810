#include "packages/agent/attempt_table.h"

#include <algorithm>
#include <utility>

#include "packages/core/digest.h"

namespace carobrill::agent {
namespace {

ClaimStatus RunningStatus() {
  ClaimStatus status;
  status.running = true;
  return status;
}

ClaimStatus NotRunStatus() {
  ClaimStatus status;
  status.ran = rpc::RAN_NO;
  return status;
}

ClaimStatus EndedStatus(const AttemptOutcome& outcome) {
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
      (*key.claim < this->fenced_below || this->claims.contains(*key.claim))) {
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
  if (!this->RecordAttempt(key, now)) {
    return rpc::REFUSAL_NO_SLOT;
  }
  if (key.claim.has_value()) {
    this->SetClaim(*key.claim, RunningStatus(), Instant::Never());
  }
  return rpc::REFUSAL_NONE;
}

// A refusal is reported as "not run", which must stay true when the same
// message is delivered again.
void AttemptTable::Refuse(const AttemptKey& key, Instant now) {
  this->Tick(now);
  this->RecordAttempt(key, now);
  if (key.claim.has_value()) {
    this->Fence(*key.claim, now);
  }
}

void AttemptTable::End(const AttemptKey& key,
                       const AttemptOutcome& outcome,
                       Instant now) {
  this->Tick(now);
  if (!key.claim.has_value() || !this->GetStatus(*key.claim).running) {
    return;
  }
  this->SetClaim(*key.claim, EndedStatus(outcome),
                 this->expiry_now.After(this->limits.claim_retention_ms));
  this->EvictClaims();
}

ClaimStatus AttemptTable::Fence(Offset claim, Instant now) {
  this->Tick(now);
  if (claim >= this->fenced_below && !this->claims.contains(claim)) {
    this->SetClaim(claim, NotRunStatus(),
                   this->expiry_now.After(this->limits.claim_retention_ms));
  }
  ClaimStatus status = this->GetStatus(claim);
  this->EvictClaims();
  return status;
}

ClaimStatus AttemptTable::GetStatus(Offset claim) const {
  const auto found = this->claims.find(claim);
  return found == this->claims.end() ? ClaimStatus{} : found->second.status;
}

void AttemptTable::Tick(Instant now) {
  this->expiry_now = this->clock.Advance(now);
  while (!this->attempts_by_expiry.empty() &&
         this->attempts_by_expiry.begin()->first <= this->expiry_now) {
    this->attempts.erase(this->attempts_by_expiry.begin()->second);
    this->attempts_by_expiry.erase(this->attempts_by_expiry.begin());
  }
  this->EvictClaims();
}

// A full table refuses new attempts. Evicting an old record instead would let
// a second delivery of that attempt run.
bool AttemptTable::RecordAttempt(const AttemptKey& key, Instant now) {
  if (this->attempts.contains(key.attempt)) {
    return true;
  }
  if (this->attempts.size() >= this->limits.max_attempts) {
    return false;
  }
  const auto remaining_ms = key.deadline.RemainingMs(now);
  const Instant expires_at =
      this->expiry_now.After(remaining_ms + this->limits.attempt_retention_ms);
  this->attempts.emplace(key.attempt, expires_at);
  this->attempts_by_expiry.emplace(expires_at, key.attempt);
  return true;
}

void AttemptTable::SetClaim(Offset offset,
                            ClaimStatus status,
                            Instant expires_at) {
  Claim& claim = this->claims[offset];
  this->DropAnswer(claim.status);
  if (!status.answer.empty()) {
    this->answer_bytes += status.answer.size();
    this->claims_with_answer.push_back(offset);
  }
  claim = Claim{std::move(status), expires_at};
  if (expires_at != Instant::Never()) {
    this->claims_by_expiry.emplace(expires_at, offset);
  }
}

void AttemptTable::DropAnswer(ClaimStatus& status) {
  this->answer_bytes -= status.answer.size();
  status.answer.clear();
}

// Evicting a claim raises `fenced_below` above its offset, and claims below it
// are refused. Eviction therefore loses the recorded outcome but never lets a
// fenced claim run. Running claims are not evicted; the number of slots bounds
// them. Answers are large, so they have a limit of their own and are dropped
// while their claims stay recorded.
void AttemptTable::EvictClaims() {
  while (!this->claims_by_expiry.empty() &&
         (this->claims_by_expiry.begin()->first <= this->expiry_now ||
          this->claims_by_expiry.size() > this->limits.max_claims)) {
    const Offset offset = this->claims_by_expiry.begin()->second;
    this->claims_by_expiry.erase(this->claims_by_expiry.begin());
    this->DropAnswer(this->claims.at(offset).status);
    this->claims.erase(offset);
    this->fenced_below = std::max(this->fenced_below, offset + 1);
  }
  while (this->answer_bytes > this->limits.max_answer_bytes) {
    const auto oldest = this->claims.find(this->claims_with_answer.front());
    this->claims_with_answer.pop_front();
    if (oldest != this->claims.end()) {
      this->DropAnswer(oldest->second.status);
    }
  }
}

}  // namespace carobrill::agent
