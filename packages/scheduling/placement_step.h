#ifndef PACKAGES_SCHEDULING_PLACEMENT_STEP_H_
#define PACKAGES_SCHEDULING_PLACEMENT_STEP_H_

#include <algorithm>
#include <map>
#include <optional>
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

/// The placements of one plan: walks the queue in order and claims cells on a
/// copy of the board. Jobs with equal demands are tried once per plan, so the
/// cost depends on the number of different demands and not on queued jobs.
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
        finder(state.GetBoard(), std::move(filter)) {}

  /// Appends GangPlaced records to `plan`. Jobs in `excluded` are left alone.
  void Run(const std::set<JobId>& excluded, Plan& plan);

 private:
  /// Jobs of one queue that are still to be tried.
  struct Group {
    const QueueKey* key = nullptr;
    std::set<QueueEntry>::const_iterator head;
    std::set<QueueEntry>::const_iterator end;
    AccountIndex account = kNoAccount;
    std::uint32_t share = 1;
    bool aged = false;
    int class_rank = 0;
  };
  /// What a plan has claimed for an account so far.
  struct Claimed {
    std::uint32_t in_use = 0;
    std::uint32_t borrowed = 0;
  };

  std::vector<Group> Groups() const;
  void SetHead(Group& group, const std::set<JobId>& excluded) const;
  bool Before(const Group& a, const Group& b) const;
  bool WithinQuota(const Group& group) const;
  std::optional<PlacementChoice> TryGroup(const Group& group);
  std::optional<PlacementChoice> TryMode(const PlacementRequest& request,
                                         PlacementMode mode);
  void Hold(const Group& group);
  void PlaceOnProbation(std::vector<Group>& groups,
                        const std::set<JobId>& excluded,
                        Plan& plan);
  void Claim(Group& group,
             const PlacementChoice& choice,
             const std::set<JobId>& excluded,
             Plan& plan);
  records::Record RecordOf(const Job& job, const PlacementChoice& choice) const;

  const Cluster& cluster;
  const PlannerSettings& settings;
  Instant now;
  PlacementFinder<Filter> finder;
  std::map<AccountId, Claimed> claimed;
  std::optional<Reservation> reservation;
  /// Demands that failed; claims only grow within a plan, so they fail again.
  std::set<std::tuple<Demand, PlacementMode, bool>> failed;
};

template <CellFilter Filter>
void PlacementStep<Filter>::Run(const std::set<JobId>& excluded, Plan& plan) {
  std::vector<Group> groups = this->Groups();
  for (Group& group : groups) {
    this->SetHead(group, excluded);
  }
  this->PlaceOnProbation(groups, excluded, plan);
  std::uint32_t placed = 0;
  while (placed < this->settings.max_placements) {
    std::erase_if(groups,
                  [](const Group& group) { return group.head == group.end; });
    const auto first = std::min_element(
        groups.begin(), groups.end(),
        [&](const Group& a, const Group& b) { return this->Before(a, b); });
    if (first == groups.end()) {
      return;
    }
    if (!this->WithinQuota(*first)) {
      first->head = first->end;
      continue;
    }
    const auto choice = this->TryGroup(*first);
    if (!choice.has_value()) {
      if (!this->settings.backfill) {
        return;
      }
      this->Hold(*first);
      first->head = first->end;
      continue;
    }
    this->Claim(*first, *choice, excluded, plan);
    ++placed;
  }
}

template <CellFilter Filter>
void PlacementStep<Filter>::Claim(Group& group,
                                  const PlacementChoice& choice,
                                  const std::set<JobId>& excluded,
                                  Plan& plan) {
  const Job& job = *this->cluster.FindJob(group.head->job);
  plan.records.push_back(this->RecordOf(job, choice));
  Claimed& account = this->claimed[group.key->account];
  for (const Cell& cell : choice.cells) {
    account.in_use += cell.count;
    account.borrowed += choice.borrowed ? cell.count : 0;
  }
  ++group.head;
  this->SetHead(group, excluded);
}

/// A worker on probation gets one small job that can be repeated elsewhere.
template <CellFilter Filter>
void PlacementStep<Filter>::PlaceOnProbation(std::vector<Group>& groups,
                                             const std::set<JobId>& excluded,
                                             Plan& plan) {
  for (const WorkerId& id : this->cluster.WorkersToWatch()) {
    const WorkerIndex index = *this->cluster.IndexOf(id);
    const BoardWorker& data = this->finder.Scratch().GetWorker(index);
    if (!data.probation || !this->cluster.Workers().at(id).jobs.empty()) {
      continue;
    }
    Group* best = nullptr;
    for (Group& group : groups) {
      const bool suits =
          group.head != group.end && group.key->demand.members == 1 &&
          group.key->demand.preemptible &&
          this->cluster.FindJob(group.head->job)->spec.idempotent() &&
          CellFor(data, group.key->demand.size) != 0 &&
          this->WithinQuota(group);
      if (suits && (best == nullptr || this->Before(group, *best))) {
        best = &group;
      }
    }
    if (best != nullptr) {
      PlacementChoice choice;
      choice.cells = {Cell{index, 0, CellFor(data, best->key->demand.size)}};
      choice.borrowed = true;
      this->Claim(*best, choice, excluded, plan);
    }
  }
}

