// Placement of gangs and preemption of their victims.

#include "packages/scheduling/cluster.h"

#include <algorithm>
#include <bit>
#include <cassert>

#include "packages/core/hash.h"

namespace carobrill::scheduling {

using records::Verdict;

namespace {

/// Number of placements whose refill the retry budget can accumulate above its
/// burst.
constexpr std::int64_t kMaxRefillPlacements = 1000;

std::uint32_t TotalAccelerators(const std::vector<GangMember>& members) {
  std::uint32_t total = 0;
  for (const auto& member : members) {
    total += member.accelerators;
  }
  return total;
}

}  // namespace

Verdict Cluster::ApplyBody(const records::GangPlaced& body) {
  Job* job = nullptr;
  if (const Verdict verdict = this->Find(body.job(), body.attempt(), job);
      verdict != Verdict::kAccepted) {
    return verdict;
  }
  if (!this->charts.gang.Next(job->state, JobEvent::kPlace).has_value()) {
    return Verdict::kWrongState;
  }
  if (const Verdict verdict = this->CheckMembers(*job, body);
      verdict != Verdict::kAccepted) {
    return verdict;
  }
  if (const Verdict verdict = this->CheckAdjacency(*job, body);
      verdict != Verdict::kAccepted) {
    return verdict;
  }
  if (const Verdict verdict = this->CheckVictims(*job, body);
      verdict != Verdict::kAccepted) {
    return verdict;
  }
  Job placed = *job;
  placed.borrowed = body.borrowed();
  placed.members.clear();
  for (const auto& member : body.members()) {
    placed.members.push_back({WorkerId(member.worker()), member.incarnation(),
                              member.first_accelerator(),
                              member.accelerators()});
  }
  std::vector<JobHandle> victims;
  for (const auto& victim : body.victims()) {
    victims.push_back(this->handles.at(JobId(victim)));
  }
  const std::vector<Cell> cells = this->CellsOf(placed);
  const JobHandle handle =
      this->allocator.AddAllocation(this->MakeAllocation(placed));
  if (const Verdict verdict = this->allocator.Place(handle, cells, victims);
      verdict != Verdict::kAccepted) {
    this->allocator.RemoveAllocation(handle);
    return verdict;
  }
  this->Dequeue(*job);
  job->members = std::move(placed.members);
  job->borrowed = placed.borrowed;
  this->Transition(*job, JobEvent::kPlace);
  this->handles[job->id] = handle;
  this->jobs_by_handle.resize(
      std::max<std::size_t>(this->jobs_by_handle.size(), handle + 1));
  this->jobs_by_handle[handle] = job->id;
  for (const auto& member : job->members) {
    this->workers.at(member.worker).jobs.insert(job->id);
  }
  this->AddUsage(*job, 1);
  this->PreemptVictims(body);
  this->RecordPendingVictims(*job, cells);
  this->RefillRetryBudget();
  return Verdict::kAccepted;
}

Verdict Cluster::CheckMembers(const Job& job,
                              const records::GangPlaced& body) const {
  if (static_cast<std::uint32_t>(body.members_size()) != job.spec.members()) {
    return Verdict::kMalformed;
  }
  const auto account =
      this->policy.accounts.find(AccountId(job.spec.account()));
  if (account == this->policy.accounts.end()) {
    return Verdict::kUnknownAccount;
  }
  const MemberSize size = this->EffectiveSize(job.spec);
  std::map<std::string, Mask> taken;
  std::uint64_t total = 0;
  for (const auto& member : body.members()) {
    const auto worker = this->workers.find(WorkerId(member.worker()));
    if (worker == this->workers.end()) {
      return Verdict::kUnknownWorker;
    }
    if (member.incarnation() != worker->second.incarnation) {
      return Verdict::kStaleIncarnation;
    }
    const auto& data =
        this->allocator.GetWorker(this->worker_indexes.at(worker->second.id));
    // A worker on probation accepts one task at a time.
    const bool accepts_probation_task = data.probation &&
                                        worker->second.jobs.empty() &&
                                        !taken.contains(member.worker());
    if (!data.ready && !accepts_probation_task) {
      return Verdict::kWorkerUnavailable;
    }
    const std::uint32_t count = member.accelerators();
    const bool aligned = std::has_single_bit(count) &&
                         count <= data.accelerators &&
                         member.first_accelerator() % count == 0 &&
                         member.first_accelerator() < data.accelerators;
    if (!aligned) {
      return Verdict::kMalformed;
    }
    const std::uint32_t needed = CellFor(data, size);
    if (needed == 0 || count < needed) {
      return Verdict::kCannotRun;
    }
    const Mask mask = MaskOf(member.first_accelerator(), count);
    if ((taken[member.worker()] & mask) != 0) {
      return Verdict::kCellTaken;
    }
    taken[member.worker()] |= mask;
    total += count;
  }
  const auto& quota = account->second.quota;
  if (quota.has_value() && this->InUse(account->first) + total > *quota) {
    return Verdict::kAboveQuota;
  }
  if (body.borrowed() && !IsPreemptible(job.spec)) {
    return Verdict::kNotPreemptible;
  }
  return Verdict::kAccepted;
}

Verdict Cluster::CheckAdjacency(const Job& job,
                                const records::GangPlaced& body) const {
  const Worker& first = this->workers.at(WorkerId(body.members(0).worker()));
  for (const auto& member : body.members()) {
    const Worker& worker = this->workers.at(WorkerId(member.worker()));
    const bool violates_adjacency =
        (job.spec.adjacency() == records::ADJACENCY_WORKER &&
         worker.id != first.id) ||
        (job.spec.adjacency() == records::ADJACENCY_RACK &&
         worker.rack != first.rack) ||
        (job.spec.adjacency() == records::ADJACENCY_FAILURE_DOMAIN &&
         worker.domain != first.domain);
    if (violates_adjacency) {
      return Verdict::kNotAdjacent;
    }
  }
  return Verdict::kAccepted;
}

Verdict Cluster::CheckVictims(const Job& job,
                              const records::GangPlaced& body) const {
  std::set<JobHandle> occupants;
  if (body.victims_size() > 0) {
    for (const auto& member : body.members()) {
      const WorkerIndex worker =
          this->worker_indexes.at(WorkerId(member.worker()));
      for (std::uint32_t i = 0; i < member.accelerators(); ++i) {
        const Slot& slot =
            this->allocator.GetSlot(worker, member.first_accelerator() + i);
        occupants.insert(slot.holder);
        occupants.insert(slot.stopping_holder);
      }
    }
  }
  std::set<std::string> seen;
  for (const auto& name : body.victims()) {
    const Job* victim = this->FindJob(JobId(name));
    if (victim == nullptr) {
      return Verdict::kUnknownJob;
    }
    if (!HoldsCells(victim->state)) {
      return Verdict::kWrongState;
    }
    // Preempting a gang that occupies none of the requested cells would free
    // nothing for this placement.
    if (!seen.insert(name).second ||
        !occupants.contains(this->handles.at(victim->id))) {
      return Verdict::kMalformed;
    }
    if (victim->state == JobState::kStopping) {
      continue;
    }
    const bool outranked =
        !body.borrowed() ||
        (job.spec.job_class() == records::JOB_CLASS_URGENT &&
         victim->spec.job_class() != records::JOB_CLASS_URGENT);
    if (!victim->borrowed || !IsPreemptible(victim->spec) || !outranked) {
      return Verdict::kVictimNotPreemptible;
    }
  }
  return Verdict::kAccepted;
}

void Cluster::PreemptVictims(const records::GangPlaced& body) {
  for (const auto& name : body.victims()) {
    Job& victim = this->jobs.at(JobId(name));
    if (victim.state == JobState::kPlaced) {
      // A placed gang has no running tasks, so it needs no stop.
      this->ReturnToQueue(victim, JobEvent::kRelease, EndReason::kPreempted);
    } else if (victim.state != JobState::kStopping) {
      this->BeginStopping(victim, JobEvent::kStop, EndReason::kPreempted);
    }
  }
}

void Cluster::RecordPendingVictims(Job& job, const std::vector<Cell>& cells) {
  for (const Cell& cell : cells) {
    for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
      const JobHandle stopping_holder =
          this->allocator.GetSlot(cell.worker, at).stopping_holder;
      if (stopping_holder != kNoJob) {
        const JobId& victim = this->jobs_by_handle[stopping_holder];
        job.pending_victims.insert(victim);
        this->claimants[victim].insert(job.id);
      }
    }
  }
}

