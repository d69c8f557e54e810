#ifndef PACKAGES_WORKLOAD_ACCOUNT_SHARES_H_
#define PACKAGES_WORKLOAD_ACCOUNT_SHARES_H_

#include <map>
#include <set>

#include "packages/core/ids.h"
#include "packages/workload/capacity_map.h"
#include "packages/workload/run_index.h"

namespace carobrill::workload {

/// The dominant share that each account holds: the largest fraction of any one
/// resource of any one service that its tasks use, without those that are being
/// stopped. Answers loads in which one account's work takes most of the
/// capacity while others wait.
class AccountShares {
 public:
  AccountShares(const RunIndex& runs,
                const std::map<ServiceId, ServiceCapacity>& services);

  /// Returns 0 for an account that holds nothing.
  double ShareOf(const AccountId& account) const;

  /// Returns those of the accounts that hold more than kLargeHolderFactor times
  /// the mean share of these accounts.
  std::set<AccountId> LargeHolders(const std::set<AccountId>& accounts) const;

 private:
  std::map<AccountId, double> shares;
};

/// A lower factor puts accounts last that hold little more than others. Their
/// jobs then miss objectives for which there would have been capacity.
inline constexpr double kLargeHolderFactor = 3;

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_ACCOUNT_SHARES_H_
