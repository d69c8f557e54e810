#ifndef PACKAGES_SCHEDULING_PLACEMENT_STEP_H_
#define PACKAGES_SCHEDULING_PLACEMENT_STEP_H_

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "packages/scheduling/cluster.h"
#include "packages/scheduling/placement.h"
#include "packages/scheduling/planner.h"
#include "packages/scheduling/reservation.h"

namespace carobrill::scheduling {

/// Computes the placements of one plan: visits the queued jobs in order and
/// claims cells on a copy of the allocator. Each demand is tried once per plan,
/// so the cost depends on the number of distinct demands, not of queued jobs.
template <CellFilter Filter>
class PlacementStep {
 public:
  PlacementStep(const Cluster& state,
                const PlannerSettings& step_settings,
                Instant log_time,
                Filter filter)
      : cluster(state),
        settings(step_settings),
        now(log_time),
        finder(state.GetAllocator(), std::move(filter)) {}

  /// Appends GangPlaced records to `plan` for queued jobs that are not in
  /// `excluded`.
  void Run(const std::set<JobId>& excluded, Plan& plan);

 private:
  /// The jobs of one queue that have not been tried yet.
  struct Group {
    const QueueKey* key = nullptr;
    std::set<QueueEntry>::const_iterator head;
    std::set<QueueEntry>::const_iterator end;
    /// The job at `head`; null if the group is empty.
    const Job* job = nullptr;
    AccountIndex account = kNoAccount;
    /// Index into `accounts`.
    std::size_t account_entry = 0;
    /// Accelerators of the smallest cell that fits one member.
    std::uint32_t cell_accelerators = 0;
  };
  /// Sort key of the first job of a group; the smallest is tried first.
  struct Rank {
    int job_class = 0;
    bool not_aged = false;
    /// Borrowed accelerators divided by the account's share, in thousandths; 0
    /// for an aged job.
    std::uint64_t share_used = 0;
    std::int64_t order_ms = 0;
    Offset submitted_offset = 0;
    std::size_t group = 0;

    auto operator<=>(const Rank&) const = default;
  };
  /// Accelerator usage of an account, including the claims of this plan.
  struct AccountUse {
    std::uint32_t in_use = 0;
    std::uint32_t borrowed = 0;
    std::uint32_t guaranteed = 0;
    std::uint32_t share = 1;
    std::optional<std::uint32_t> quota;
  };

  std::vector<Group> BuildGroups();
  void SkipExcluded(Group& group, const std::set<JobId>& excluded) const;
  Rank RankOf(const std::vector<Group>& groups, std::size_t index) const;
  std::uint32_t UnusedGuarantee(const Group& group) const;
  bool IsWithinQuota(const Group& group) const;
  std::optional<PlacementChoice> TryGroup(const Group& group);
  std::optional<PlacementChoice> TryMode(const PlacementRequest& request,
                                         PlacementMode mode);
  void ReserveFor(const Group& group);
  void PlaceOnProbationWorkers(std::vector<Group>& groups,
                               const std::set<JobId>& excluded,
                               Plan& plan);
  void Claim(Group& group,
             const PlacementChoice& choice,
             const std::set<JobId>& excluded,
             Plan& plan);
  records::Record PlacementRecord(const Job& job,
                                  const PlacementChoice& choice) const;

  const Cluster& cluster;
  const PlannerSettings& settings;
  Instant now;
  PlacementFinder<Filter> finder;
  std::vector<AccountUse> accounts;
  std::optional<Reservation> reservation;
  /// Account (guaranteed modes only), mode, whether the reservation is avoided,
  /// and adjacency.
  using AttemptKey =
      std::tuple<AccountIndex, PlacementMode, bool, records::Adjacency>;

  /// Demands that could not be placed. Claims only grow within a plan, so equal
  /// and larger demands would fail too.
  std::map<AttemptKey, std::vector<Demand>> failed;
  std::set<AccountIndex> accounts_with_reserved_guarantee;