std::vector<Cell> Cluster::CellsOf(const Job& job) const {
  std::vector<Cell> cells;
  cells.reserve(job.members.size());
  for (const auto& member : job.members) {
    cells.push_back(Cell{this->worker_indexes.at(member.worker),
                         member.first_accelerator, member.accelerators});
  }
  return cells;
}

Allocation Cluster::MakeAllocation(const Job& job) {
  Allocation allocation;
  allocation.account = this->AddAccount(AccountId(job.spec.account()));
  allocation.borrowed = job.borrowed;
  allocation.stopping = job.state == JobState::kStopping;
  allocation.evictable =
      allocation.stopping || (job.borrowed && IsPreemptible(job.spec));
  allocation.committed = IsCommitted(job.state);
  allocation.job_class = job.spec.job_class();
  const bool running = job.state == JobState::kRunning;
  allocation.estimated_end = (running ? job.started_at : this->log_time)
                                 .After(this->EstimatedRunMs(job.spec));
  return allocation;
}

void Cluster::AddUsage(const Job& job, int sign) {
  const std::uint32_t total =
      TotalAccelerators(job.members) * static_cast<std::uint32_t>(sign);
  const AccountId account(job.spec.account());
  Usage& account_usage = this->usage[account];
  account_usage.in_use += total;
  account_usage.borrowed += job.borrowed ? total : 0;
  if (account_usage.in_use == 0) {
    this->usage.erase(account);
  }
}

void Cluster::RefillRetryBudget() {
  const std::int64_t max_budget =
      this->settings.retry_burst * 1000 +
      this->settings.retry_permille * kMaxRefillPlacements;
  this->retry_budget_milli = std::min(
      max_budget, this->retry_budget_milli + this->settings.retry_permille);
}

// State transitions of gangs.

bool Cluster::Transition(Job& job, JobEvent event) {
  const auto next = this->charts.gang.Next(job.state, event);
  if (!next.has_value()) {
    return false;
  }
  this->jobs_by_state[job.state].erase({job.since, job.id});
  job.state = *next;
  job.since = this->log_time;
  if (IsEnded(job.state)) {
    this->ended.insert({job.since, job.id});
  } else {
    this->jobs_by_state[job.state].insert({job.since, job.id});
  }
  return true;
}

}  // namespace carobrill::scheduling
