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

/// The outcome of a claim and, if it completed, the answer.
struct Settlement {
  records::ClaimOutcome outcome = records::CLAIM_OUTCOME_UNKNOWN;
  std::string answer = {};
  bool answer_omitted = false;
};

/// Settlements of claims that were determined here but are not in the log yet.
class PendingSettlements {
 public:
  explicit PendingSettlements(std::size_t answer_limit_bytes);

  /// Stores the settlement of the claim at `offset` and returns the record to
  /// propose. Replaces a pending settlement of the same claim; check
  /// IsRedundant first.
  records::Record Add(const ClaimKey& key,
                      Offset offset,
                      const Settlement& settlement);

  /// True if a settlement of the claim is pending and `outcome` adds nothing to
  /// it. Only a pending unknown outcome can be improved, by a definite one.
  bool IsRedundant(const ClaimKey& key,
                   Offset offset,
                   records::ClaimOutcome outcome) const;

  bool IsPending(const ClaimKey& key, Offset offset) const;

  /// A settlement of the claim, with any outcome, has been applied.
  void OnApplied(const records::ClaimSettled& settled, bool accepted);

  /// A proposed settlement was dropped; it is proposed again at `retry_at`.
  void OnDropped(const records::ClaimSettled& settled, Instant retry_at);

  /// The claim table was replaced: removes settlements that the new table
  /// contains and schedules the others to be proposed again.
  void OnClaimTableReplaced(const ClaimTable& claims, Instant now);

  /// Returns the records to propose again at `now`.
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
