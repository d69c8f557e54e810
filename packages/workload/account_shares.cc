#include "packages/workload/account_shares.h"

#include <algorithm>
#include <utility>

namespace carobrill::workload {

AccountShares::AccountShares(
    const RunIndex& runs,
    const std::map<ServiceId, ServiceCapacity>& services) {
  std::map<std::pair<AccountId, ServiceId>, Resources> held;
  for (const auto& [agent, runs_here] : runs.ByAgent()) {
    for (const ActiveRun& run : runs_here) {
      if (run.task->phase != TaskPhase::kStopping) {
        const Submission& submission = run.job->submission;
        held[{submission.account, submission.service}] +=
            run.spec->PlacementDemand();
      }
    }
  }
  for (const auto& [key, resources] : held) {
    const auto service = services.find(key.second);
    if (service != services.end()) {
      double& share = this->shares[key.first];
      share = std::max(share, DominantShare(resources, service->second.total));
    }
  }
}

double AccountShares::ShareOf(const AccountId& account) const {
  const auto share = this->shares.find(account);
  return share == this->shares.end() ? 0 : share->second;
}

std::set<AccountId> AccountShares::LargeHolders(
    const std::set<AccountId>& accounts) const {
  double sum = 0;
  for (const AccountId& account : accounts) {
    sum += this->ShareOf(account);
  }
  const double limit =
      kLargeHolderFactor * sum / static_cast<double>(accounts.size());
  std::set<AccountId> large;
  for (const AccountId& account : accounts) {
    if (this->ShareOf(account) > limit) {
      large.insert(account);
    }
  }
  return large;
}

}  // namespace carobrill::workload