template <CellFilter Filter>
auto PlacementStep<Filter>::Groups() const -> std::vector<Group> {
  std::vector<Group> groups;
  groups.reserve(this->cluster.Queue().size());
  const auto& accounts = this->cluster.CurrentPolicy().accounts;
  for (const auto& [key, entries] : this->cluster.Queue()) {
    const auto account = accounts.find(key.account);
    if (account == accounts.end()) {
      continue;
    }
    Group group;
    group.key = &key;
    group.head = entries.begin();
    group.end = entries.end();
    group.account = this->cluster.AccountIndexOf(key.account);
    group.share = account->second.share;
    groups.push_back(group);
  }
  return groups;
}

template <CellFilter Filter>
void PlacementStep<Filter>::SetHead(Group& group,
                                    const std::set<JobId>& excluded) const {
  while (group.head != group.end && excluded.contains(group.head->job)) {
    ++group.head;
  }
  if (group.head == group.end) {
    return;
  }
  const Job& job = *this->cluster.FindJob(group.head->job);
  group.aged = job.submitted_at.After(this->settings.aging_ms) <= this->now;
  group.class_rank = static_cast<int>(group.key->job_class);
  if (group.aged && group.key->job_class == records::JOB_CLASS_BATCH) {
    group.class_rank = static_cast<int>(records::JOB_CLASS_NORMAL);
  }
}

template <CellFilter Filter>
bool PlacementStep<Filter>::Before(const Group& a, const Group& b) const {
  if (a.class_rank != b.class_rank) {
    return a.class_rank < b.class_rank;
  }
  // A job that has waited long is not held back by its account's share.
  if (a.aged != b.aged) {
    return a.aged;
  }
  if (!a.aged && a.key->account != b.key->account) {
    const auto used = [&](const Group& group) -> std::uint64_t {
      const auto claims = this->claimed.find(group.key->account);
      return this->cluster.Borrowed(group.key->account) +
             (claims == this->claimed.end() ? 0 : claims->second.borrowed);
    };
    const std::uint64_t left = used(a) * b.share;
    const std::uint64_t right = used(b) * a.share;
    if (left != right) {
      return left < right;
    }
  }
  return *a.head < *b.head;
}

template <CellFilter Filter>
bool PlacementStep<Filter>::WithinQuota(const Group& group) const {
  const auto& quota =
      this->cluster.CurrentPolicy().accounts.at(group.key->account).quota;
  if (!quota.has_value()) {
    return true;
  }
  const auto claims = this->claimed.find(group.key->account);
  const std::uint64_t used =
      this->cluster.InUse(group.key->account) +
      (claims == this->claimed.end() ? 0 : claims->second.in_use);
  const std::uint64_t cell = this->cluster.SmallestCell(group.key->demand.size);
  return used + cell * group.key->demand.members <= *quota;
}

template <CellFilter Filter>
std::optional<PlacementChoice> PlacementStep<Filter>::TryGroup(
    const Group& group) {
  const Job& job = *this->cluster.FindJob(group.head->job);
  PlacementRequest request;
  request.demand = group.key->demand;
  request.account = group.account;
  request.job_class = group.key->job_class;
  request.preemptible = group.key->demand.preemptible;
  request.estimated_end =
      this->now.After(this->cluster.EstimatedRunMs(job.spec));
  if (auto choice = this->TryMode(request, PlacementMode::kGuaranteed)) {
    return choice;
  }
  const bool may_borrow = request.preemptible && this->settings.borrow;
  if (may_borrow) {
    if (auto choice = this->TryMode(request, PlacementMode::kBorrowed)) {
      return choice;
    }
  }
  if (auto choice =
          this->TryMode(request, PlacementMode::kGuaranteedOverVictims)) {
    return choice;
  }
  if (may_borrow && request.job_class == records::JOB_CLASS_URGENT) {
    return this->TryMode(request, PlacementMode::kBorrowedOverVictims);
  }
  return std::nullopt;
}

template <CellFilter Filter>
std::optional<PlacementChoice> PlacementStep<Filter>::TryMode(
    const PlacementRequest& request,
    PlacementMode mode) {
  static const ReservedMasks kNothing;
  const bool guaranteed = mode == PlacementMode::kGuaranteed ||
                          mode == PlacementMode::kGuaranteedOverVictims;
  // Work that ends before the reserved cells are all free does not delay the
  // gang that they are kept for.
  const bool avoid = !guaranteed && this->reservation.has_value() &&
                     request.estimated_end > this->reservation->free_at;
  const std::tuple<Demand, PlacementMode, bool> attempt{request.demand, mode,
                                                        avoid};
  if (!guaranteed && this->failed.contains(attempt)) {
    return std::nullopt;
  }
  auto choice = this->finder.Find(request, mode,
                                  avoid ? this->reservation->masks : kNothing);
  if (!choice.has_value() && !guaranteed) {
    this->failed.insert(attempt);
  }
  return choice;
}

template <CellFilter Filter>
void PlacementStep<Filter>::Hold(const Group& group) {
  // Only work that may borrow can use whichever cells become free.
  if (!this->reservation.has_value() && group.key->demand.preemptible &&
      this->settings.borrow) {
    this->reservation =
        Reserve(this->finder.Scratch(), group.key->demand, this->now);
  }
}

template <CellFilter Filter>
records::Record PlacementStep<Filter>::RecordOf(
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
