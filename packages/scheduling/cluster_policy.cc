#include <algorithm>
#include <bit>

#include "packages/scheduling/cluster.h"

// Policy changes, capacity counts and queries of the cluster.

namespace carobrill::scheduling {

namespace {

using records::Verdict;

LevelCounts GuaranteeCounts(const AccountPolicy& account) {
  LevelCounts guarantee{};
  for (const auto& part : account.guarantee) {
    guarantee[part.whole_rack ? kLevels : LevelOf(part.accelerators)] +=
        part.count;
  }
  return guarantee;
}

bool ValidCells(const GuaranteedCells& part) {
  return part.whole_rack || (std::has_single_bit(part.accelerators) &&
                             part.accelerators <= kMaxAccelerators);
}

bool ValidHardware(const DeclaredHardware& hardware) {
  return hardware.racks > 0 && hardware.workers_per_rack > 0 &&
         std::has_single_bit(hardware.accelerators) &&
         hardware.accelerators <= kMaxAccelerators;
}

bool IsZero(const LevelCounts& counts) {
  return std::all_of(counts.begin(), counts.end(),
                     [](std::uint32_t count) { return count == 0; });
}

}  // namespace

Verdict Cluster::CheckPolicy(const Policy& checked) const {
  const auto& hardware = checked.hardware;
  if (hardware.has_value() && !ValidHardware(*hardware)) {
    return Verdict::kMalformed;
  }
  LevelCounts wanted{};
  for (const auto& [id, account] : checked.accounts) {
    const bool valid = !id.empty() && account.share > 0 &&
                       std::all_of(account.guarantee.begin(),
                                   account.guarantee.end(), ValidCells);
    if (!valid) {
      return Verdict::kMalformed;
    }
    const LevelCounts guarantee = GuaranteeCounts(account);
    for (std::size_t level = 0; level < wanted.size(); ++level) {
      wanted[level] += guarantee[level];
    }
  }
  LevelCounts missing;
  if (hardware.has_value()) {
    missing =
        CountUnmet(wanted, {}, {{hardware->workers_per_rack, hardware->racks}},
                   LevelOf(hardware->accelerators));
  } else {
    missing = this->allocator.UnmetOnAllWorkers(wanted);
  }
  return IsZero(missing) ? Verdict::kAccepted : Verdict::kBreaksGuarantee;
}

void Cluster::SetPolicy(const Policy& replacement, Instant appended_at) {
  this->AdvanceTo(appended_at);
  this->policy = replacement;
  this->SetStandardRack();
  for (const auto& [id, account] : this->policy.accounts) {
    this->AddAccount(id);
  }
  for (const auto& [id, worker] : this->workers) {
    this->SetAvailability(worker);
  }
  std::vector<GuaranteedWork> work;
  for (const auto& [id, job] : this->jobs) {
    if (HoldsCells(job.state) && !job.borrowed) {
      work.push_back(
          {this->handles.at(id), this->CellsOf(job), IsPreemptible(job.spec)});
    }
  }
  // Bind non-preemptible work first, because it cannot be demoted to borrowed.
  std::stable_partition(
      work.begin(), work.end(),
      [](const GuaranteedWork& entry) { return !entry.preemptible; });
  for (const JobHandle handle :
       this->allocator.SetGuarantees(this->Guarantees(), work)) {
    Job& job = this->jobs.at(this->jobs_by_handle[handle]);
    this->AddUsage(job, -1);
    job.borrowed = true;
    this->AddUsage(job, 1);
  }
}

void Cluster::SetStandardRack() {
  const DeclaredHardware hardware =
      this->policy.hardware.value_or(DeclaredHardware{});
  this->allocator.SetStandardRack(hardware.workers_per_rack,
                                  hardware.accelerators);
}

std::vector<LevelCounts> Cluster::Guarantees() {
  std::vector<LevelCounts> result(this->account_indexes.size());
  for (const auto& [id, index] : this->account_indexes) {
    const auto account = this->policy.accounts.find(id);
    if (account != this->policy.accounts.end()) {
      result[index] = GuaranteeCounts(account->second);
    }
  }
  return result;
}

AccountIndex Cluster::AddAccount(const AccountId& account) {
  const auto known = this->account_indexes.find(account);
  if (known != this->account_indexes.end()) {
    return known->second;
  }
  const AccountIndex index = this->allocator.AddAccount();
  this->account_indexes[account] = index;
  return index;
}

void Cluster::AddToAllocator(const Worker& worker) {
  const auto rack = static_cast<RackIndex>(this->rack_indexes.size());
  const auto domain = static_cast<DomainIndex>(this->domain_indexes.size());
  AllocatorWorker data;
  data.accelerators = worker.accelerators;
  data.cores_milli = worker.cores_milli;
  data.memory_mb = worker.memory_mb;
  data.rack = this->rack_indexes.try_emplace(worker.rack, rack).first->second;
  data.domain =
      this->domain_indexes.try_emplace(worker.domain, domain).first->second;
  const WorkerIndex index = this->allocator.AddWorker(data);
  this->worker_ids.resize(
      std::max<std::size_t>(this->worker_ids.size(), index + 1));
  this->worker_ids[index] = worker.id;
  this->worker_indexes[worker.id] = index;
  this->CountCapacity(worker, true);
  this->SetAvailability(worker);
}

void Cluster::RemoveFromAllocator(const Worker& worker) {
  this->allocator.RemoveWorker(this->worker_indexes.at(worker.id));
  this->worker_indexes.erase(worker.id);
  this->CountCapacity(worker, false);
}

void Cluster::CountCapacity(const Worker& worker, bool add) {
  const WorkerCapacity capacity{worker.accelerators, worker.cores_milli,
                                worker.memory_mb};
  const auto count = [&](CapacityCounts& counts) {
    counts[capacity] += add ? 1 : ~0U;
    if (counts[capacity] == 0) {
      counts.erase(capacity);
    }
  };
  count(this->capacities);
  count(this->domain_capacities[worker.domain]);
  CapacityCounts& rack = this->rack_capacities[worker.rack];
  const auto before = this->rack_compositions.find(rack);
  if (before != this->rack_compositions.end() && --before->second == 0) {
    this->rack_compositions.erase(before);
  }
  count(rack);
  if (!rack.empty()) {
    ++this->rack_compositions[rack];
  }
}

const Job* Cluster::FindJob(const JobId& id) const {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : &found->second;
}

const Job* Cluster::FindByKey(const AccountId& account,
                              const std::string& key) const {
  const auto found = this->idempotency_keys.find({account, key});
  return found == this->idempotency_keys.end() ? nullptr
                                               : this->FindJob(found->second);
}

const LearnedEstimate* Cluster::FindLearned(const AccountId& account,
                                            const std::string& kind) const {
  const auto found = this->learned.find({account, kind});
  return found == this->learned.end() ? nullptr : &found->second;
}

MemberSize Cluster::EffectiveSize(const records::JobSpec& spec) const {
  const auto& declared = spec.member_size();
  MemberSize size{declared.accelerators(), declared.cores_milli(),
                  declared.memory_mb()};
  const LearnedEstimate* known =
      this->FindLearned(AccountId(spec.account()), spec.kind());
  if (known == nullptr) {
    return size;
  }
  // Cap learned sizes at the largest suitable worker, so that a job always fits
  // some worker.
  WorkerCapacity largest{};
  for (const auto& [capacity, count] : this->capacities) {
    if (capacity.accelerators >= size.accelerators) {
      largest.cores_milli = std::max(largest.cores_milli, capacity.cores_milli);
      largest.memory_mb = std::max(largest.memory_mb, capacity.memory_mb);
    }
  }
  if (known->cores_milli != 0) {
    size.cores_milli = std::min(known->cores_milli, largest.cores_milli);
  }
  if (known->memory_mb != 0) {
    size.memory_mb = std::min(known->memory_mb, largest.memory_mb);
  }
  return size;
}

std::int64_t Cluster::EstimatedRunMs(const records::JobSpec& spec) const {
  const LearnedEstimate* known =
      this->FindLearned(AccountId(spec.account()), spec.kind());
  const std::int64_t permille = known == nullptr ? 1000 : known->run_permille;
  // Keeps products and sums of times within 64 bits.
  constexpr std::int64_t kMaxRunMs = 1'000'000'000'000;
  return std::min(std::min(spec.expected_run_ms(), kMaxRunMs) * permille / 1000,
                  kMaxRunMs);
}

const StateTimeIndex& Cluster::JobsInState(JobState state) const {
  static const StateTimeIndex empty;
  const auto found = this->jobs_by_state.find(state);
  return found == this->jobs_by_state.end() ? empty : found->second;
}

std::uint32_t Cluster::InUse(const AccountId& account) const {
  const auto found = this->usage.find(account);
  return found == this->usage.end() ? 0 : found->second.in_use;
}

std::uint32_t Cluster::Borrowed(const AccountId& account) const {
  const auto found = this->usage.find(account);
  return found == this->usage.end() ? 0 : found->second.borrowed;
}

std::optional<WorkerIndex> Cluster::IndexOf(const WorkerId& worker) const {
  const auto found = this->worker_indexes.find(worker);
  if (found == this->worker_indexes.end()) {
    return std::nullopt;
  }
  return found->second;
}

JobHandle Cluster::HandleOf(const JobId& job) const {
  const auto found = this->handles.find(job);
  return found == this->handles.end() ? kNoJob : found->second;
}

AccountIndex Cluster::AccountIndexOf(const AccountId& account) const {
  const auto found = this->account_indexes.find(account);
  return found == this->account_indexes.end() ? kNoAccount : found->second;
}

std::uint32_t Cluster::AcceleratorsOf(const LevelCounts& counts) const {
  std::uint32_t total = counts[kLevels] * this->allocator.RackWorkerCount() *
                        this->allocator.RackAccelerators();
  for (std::uint32_t level = 0; level < kLevels; ++level) {
    total += counts[level] << level;
  }
  return total;
}

std::uint32_t Cluster::Guaranteed(const AccountId& account) const {
  const auto found = this->policy.accounts.find(account);
  return found == this->policy.accounts.end()
             ? 0
             : this->AcceleratorsOf(GuaranteeCounts(found->second));
}

std::vector<AccountStatus> Cluster::Accounts() const {
  std::vector<AccountStatus> result;
  for (const auto& [id, account] : this->policy.accounts) {
    AccountStatus status;
    status.account = id;
    status.quota = account.quota;
    status.guaranteed = this->Guaranteed(id);
    const auto used = this->usage.find(id);
    if (used != this->usage.end()) {
      status.in_use = used->second.in_use;
      status.borrowed = used->second.borrowed;
    }
    const auto waiting_jobs = this->queued_counts.find(id);
    status.waiting_jobs =
        waiting_jobs == this->queued_counts.end() ? 0 : waiting_jobs->second;
    // Guaranteed cells of one level are interchangeable. If a level falls
    // short, every account with an unavailable cell of this level is at risk.
    LevelCounts risk =
        this->allocator.UnavailableGuarantee(this->account_indexes.at(id));
    for (std::uint32_t level = 0; level <= kLevels; ++level) {
      risk[level] = std::min(risk[level], this->allocator.Unmet()[level]);
    }
    status.at_risk = this->AcceleratorsOf(risk);
    const std::uint32_t taken =
        status.in_use - status.borrowed + status.at_risk;
    status.reclaimable =
        status.guaranteed > taken ? status.guaranteed - taken : 0;
    result.push_back(status);
  }
  return result;
}

WaitingStatus Cluster::GetWaitingStatus(const JobId& id) const {
  WaitingStatus status;
  const Job* job = this->FindJob(id);
  if (job == nullptr) {
    return status;
  }
  if (job->state == JobState::kPlaced && !job->pending_victims.empty()) {
    status.reason = WaitingReason::kVictimsStopping;
    status.needed = static_cast<std::uint32_t>(job->pending_victims.size());
    return status;
  }
  if (job->state != JobState::kQueued) {
    return status;
  }
  const AccountId account(job->spec.account());
  const auto granted = this->policy.accounts.find(account);
  if (granted == this->policy.accounts.end()) {
    status.reason = WaitingReason::kAccountRemoved;
    return status;
  }
  status.cell = this->SmallestCell(this->EffectiveSize(job->spec));
  status.needed = status.cell * job->spec.members();
  const std::uint32_t in_use = this->InUse(account);
  if (granted->second.quota.has_value() &&
      in_use + status.needed > *granted->second.quota) {
    status.reason = WaitingReason::kOverQuota;
    status.available =
        *granted->second.quota > in_use ? *granted->second.quota - in_use : 0;
    return status;
  }
  const bool any_ready = std::any_of(
      this->workers.begin(), this->workers.end(), [&](const auto& entry) {
        return this->allocator.GetWorker(this->worker_indexes.at(entry.first))
            .ready;
      });
  if (!any_ready) {
    status.reason = WaitingReason::kNoWorkerReady;
    return status;
  }
  status.needed = job->spec.members();
  const CellIndex& free = this->allocator.Free();
  status.available = SplitCount(free.Total(), status.cell);
  if (status.available < status.needed) {
    status.reason = IsPreemptible(job->spec) ? WaitingReason::kNoFreeCells
                                             : WaitingReason::kGuaranteeInUse;
    return status;
  }
  std::uint32_t max_adjacent = 0;
  for (WorkerIndex worker = 0; worker < this->allocator.WorkerCount();
       ++worker) {
    const auto& data = this->allocator.GetWorker(worker);
    std::uint32_t cells = status.available;
    if (job->spec.adjacency() == records::ADJACENCY_WORKER) {
      cells = SplitCount(MaximalCells(free.Get(worker)), status.cell);
    } else if (job->spec.adjacency() == records::ADJACENCY_RACK) {
      cells = SplitCount(free.InRack(data.rack), status.cell);
    } else if (job->spec.adjacency() == records::ADJACENCY_FAILURE_DOMAIN) {
      cells = SplitCount(free.InDomain(data.domain), status.cell);
    }
    max_adjacent = std::max(max_adjacent, cells);
  }
  if (max_adjacent < status.needed) {
    status.reason = WaitingReason::kNotAdjacent;
    status.available = max_adjacent;
    return status;
  }
  if (!IsPreemptible(job->spec)) {
    status.reason = WaitingReason::kGuaranteeInUse;
    return status;
  }
  status.reason = WaitingReason::kBehindOthers;
  for (const auto& [key, entries] : this->queue) {
    if (key.job_class == job->spec.job_class()) {
      status.ahead += static_cast<std::uint32_t>(std::distance(
          entries.begin(), entries.lower_bound(this->QueueEntryOf(*job))));
    }
  }
  return status;
}

std::string Describe(const WaitingStatus& status) {
  const std::string needed = std::to_string(status.needed);
  const std::string available = std::to_string(status.available);
  const std::string cell = std::to_string(status.cell);
  switch (status.reason) {
    case WaitingReason::kNone:
      return "The job does not wait.";
    case WaitingReason::kAccountRemoved:
      return "The rules no longer name the job's account.";
    case WaitingReason::kOverQuota:
      return "The job needs " + needed + " accelerators, but only " +
             available + " remain of the account's quota.";
    case WaitingReason::kNoWorkerReady:
      return "No worker is ready.";
    case WaitingReason::kNoFreeCells:
      return "The job needs " + needed + " cells of " + cell +
             " accelerators, but only " + available + " are free.";
    case WaitingReason::kNotAdjacent:
      return "The job needs " + needed + " adjacent cells of " + cell +
             " accelerators, but at most " + available +
             " are free in one place.";
    case WaitingReason::kGuaranteeInUse:
      return "The job may not be preempted, and the unused guarantee of its "
             "account is too small for " +
             needed + " cells of " + cell + " accelerators.";
    case WaitingReason::kBehindOthers:
      return "Cells are free; " + std::to_string(status.ahead) +
             " jobs of its class come first.";
    case WaitingReason::kVictimsStopping:
      return "The job is placed and waits until " + needed +
             " preempted jobs have stopped.";
  }
  return "";
}

}  // namespace carobrill::scheduling
