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

/// Bounds of what the agent remembers about attempts.
struct AttemptLimits {
  std::size_t attempts = 200'000;
  std::size_t claims = 100'000;
  /// Bytes of answers kept for FenceClaim.
  std::size_t answer_bytes = 16 * 1024 * 1024;
  /// How long an attempt is remembered after its deadline.
  std::int64_t attempt_grace_ms = 10'000;
  /// How long a claim is remembered after its deadline or end.
  std::int64_t claim_grace_ms = 600'000;
};

/// An attempt as far as its identity matters.
struct AttemptKey {
  AttemptId attempt;
  /// Offset of the claim when the request is not idempotent.
  std::optional<Offset> claim;
  Instant deadline;
};

/// How an attempt ended.
struct AttemptOutcome {
  rpc::Ran ran = rpc::RAN_UNKNOWN;
  std::string answer;
};

/// What is known about a claim.
struct ClaimStatus {
  rpc::Ran ran = rpc::RAN_UNKNOWN;
  bool running = false;
  /// Empty when the answer itself is no longer kept; compare the length.
  std::string answer;
  std::size_t answer_length = 0;
  std::string answer_digest;
};

/// Lets an attempt id or a claim run at most once during this incarnation.
class AttemptTable {
 public:
  explicit AttemptTable(const AttemptLimits& limits = {});

  /// REFUSAL_NONE when the attempt has not been seen and its claim is open.
  rpc::Refusal Check(const AttemptKey& key) const;

  /// REFUSAL_NONE when the attempt may run now; it counts as running then.
  rpc::Refusal Begin(const AttemptKey& key, Instant now);

  /// Remembers that the attempt was refused and must not run later.
  void Refuse(const AttemptKey& key, Instant now);

  /// Records the end of a running attempt.
  void End(const AttemptKey& key, const AttemptOutcome& outcome, Instant now);

  /// Promises to refuse the claim unless it runs or ran.
  ClaimStatus Fence(Offset claim, Instant now);

  /// What is known about the claim, without a promise.
  ClaimStatus Look(Offset claim) const;

  /// Forgets what is too old to matter.
  void Tick(Instant now);

  /// Attempts and claims remembered.
  std::size_t Size() const {
    return this->attempts.size() + this->claims.size();
  }

  /// Bytes of answers remembered.
  std::size_t AnswerBytes() const { return this->answer_bytes; }

 private:
  struct Claim {
    ClaimStatus status;
    Instant forget_at;
  };

  bool Remember(const AttemptKey& key, Instant now);
  void SetClaim(Offset offset, ClaimStatus status, Instant forget_at);
  void DropAnswer(ClaimStatus& status);
  void ForgetClaims();

  AttemptLimits limits;
  AgingClock clock;
  Instant aged;
  std::map<AttemptId, Instant> attempts;
  std::multimap<Instant, AttemptId> attempts_by_age;
  std::map<Offset, Claim> claims;
  std::multimap<Instant, Offset> claims_by_age;
  /// Claims below this offset that are not in `claims` never run.
  Offset floor = 0;
  /// Claims that were given an answer, oldest first.
  std::deque<Offset> answers;
  std::size_t answer_bytes = 0;
};

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_ATTEMPT_TABLE_H_
