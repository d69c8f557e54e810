#ifndef PACKAGES_AGENT_ATTEMPT_TABLE_H_
#define PACKAGES_AGENT_ATTEMPT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "packages/agent/aging_clock.h"
#include "packages/core/ids.h"
#include "packages/core/time.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::agent {

/// Limits on the records that the agent keeps about attempts and claims.
struct AttemptLimits {
  std::size_t max_attempts = 200'000;
  std::size_t max_claims = 100'000;
  /// Total bytes of answers kept for FenceClaim.
  std::size_t max_answer_bytes = 16 * 1024 * 1024;
  /// How long an attempt is recorded after its deadline.
  std::int64_t attempt_retention_ms = 10'000;
  /// How long a claim is recorded after it ended or was fenced.
  std::int64_t claim_retention_ms = 600'000;
};

/// Identifies an attempt and its claim for duplicate detection.
struct AttemptKey {
  AttemptId attempt;
  /// Offset of the claim when the request is not idempotent.
  std::optional<Offset> claim;
  Instant deadline;
};

/// Result of an attempt: whether it ran, and its answer.
struct AttemptOutcome {
  rpc::Ran ran = rpc::RAN_UNKNOWN;
  std::string answer;
};

/// Recorded state of a claim.
struct ClaimStatus {
  rpc::Ran ran = rpc::RAN_UNKNOWN;
  bool running = false;
  /// Empty when the answer has been dropped; `answer_length` still tells its
  /// size.
  std::string answer;
  std::size_t answer_length = 0;
  std::string answer_digest;
};

/// Ensures that an attempt id or a claim runs at most once in this incarnation.
class AttemptTable {
 public:
  explicit AttemptTable(const AttemptLimits& limits = {});

  /// Returns REFUSAL_NONE when the attempt has no record and its claim has
  /// neither started nor been fenced.
  rpc::Refusal Check(const AttemptKey& key) const;

  /// Returns REFUSAL_NONE and records the attempt as running when it may run.
  rpc::Refusal Begin(const AttemptKey& key, Instant now);

  /// Records a refused attempt, so that a later delivery of it cannot run.
  void Refuse(const AttemptKey& key, Instant now);

  /// Records the outcome of a running attempt.
  void End(const AttemptKey& key, const AttemptOutcome& outcome, Instant now);

  /// Refuses the claim from now on unless it is running or has run. Returns its
  /// status.
  ClaimStatus Fence(Offset claim, Instant now);

  /// Returns the status of the claim without fencing it.
  ClaimStatus GetStatus(Offset claim) const;

  /// Removes expired records.
  void Tick(Instant now);

  /// Number of recorded attempts and claims.
  std::size_t Size() const {
    return this->attempts.size() + this->claims.size();
  }

  /// Total bytes of the answers that are kept.
  std::size_t AnswerBytes() const { return this->answer_bytes; }

 private:
  struct Claim {
    ClaimStatus status;
    Instant expires_at;
  };

  bool RecordAttempt(const AttemptKey& key, Instant now);
  void SetClaim(Offset offset, ClaimStatus status, Instant expires_at);
  void DropAnswer(ClaimStatus& status);
  void EvictClaims();

  AttemptLimits limits;
  AgingClock clock;
  Instant expiry_now;
  std::map<AttemptId, Instant> attempts;
  std::multimap<Instant, AttemptId> attempts_by_expiry;
  std::map<Offset, Claim> claims;
  std::multimap<Instant, Offset> claims_by_expiry;
  /// Claims below this offset that are not in `claims` are refused.
  Offset fenced_below = 0;
  /// Claims whose answer was stored, oldest first.
  std::deque<Offset> claims_with_answer;
  std::size_t answer_bytes = 0;
};

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_ATTEMPT_TABLE_H_
