// Placement of gangs, and the victims whose cells they take.

#include "packages/scheduling/cluster.h"

#include <algorithm>
#include <bit>
#include <cassert>

#include "packages/core/hash.h"

namespace carobrill::scheduling {

using records::Verdict;

namespace {

/// Placements whose earned retries can be saved up.
constexpr std::int64_t kMaxEarningPlacements = 1000;

std::uint32_t TotalAccelerators(const std::vector<GangMember>& members) {
  std::uint32_t total = 0;
  for (const auto& member : members) {
    total += member.accelerators;
  }
  return total;
}

}  // namespace

Verdict Cluster::Fold(const records::GangPlaced& body) {
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
  const JobHandle handle = this->board.AddHolder(this->HolderOf(placed));
  if (const Verdict verdict = this->board.Place(handle, cells, victims);
      verdict != Verdict::kAccepted) {
    this->board.RemoveHolder(handle);
    return verdict;
  }
  this->Dequeue(*job);
  job->members = std::move(placed.members);
  job->borrowed = placed.borrowed;
  this->Step(*job, JobEvent::kPlace);
  this->handles[job->id] = handle;
  this->handle_jobs.resize(
      std::max<std::size_t>(this->handle_jobs.size(), handle + 1));
  this->handle_jobs[handle] = job->id;
  for (const auto& member : job->members) {
    this->workers.at(member.worker).jobs.insert(job->id);
  }
  this->AddUsage(*job, 1);
  this->DisplaceVictims(body);
  this->RecordPendingVictims(*job, cells);
  this->Earn();
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
        this->board.GetWorker(this->worker_indexes.at(worker->second.id));
    // A worker on probation gets one task at a time.
    const bool on_trial = data.probation && worker->second.jobs.empty() &&
                          !taken.contains(member.worker());
    if (!data.ready && !on_trial) {
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
    const bool apart =
        (job.spec.adjacency() == records::ADJACENCY_WORKER &&
         worker.id != first.id) ||
        (job.spec.adjacency() == records::ADJACENCY_RACK &&
         worker.rack != first.rack) ||
        (job.spec.adjacency() == records::ADJACENCY_FAILURE_DOMAIN &&
         worker.domain != first.domain);
    if (apart) {
      return Verdict::kNotAdjacent;
    }
  }
  return Verdict::kAccepted;
}

Verdict Cluster::CheckVictims(const Job& job,
                              const records::GangPlaced& body) const {
  std::set<JobHandle> in_the_way;
  if (body.victims_size() > 0) {
    for (const auto& member : body.members()) {
      const WorkerIndex worker =
          this->worker_indexes.at(WorkerId(member.worker()));
      for (std::uint32_t i = 0; i < member.accelerators(); ++i) {
        const Slot& slot =
            this->board.GetSlot(worker, member.first_accelerator() + i);
        in_the_way.insert(slot.holder);
        in_the_way.insert(slot.ending);
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
    // Stopping a gang that is not in the way would gain nothing.
    if (!seen.insert(name).second ||
        !in_the_way.contains(this->handles.at(victim->id))) {
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

void Cluster::DisplaceVictims(const records::GangPlaced& body) {
  for (const auto& name : body.victims()) {
    Job& victim = this->jobs.at(JobId(name));
    if (victim.state == JobState::kPlaced) {
      // Nothing of it runs, so there is nothing to wait for.
      this->ReturnToQueue(victim, JobEvent::kRelease, EndReason::kPreempted);
    } else if (victim.state != JobState::kStopping) {
      this->BeginStopping(victim, JobEvent::kStop, EndReason::kPreempted);
    }
  }
}

void Cluster::RecordPendingVictims(Job& job, const std::vector<Cell>& cells) {
  for (const Cell& cell : cells) {
    for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
      const JobHandle ending = this->board.GetSlot(cell.worker, at).ending;
      if (ending != kNoJob) {
        const JobId& victim = this->handle_jobs[ending];
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

Holder Cluster::HolderOf(const Job& job) {
  Holder holder;
  holder.account = this->AddAccount(AccountId(job.spec.account()));
  holder.borrowed = job.borrowed;
  holder.stopping = job.state == JobState::kStopping;
  holder.takeable =
      holder.stopping || (job.borrowed && IsPreemptible(job.spec));
  holder.committed = IsCommitted(job.state);
  holder.job_class = job.spec.job_class();
  const bool running = job.state == JobState::kRunning;
  holder.estimated_end = (running ? job.started_at : this->log_time)
                             .After(this->EstimatedRunMs(job.spec));
  return holder;
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

void Cluster::Earn() {
  const std::int64_t most =
      this->settings.retry_burst * 1000 +
      this->settings.retry_permille * kMaxEarningPlacements;
  this->retry_milli =
      std::min(most, this->retry_milli + this->settings.retry_permille);
}

// The life of a gang.

bool Cluster::Step(Job& job, JobEvent event) {
  const auto next = this->charts.gang.Next(job.state, event);
  if (!next.has_value()) {
    return false;
  }
  this->in_state[job.state].erase({job.since, job.id});
  job.state = *next;
  job.since = this->log_time;
  if (IsEnded(job.state)) {
    this->ended.insert({job.since, job.id});
  } else {
    this->in_state[job.state].insert({job.since, job.id});
  }
  return true;
}

}  // namespace carobrill::scheduling
