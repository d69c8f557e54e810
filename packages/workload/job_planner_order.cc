// The part of JobPlanner that decides in which order waiting units are served.

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

#include "packages/workload/account_shares.h"
#include "packages/workload/job_planner.h"

namespace carobrill::workload {

// A guaranteed job may preempt at any cost whenever it has waited for long
// enough, also after its run was lost. If it were served after others then,
// these would take what it frees, and it would preempt them again in the same
// pass.
bool JobPlanner::IsServedFirst(const WaitingUnit& waiting) const {
  return waiting.guaranteed &&
         (waiting.job->phase == JobPhase::kQueued ||
          this->settings.serving_order != ServingOrder::kSlack);
}

// Urgent jobs have to start within seconds: among them, any order but that of
// their slack makes more of them late.
void JobPlanner::MarkLargeHolders(std::vector<WaitingUnit>& waiting,
                                  const CapacityMap& map) const {
  std::map<std::int64_t, std::set<AccountId>> accounts_by_rank;
  for (const WaitingUnit& unit : waiting) {
    if (unit.job->submission.priority > 0) {
      accounts_by_rank[unit.rank].insert(unit.job->submission.account);
    }
  }
  if (accounts_by_rank.empty()) {
    return;
  }
  const AccountShares shares(this->runs, map.Services());
  for (auto& [rank, accounts] : accounts_by_rank) {
    accounts = shares.LargeHolders(accounts);
  }
  for (WaitingUnit& unit : waiting) {
    const auto large = accounts_by_rank.find(unit.rank);
    unit.large_holder = large != accounts_by_rank.end() &&
                        large->second.contains(unit.job->submission.account);
  }
}

void JobPlanner::SortWaitingUnits(std::vector<WaitingUnit>& waiting,
                                  const CapacityMap& map) const {
  if (this->settings.serving_order == ServingOrder::kShares) {
    this->MarkLargeHolders(waiting, map);
  }
  std::ranges::stable_sort(
      waiting, [](const WaitingUnit& a, const WaitingUnit& b) {
        return std::tuple(a.rank, a.large_holder, a.slack_ms) <
               std::tuple(b.rank, b.large_holder, b.slack_ms);
      });
}

}  // namespace carobrill::workload
