#include "packages/scheduling/cluster.h"

#include <algorithm>
#include <bit>
#include <cassert>

#include "packages/core/hash.h"

namespace carobrill::scheduling {

using records::Verdict;

namespace {

/// Upper bound on the delay of a job in the deadline order. Jobs without a
/// deadline are ordered as if they had to start this long after submission, so
/// that jobs with deadlines cannot starve them.
constexpr std::int64_t kOrderHorizonMs = 3'600'000;

std::optional<WorkerEvent> EventForState(records::WorkerState state) {
  switch (state) {
    case records::WORKER_STATE_READY:
      return WorkerEvent::kAdmit;
    case records::WORKER_STATE_DRAINING:
      return WorkerEvent::kDrain;
    case records::WORKER_STATE_QUARANTINED:
      return WorkerEvent::kQuarantine;
    case records::WORKER_STATE_PROBATION:
      return WorkerEvent::kProbe;
    case records::WORKER_STATE_LOST:
      return WorkerEvent::kLose;
    default:
      return std::nullopt;
  }
}

}  // namespace

bool ClusterSettings::Valid() const {
  return this->ended_retention_ms > 0 && this->max_members > 0 &&
         this->max_failures > 0 && this->quarantine_ms > 0 &&
         this->max_quarantine_ms >= this->quarantine_ms &&
         this->retry_burst >= 0 && this->retry_permille >= 0 &&
         this->size_hysteresis_permille < 1000 && this->max_learned > 0;
}

Cluster::Cluster(Charts state_charts, ClusterSettings cluster_settings)
    : charts(state_charts), settings(cluster_settings) {
  assert(this->settings.Valid());
  this->retry_budget_milli = this->settings.retry_burst * 1000;
  this->jobs_by_handle.emplace_back();
}

Verdict Cluster::Apply(const records::Record& record,
                       Offset offset,
                       Instant appended_at) {
  using Body = records::Record::BodyCase;
  if (record.body_case() < Body::kWorkerRegistered ||
      record.body_case() > Body::kSizeCorrected) {
    return Verdict::kIgnored;
  }
  this->AdvanceTo(appended_at);
  switch (record.body_case()) {
    case Body::kWorkerRegistered:
      return this->ApplyBody(record.worker_registered());
    case Body::kWorkerStateChanged:
      return this->ApplyBody(record.worker_state_changed());
    case Body::kJobSubmitted:
      return this->ApplyBody(record.job_submitted(), offset);
    case Body::kJobCancelled:
      return this->ApplyBody(record.job_cancelled());
    case Body::kGangPlaced:
      return this->ApplyBody(record.gang_placed());
    case Body::kGangReleased:
      return this->ApplyBody(record.gang_released());
    case Body::kGangStartCommitted:
      return this->ApplyBody(record.gang_start_committed());
    case Body::kGangStarted:
      return this->ApplyBody(record.gang_started());
    case Body::kGangStopRequested:
      return this->ApplyBody(record.gang_stop_requested());
    case Body::kGangEnded:
      return this->ApplyBody(record.gang_ended());
    case Body::kSizeCorrected:
      return this->ApplyBody(record.size_corrected());
    default:
      return Verdict::kIgnored;
  }
}

void Cluster::AdvanceTo(Instant appended_at) {
  if (appended_at > this->log_time) {
    this->log_time = appended_at;
    this->PurgeEnded();
    this->PurgeLostWorkers();
  }
}

void Cluster::PurgeEnded() {
  const Instant limit =
      this->log_time.After(-this->settings.ended_retention_ms);
  while (!this->ended.empty() && this->ended.begin()->first <= limit) {
    const JobId id = this->ended.begin()->second;
    this->ended.erase(this->ended.begin());
    const auto job = this->jobs.find(id);
    if (!job->second.idempotency_key.empty()) {
      this->idempotency_keys.erase(
          {AccountId(job->second.spec.account()), job->second.idempotency_key});
    }
    this->jobs.erase(job);
  }
}

void Cluster::PurgeLostWorkers() {
  const Instant limit =
      this->log_time.After(-this->settings.ended_retention_ms);
  while (!this->lost_workers.empty() &&
         this->lost_workers.begin()->first <= limit) {
    const auto entry = *this->lost_workers.begin();
    const auto worker = this->workers.find(entry.second);
    this->lost_workers.erase(this->lost_workers.begin());
    if (!worker->second.jobs.empty()) {
      // The worker still has gangs whose end is not recorded; retry after
      // another retention period.
      worker->second.since = this->log_time;
      this->lost_workers.insert({this->log_time, entry.second});
      continue;
    }
    this->RemoveFromAllocator(worker->second);
    this->not_ready_or_failing_workers.erase(entry.second);
    this->workers.erase(worker);
  }
}

// Workers.

Verdict Cluster::ApplyBody(const records::WorkerRegistered& body) {
  const auto& capacity = body.capacity();
  if (body.worker().empty() || body.rack().empty() ||
      body.failure_domain().empty() ||
      !std::has_single_bit(capacity.accelerators()) ||
      capacity.accelerators() > kMaxAccelerators) {
    return Verdict::kMalformed;
  }
  Worker registered;
  registered.id = WorkerId(body.worker());
  registered.incarnation = body.incarnation();
  registered.rack = RackId(body.rack());
  registered.domain = FailureDomainId(body.failure_domain());
  registered.region = RegionId(body.region());
  registered.accelerators = capacity.accelerators();
  registered.cores_milli = capacity.cores_milli();
  registered.memory_mb = capacity.memory_mb();
  registered.state = this->charts.worker.Initial();
  registered.since = this->log_time;
  const auto known = this->workers.find(registered.id);
  if (known == this->workers.end()) {
    const Worker& added =
        this->workers.emplace(registered.id, std::move(registered))
            .first->second;
    this->AddToAllocator(added);
    return Verdict::kAccepted;
  }
  Worker& worker = known->second;
  if (registered.incarnation < worker.incarnation) {
    return Verdict::kStaleIncarnation;
  }
  if (registered.incarnation == worker.incarnation &&
      worker.state != WorkerState::kLost) {
    return Verdict::kDuplicate;
  }
  const bool moved = registered.rack != worker.rack ||
                     registered.domain != worker.domain ||
                     registered.accelerators != worker.accelerators ||
                     registered.cores_milli != worker.cores_milli ||
                     registered.memory_mb != worker.memory_mb;
  if (moved && !worker.jobs.empty()) {
    return Verdict::kWrongState;
  }
  if (registered.incarnation > worker.incarnation) {
    this->StopGangsOn(worker);
  }
  if (worker.state == WorkerState::kLost) {
    this->lost_workers.erase({worker.since, worker.id});
  }
  if (moved) {
    this->RemoveFromAllocator(worker);
    worker.rack = registered.rack;
    worker.domain = registered.domain;
    worker.accelerators = registered.accelerators;
    worker.cores_milli = registered.cores_milli;
    worker.memory_mb = registered.memory_mb;
  }
  worker.incarnation = registered.incarnation;
  worker.region = registered.region;
  this->Transition(worker, WorkerEvent::kRegister);
  this->RestoreQuarantine(worker);
  if (moved) {
    this->AddToAllocator(worker);
  }
  this->SetAvailability(worker);
  return Verdict::kAccepted;
}

Verdict Cluster::ApplyBody(const records::WorkerStateChanged& body) {
  const auto event = EventForState(body.state());
  if (!event.has_value()) {
    return Verdict::kMalformed;
  }
  const auto known = this->workers.find(WorkerId(body.worker()));
  if (known == this->workers.end()) {
    return Verdict::kUnknownWorker;
  }
  Worker& worker = known->second;
  if (body.incarnation() != worker.incarnation) {
    return Verdict::kStaleIncarnation;
  }
  const bool on_probation = worker.state == WorkerState::kProbation;
  const bool too_early = *event == WorkerEvent::kProbe &&
                         this->log_time < worker.quarantined_until;
  const bool unproven =
      *event == WorkerEvent::kAdmit && on_probation && !worker.probation_passed;
  if (too_early || unproven || !this->Transition(worker, *event)) {
    return Verdict::kWrongState;
  }
  worker.reason = body.reason();
  if (*event == WorkerEvent::kQuarantine) {
    std::int64_t backoff_ms = this->settings.quarantine_ms;
    for (std::uint32_t i = 0; i < worker.quarantines &&
                              backoff_ms < this->settings.max_quarantine_ms;
         ++i) {
      backoff_ms *= 2;
    }
    ++worker.quarantines;
    worker.quarantined_until = this->log_time.After(
        std::min(backoff_ms, this->settings.max_quarantine_ms));
    worker.failed_jobs.clear();
  }
  if (*event == WorkerEvent::kProbe) {
    worker.probation_passed = false;
    worker.failed_jobs.clear();
  }
  if (*event == WorkerEvent::kLose) {
    this->StopGangsOn(worker);
    this->lost_workers.insert({worker.since, worker.id});
  }
  if (*event == WorkerEvent::kAdmit) {
    this->RestoreQuarantine(worker);
  }
  this->SetAvailability(worker);
  return Verdict::kAccepted;
}

bool Cluster::Transition(Worker& worker, WorkerEvent event) {
  const auto next = this->charts.worker.Next(worker.state, event);
  if (!next.has_value()) {
    return false;
  }
  worker.state = *next;
  worker.since = this->log_time;
  return true;
}

/// A worker that registers again or is readmitted, for example after a drain or
/// loss, returns to quarantine if its time has not passed.
void Cluster::RestoreQuarantine(Worker& worker) {
  if (worker.state == WorkerState::kReady &&
      this->log_time < worker.quarantined_until) {
    this->Transition(worker, WorkerEvent::kQuarantine);
  }
}

/// Members on other workers may still be running, so committed gangs keep their
/// cells until their end is recorded.
void Cluster::StopGangsOn(Worker& worker) {
  const std::set<JobId> affected = worker.jobs;
  for (const JobId& id : affected) {
    Job& job = this->jobs.at(id);
    if (job.state == JobState::kPlaced) {
      this->ReturnToQueue(job, JobEvent::kRelease, EndReason::kWorkerLost);
    } else if (job.state != JobState::kStopping) {
      this->BeginStopping(job, JobEvent::kStop, EndReason::kWorkerLost);
    }
  }
}

bool Cluster::IsDraining(const Worker& worker) const {
  return worker.state == WorkerState::kDraining ||
         this->policy.drained_workers.contains(worker.id);
}

void Cluster::SetAvailability(const Worker& worker) {
  const bool drained = this->policy.drained_workers.contains(worker.id);
  const bool ready = worker.state == WorkerState::kReady && !drained;
  const bool probation = worker.state == WorkerState::kProbation && !drained;
  this->allocator.SetAvailability(this->worker_indexes.at(worker.id), ready,
                                  probation);
  if (ready && worker.failed_jobs.empty()) {
    this->not_ready_or_failing_workers.erase(worker.id);
  } else {
    this->not_ready_or_failing_workers.insert(worker.id);
  }
}

// Job submission and queueing.

Verdict Cluster::ApplyBody(const records::JobSubmitted& body, Offset offset) {
  const JobId id(body.job());
  if (id.empty()) {
    return Verdict::kMalformed;
  }
  const AccountId account(body.spec().account());
  const std::uint64_t digest = HashOf(body.spec().SerializeAsString());
  if (this->jobs.contains(id)) {
    return Verdict::kDuplicate;
  }
  if (const Job* same = this->FindByKey(account, body.idempotency_key())) {
    return same->spec_digest == digest ? Verdict::kDuplicate
                                       : Verdict::kKeyReused;
  }
  const Verdict verdict = this->CheckSpec(body.spec());
  if (verdict != Verdict::kAccepted) {
    return verdict;
  }
  Job& job = this->jobs[id];
  job.id = id;
  job.idempotency_key = body.idempotency_key();
  job.spec = body.spec();
  job.spec_digest = digest;
  job.state = this->charts.gang.Initial();
  job.since = this->log_time;
  job.submitted_at = this->log_time;
  job.submitted_offset = offset;
  if (!job.idempotency_key.empty()) {
    this->idempotency_keys[{account, job.idempotency_key}] = id;
  }
  this->jobs_by_state[job.state].insert({job.since, id});
  this->Enqueue(job);
  return Verdict::kAccepted;
}

Verdict Cluster::CheckSpec(const records::JobSpec& spec) const {
  const bool well_formed =
      spec.job_class() != records::JOB_CLASS_UNSPECIFIED &&
      spec.adjacency() != records::ADJACENCY_UNSPECIFIED &&
      spec.preemption() != records::PREEMPTION_UNSPECIFIED &&
      records::JobClass_IsValid(spec.job_class()) &&
      records::Adjacency_IsValid(spec.adjacency()) &&
      records::Preemption_IsValid(spec.preemption()) && spec.members() > 0 &&
      spec.expected_run_ms() >= 0 && spec.deadline_ms() >= 0;
  if (!well_formed) {
    return Verdict::kMalformed;
  }
  const auto account = this->policy.accounts.find(AccountId(spec.account()));
  if (account == this->policy.accounts.end()) {
    return Verdict::kUnknownAccount;
  }
  if (spec.members() > this->settings.max_members || !this->IsFeasible(spec)) {
    return Verdict::kCannotRun;
  }
  const std::uint32_t cell = this->SmallestCell(this->EffectiveSize(spec));
  if (account->second.quota.has_value() &&
      std::uint64_t{cell} * spec.members() > *account->second.quota) {
    return Verdict::kAboveQuota;
  }
  if (!IsPreemptible(spec) && !this->FitsGuarantee(spec)) {
    return Verdict::kNotPreemptible;
  }
  return Verdict::kAccepted;
}

std::uint32_t Cluster::SmallestCell(const MemberSize& size) const {
  std::uint32_t smallest = 0;
  for (const auto& [capacity, count] : this->capacities) {
    const std::uint32_t cell =
        CellFor(AllocatorWorker{capacity.accelerators, capacity.cores_milli,
                                capacity.memory_mb},
                size);
    smallest =
        smallest == 0 || (cell != 0 && cell < smallest) ? cell : smallest;
  }
  // Cores and memory of hardware that is declared but not registered are
  // unknown.
  return smallest != 0
             ? smallest
             : std::bit_ceil(std::max<std::uint32_t>(size.accelerators, 1));
}

std::uint32_t Cluster::CountFittingMembers(
    const CapacityCounts& workers_in_scope,
    const MemberSize& size) const {
  std::uint32_t fit = 0;
  for (const auto& [capacity, count] : workers_in_scope) {
    const std::uint32_t cell =
        CellFor(AllocatorWorker{capacity.accelerators, capacity.cores_milli,
                                capacity.memory_mb},
                size);
    fit += cell == 0 ? 0 : count * (capacity.accelerators / cell);
  }
  return fit;
}

std::uint32_t Cluster::MaxMembersInScope(const records::JobSpec& spec) const {
  const MemberSize size = this->EffectiveSize(spec);
  std::uint32_t largest = 0;
  switch (spec.adjacency()) {
    case records::ADJACENCY_WORKER:
      for (const auto& [capacity, count] : this->capacities) {
        largest =
            std::max(largest, this->CountFittingMembers({{capacity, 1}}, size));
      }
      return largest;
    case records::ADJACENCY_RACK:
      for (const auto& [composition, count] : this->rack_compositions) {
        largest =
            std::max(largest, this->CountFittingMembers(composition, size));
      }
      return largest;
    case records::ADJACENCY_FAILURE_DOMAIN:
      for (const auto& [domain, composition] : this->domain_capacities) {
        largest =
            std::max(largest, this->CountFittingMembers(composition, size));
      }
      return largest;
    default:
      return this->CountFittingMembers(this->capacities, size);
  }
}

bool Cluster::IsFeasible(const records::JobSpec& spec) const {
  if (spec.members() <= this->MaxMembersInScope(spec)) {
    return true;
  }
  const auto& declared = this->policy.hardware;
  const std::uint32_t cell = this->SmallestCell(this->EffectiveSize(spec));
  if (!declared.has_value() || cell > declared->accelerators) {
    return false;
  }
  std::uint64_t fit = declared->accelerators / cell;
  if (spec.adjacency() != records::ADJACENCY_WORKER) {
    fit *= declared->workers_per_rack;
  }
  if (spec.adjacency() == records::ADJACENCY_NONE ||
      spec.adjacency() == records::ADJACENCY_FAILURE_DOMAIN) {
    fit *= declared->racks;
  }
  return spec.members() <= fit;
}

bool Cluster::FitsGuarantee(const records::JobSpec& spec) const {
  const std::uint32_t cell = this->SmallestCell(this->EffectiveSize(spec));
  const auto& guarantee =
      this->policy.accounts.at(AccountId(spec.account())).guarantee;
  std::uint64_t total = 0;
  std::uint32_t largest = 0;
  for (const auto& part : guarantee) {
    const std::uint32_t accelerators = part.whole_rack
                                           ? this->allocator.RackAccelerators()
                                           : part.accelerators;
    const std::uint32_t per_cell = accelerators / cell;
    largest = std::max(largest, part.count == 0 ? 0 : per_cell);
    total += std::uint64_t{part.count} * per_cell *
             (part.whole_rack ? this->allocator.RackWorkerCount() : 1);
  }
  return spec.members() <=
         (spec.adjacency() == records::ADJACENCY_WORKER ? largest : total);
}

void Cluster::Enqueue(Job& job) {
  const std::int64_t latest_start =
      job.spec.deadline_ms() == 0
          ? Instant::Never().ms
          : job.spec.deadline_ms() - this->EstimatedRunMs(job.spec);
  this->EnqueueAt(
      job, std::min(job.submitted_at.ms + kOrderHorizonMs, latest_start));
}

void Cluster::EnqueueAt(Job& job, std::int64_t order_ms) {
  job.order_ms = order_ms;
  const QueueKey key = this->QueueKeyOf(job);
  this->queue[key].insert(this->QueueEntryOf(job));
  this->queue_keys[job.id] = key;
  this->queued_kinds[{key.account, job.spec.kind()}].insert(job.id);
  ++this->queued_counts[key.account];
}

void Cluster::Dequeue(const Job& job) {
  const auto key = this->queue_keys.find(job.id);
  const auto entries = this->queue.find(key->second);
  entries->second.erase(this->QueueEntryOf(job));
  if (entries->second.empty()) {
    this->queue.erase(entries);
  }
  const KindKey kind{key->second.account, job.spec.kind()};
  const auto queued = this->queued_kinds.find(kind);
  queued->second.erase(job.id);
  if (queued->second.empty()) {
    this->queued_kinds.erase(queued);
  }
  if (--this->queued_counts[key->second.account] == 0) {
    this->queued_counts.erase(key->second.account);
  }
  this->queue_keys.erase(key);
}

QueueKey Cluster::QueueKeyOf(const Job& job) const {
  const Demand demand{job.spec.members(), this->EffectiveSize(job.spec),
                      job.spec.adjacency(), IsPreemptible(job.spec)};
  return QueueKey{job.spec.job_class(), AccountId(job.spec.account()), demand};
}

QueueEntry Cluster::QueueEntryOf(const Job& job) const {
  return QueueEntry{job.order_ms, job.submitted_offset, job.id};
}

// Job lookup.

Verdict Cluster::Find(const std::string& id, std::uint32_t attempt, Job*& job) {
  const auto found = this->jobs.find(JobId(id));
  if (found == this->jobs.end()) {
    return Verdict::kUnknownJob;
  }
  job = &found->second;
  return job->attempt == attempt ? Verdict::kAccepted : Verdict::kStaleAttempt;
}

}  // namespace carobrill::scheduling