  static bool IsAtLeast(const Demand& demand, const Demand& smaller) {
    return demand.members >= smaller.members &&
           demand.size.accelerators >= smaller.size.accelerators &&
           demand.size.cores_milli >= smaller.size.cores_milli &&
           demand.size.memory_mb >= smaller.size.memory_mb;
  }
};

template <CellFilter Filter>
void PlacementStep<Filter>::Run(const std::set<JobId>& excluded, Plan& plan) {
  std::vector<Group> groups = this->BuildGroups();
  for (Group& group : groups) {
    this->SkipExcluded(group, excluded);
  }
  this->PlaceOnProbationWorkers(groups, excluded, plan);
  std::priority_queue<Rank, std::vector<Rank>, std::greater<>> order;
  const auto push_group = [&](std::size_t index) {
    if (groups[index].head != groups[index].end) {
      order.push(this->RankOf(groups, index));
    }
  };
  for (std::size_t index = 0; index < groups.size(); ++index) {
    push_group(index);
  }
  std::uint32_t placed = 0;
  while (!order.empty() && placed < this->settings.max_placements) {
    const Rank rank = order.top();
    order.pop();
    // Claims made by this plan can only lower a group's priority, so a group
    // whose rank is stale is queued again with its current rank.
    if (this->RankOf(groups, rank.group) > rank) {
      push_group(rank.group);
      continue;
    }
    Group& group = groups[rank.group];
    if (!this->IsWithinQuota(group)) {
      continue;
    }
    if (const auto choice = this->TryGroup(group)) {
      this->Claim(group, *choice, excluded, plan);
      ++placed;
      push_group(rank.group);
    } else if (!this->settings.backfill) {
      return;
    } else {
      this->ReserveFor(group);
    }
  }
}

template <CellFilter Filter>
void PlacementStep<Filter>::Claim(Group& group,
                                  const PlacementChoice& choice,
                                  const std::set<JobId>& excluded,
                                  Plan& plan) {
  plan.records.push_back(this->PlacementRecord(*group.job, choice));
  AccountUse& account = this->accounts[group.account_entry];
  for (const Cell& cell : choice.cells) {
    account.in_use += cell.count;
    account.borrowed += choice.borrowed ? cell.count : 0;
  }
  ++group.head;
  this->SkipExcluded(group, excluded);
}

/// Places one preemptible, idempotent single-member job on each worker on
/// probation, because it can be repeated elsewhere if the worker fails.
template <CellFilter Filter>
void PlacementStep<Filter>::PlaceOnProbationWorkers(
    std::vector<Group>& groups,
    const std::set<JobId>& excluded,
    Plan& plan) {
  for (const WorkerId& id : this->cluster.NotReadyOrFailingWorkers()) {
    const WorkerIndex index = *this->cluster.IndexOf(id);
    const AllocatorWorker& data =
        this->finder.ScratchAllocator().GetWorker(index);
    if (!data.probation || !this->cluster.Workers().at(id).jobs.empty()) {
      continue;
    }
    std::optional<Rank> best;
    for (std::size_t i = 0; i < groups.size(); ++i) {
      const Group& group = groups[i];
      const bool eligible =
          group.head != group.end && group.key->demand.members == 1 &&
          group.key->demand.preemptible && group.job->spec.idempotent() &&
          CellFor(data, group.key->demand.size) != 0 &&
          this->IsWithinQuota(group);
      if (eligible && (!best || this->RankOf(groups, i) < *best)) {
        best = this->RankOf(groups, i);
      }
    }
    if (best) {
      Group& group = groups[best->group];
      PlacementChoice choice;
      choice.cells = {Cell{index, 0, CellFor(data, group.key->demand.size)}};
      choice.borrowed = true;
      this->Claim(group, choice, excluded, plan);
    }
  }
}

template <CellFilter Filter>
auto PlacementStep<Filter>::BuildGroups() -> std::vector<Group> {
  std::map<AccountId, std::size_t> account_entries;
  for (const auto& [id, account] : this->cluster.CurrentPolicy().accounts) {
    account_entries[id] = this->accounts.size();
    this->accounts.push_back(
        {this->cluster.InUse(id), this->cluster.Borrowed(id),
         this->cluster.Guaranteed(id), account.share, account.quota});
  }
  std::vector<Group> groups;
  groups.reserve(this->cluster.Queue().size());
  for (const auto& [key, entries] : this->cluster.Queue()) {
    const auto entry = account_entries.find(key.account);
    if (entry == account_entries.end()) {
      continue;
    }
    Group group;
    group.key = &key;
    group.head = entries.begin();
    group.end = entries.end();
    group.account = this->cluster.AccountIndexOf(key.account);
    group.account_entry = entry->second;
    group.cell_accelerators = this->cluster.SmallestCell(key.demand.size);
    groups.push_back(group);
  }
  return groups;
}

template <CellFilter Filter>
void PlacementStep<Filter>::SkipExcluded(
    Group& group,
    const std::set<JobId>& excluded) const {
  while (group.head != group.end && excluded.contains(group.head->job)) {
    ++group.head;
  }
  group.job = group.head == group.end ? nullptr
                                      : this->cluster.FindJob(group.head->job);
}

template <CellFilter Filter>
auto PlacementStep<Filter>::RankOf(const std::vector<Group>& groups,
                                   std::size_t index) const -> Rank {
  const Group& group = groups[index];
  const bool aged =
      group.job->submitted_at.After(this->settings.aging_ms) <= this->now;
  Rank rank;
  rank.job_class = static_cast<int>(group.key->job_class);
  if (aged && group.key->job_class == records::JOB_CLASS_BATCH) {
    rank.job_class = static_cast<int>(records::JOB_CLASS_NORMAL);
  }
  // Aged jobs are exempt from fair sharing and come before jobs that have not
  // aged.
  rank.not_aged = !aged;
  if (!aged) {
    const AccountUse& use = this->accounts[group.account_entry];
    rank.share_used = std::uint64_t{use.borrowed} * 1000 / use.share;
  }
  rank.order_ms = group.head->order_ms;
  rank.submitted_offset = group.head->submitted_offset;
  rank.group = index;
  return rank;
}

/// Accelerators of the account's guarantee that are not in use by guaranteed
/// work.
template <CellFilter Filter>
std::uint32_t PlacementStep<Filter>::UnusedGuarantee(const Group& group) const {
  const AccountUse& use = this->accounts[group.account_entry];
  const std::uint32_t used = use.in_use - use.borrowed;
  return use.guaranteed > used ? use.guaranteed - used : 0;
}

template <CellFilter Filter>
bool PlacementStep<Filter>::IsWithinQuota(const Group& group) const {
  const AccountUse& use = this->accounts[group.account_entry];
  return !use.quota.has_value() ||
         use.in_use + std::uint64_t{group.cell_accelerators} *
                          group.key->demand.members <=
             *use.quota;
}

template <CellFilter Filter>
std::optional<PlacementChoice> PlacementStep<Filter>::TryGroup(
    const Group& group) {
  PlacementRequest request;
  request.demand = group.key->demand;
  request.account = group.account;
  request.job_class = group.key->job_class;
  request.preemptible = group.key->demand.preemptible;
  request.estimated_end =
      this->now.After(this->cluster.EstimatedRunMs(group.job->spec));
  const bool may_borrow = request.preemptible && this->settings.borrow;
  // While an earlier job of the account waits for its guarantee, later ones may
  // only borrow, so that the earlier one can reclaim their cells.
  const bool guarantee_reserved =
      this->settings.reserve_guarantee && may_borrow &&
      this->accounts_with_reserved_guarantee.contains(group.account);
  const bool may_use_guarantee =
      !guarantee_reserved && group.cell_accelerators * request.demand.members <=
                                 this->UnusedGuarantee(group);
  const bool cheap_to_preempt =
      group.job->spec.preemption() == records::PREEMPTION_CHECKPOINT;
  const bool borrow_first =
      may_borrow && (this->settings.borrow_first == BorrowFirst::kAlways ||
                     (this->settings.borrow_first == BorrowFirst::kCheckpoint &&
                      cheap_to_preempt));
  if (borrow_first) {
    if (auto choice = this->TryMode(request, PlacementMode::kBorrowed)) {
      return choice;
    }
  }
  if (may_use_guarantee) {
    if (auto choice = this->TryMode(request, PlacementMode::kGuaranteed)) {
      return choice;
    }
  }
  if (may_borrow && !borrow_first) {
    if (auto choice = this->TryMode(request, PlacementMode::kBorrowed)) {
      return choice;
    }
  }
  if (may_use_guarantee) {
    if (auto choice =
            this->TryMode(request, PlacementMode::kGuaranteedPreempting)) {
      return choice;
    }
  }
  if (may_borrow && request.job_class == records::JOB_CLASS_URGENT) {
    return this->TryMode(request, PlacementMode::kBorrowedPreempting);
  }
  return std::nullopt;
}

template <CellFilter Filter>
std::optional<PlacementChoice> PlacementStep<Filter>::TryMode(
    const PlacementRequest& request,
    PlacementMode mode) {
  static const ReservedMasks nothing;
  const bool guaranteed = mode == PlacementMode::kGuaranteed ||
                          mode == PlacementMode::kGuaranteedPreempting;
  // Work that is estimated to end before all reserved cells are free cannot
  // delay the gang that they are reserved for.
  const bool avoid = !guaranteed && this->reservation.has_value() &&
                     request.estimated_end > this->reservation->free_at;
  const AttemptKey attempt{guaranteed ? request.account : kNoAccount, mode,
                           avoid, request.demand.adjacency};
  std::vector<Demand>& failed_demands = this->failed[attempt];
  if (std::any_of(failed_demands.begin(), failed_demands.end(),
                  [&](const Demand& smaller) {
                    return IsAtLeast(request.demand, smaller);
                  })) {
    return std::nullopt;
  }
  auto choice = this->finder.Find(request, mode,
                                  avoid ? this->reservation->masks : nothing);
  if (!choice.has_value()) {
    failed_demands.push_back(request.demand);
  }
  return choice;
}

template <CellFilter Filter>
void PlacementStep<Filter>::ReserveFor(const Group& group) {
  if (group.cell_accelerators * group.key->demand.members <=
      this->accounts[group.account_entry].guaranteed) {
    this->accounts_with_reserved_guarantee.insert(group.account);
  }
  // A job that may not borrow is limited to the guaranteed cells of its
  // account, so reserving other cells would not help it.
  if (!this->reservation.has_value() && group.key->demand.preemptible &&
      this->settings.borrow) {
    this->reservation =
        Reserve(this->finder.ScratchAllocator(), group.key->demand, this->now);
  }
}

template <CellFilter Filter>
records::Record PlacementStep<Filter>::PlacementRecord(
    const Job& job,
    const PlacementChoice& choice) const {
  records::Record record;
  auto& placed = *record.mutable_gang_placed();
  placed.set_job(job.id.value);
  placed.set_attempt(job.attempt);
  placed.set_borrowed(choice.borrowed);
  for (const Cell& cell : choice.cells) {
    const Worker& worker =
        this->cluster.Workers().at(this->cluster.WorkerAt(cell.worker));
    auto& member = *placed.add_members();
    member.set_worker(worker.id.value);
    member.set_incarnation(worker.incarnation);
    member.set_first_accelerator(cell.first);
    member.set_accelerators(cell.count);
  }
  for (const JobHandle victim : choice.victims) {
    placed.add_victims(this->cluster.JobAt(victim).value);
  }
  return record;
}

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_PLACEMENT_STEP_H_
