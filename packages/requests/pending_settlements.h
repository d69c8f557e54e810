#ifndef PACKAGES_REQUESTS_PENDING_SETTLEMENTS_H_
#define PACKAGES_REQUESTS_PENDING_SETTLEMENTS_H_

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/time.h"
#include "packages/records/records.pb.h"
#include "packages/requests/claim_table.h"
#include "packages/requests/request_types.h"

namespace carobrill::requests {

/// How a claim ended.
struct Settlement {
  records::ClaimOutcome outcome = records::CLAIM_OUTCOME_UNKNOWN;
  std::string answer = {};
  bool answer_omitted = false;
};

/// Outcomes of claims that are known here but not yet in the log.
class PendingSettlements {
 public:
  explicit PendingSettlements(std::size_t answer_limit_bytes);

  /// Remembers the outcome of the claim at `offset` and returns the record to
  /// propose. A later outcome of the same claim replaces an unknown one.
  records::Record Add(const ClaimKey& key,
                      Offset offset,
                      const Settlement& settlement);

  /// True when the outcome of the claim is pending and would not be improved
  /// by `outcome`.
  bool IsRedundant(const ClaimKey& key,
                   Offset offset,
                   records::ClaimOutcome outcome) const;

  bool IsPending(const ClaimKey& key, Offset offset) const;

  /// The fold has taken up a settlement of the claim, of whatever outcome.
  void OnApplied(const records::ClaimSettled& settled, bool accepted);

  /// A proposed settlement was dropped; it is proposed again at `retry_at`.
  void OnDropped(const records::ClaimSettled& settled, Instant retry_at);

  /// The claim table was replaced: forgets what it has taken up and proposes
  /// the rest again.
  void OnClaimsReplaced(const ClaimTable& claims, Instant now);

  /// Records to be proposed again at `now`.
  std::vector<records::Record> TakeDue(Instant now);

  Instant NextDueAt() const;

  bool empty() const { return this->pending.empty(); }

 private:
  using ClaimId = std::pair<ClaimKey, Offset>;
  struct PendingSettlement {
    records::ClaimSettled settled;
    Instant retry_at = Instant::Never();
  };

  std::size_t answer_limit_bytes;
  std::map<ClaimId, PendingSettlement> pending;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_PENDING_SETTLEMENTS_H_
