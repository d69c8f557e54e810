#include "packages/scheduling/cluster.h"

#include <algorithm>
#include <cassert>

#include "packages/core/hash.h"

namespace carobrill::scheduling {

namespace {

using records::Verdict;

/// An entry of the order by deadline is not later than this after submission,
/// so that jobs without a deadline are not overtaken for ever.
constexpr std::int64_t kOrderHorizonMs = 3'600'000;

/// A single run moves the learned mean by at least this part.
constexpr std::int64_t kMaxRunSamples = 16;
constexpr std::int64_t kMaxRunPermille = 1'000'000;

/// Placements whose earned retries can be saved up.
constexpr std::int64_t kMaxEarningPlacements = 1000;

/// Distinct failed jobs remembered per worker; a quarantine needs three.
constexpr std::size_t kMaxFailedJobs = 8;

bool IsPowerOfTwo(std::uint32_t value) {
  return std::has_single_bit(value);
}

std::uint32_t TotalAccelerators(const std::vector<GangMember>& members) {
  std::uint32_t total = 0;
  for (const auto& member : members) {
    total += member.accelerators;
  }
  return total;
}

EndReason ReasonOf(records::StopReason reason) {
  switch (reason) {
    case records::STOP_REASON_PREEMPTED:
      return EndReason::kPreempted;
    case records::STOP_REASON_WORKER_LOST:
      return EndReason::kWorkerLost;
    case records::STOP_REASON_DRAINED:
      return EndReason::kDrained;
    case records::STOP_REASON_OVERSIZED:
      return EndReason::kOversized;
    default:
      return EndReason::kNone;
  }
}

std::optional<WorkerEvent> EventTowards(records::WorkerState state) {
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
  this->retry_milli = this->settings.retry_burst * 1000;
  this->handle_jobs.emplace_back();
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
      return this->Fold(record.worker_registered());
    case Body::kWorkerStateChanged:
      return this->Fold(record.worker_state_changed());
    case Body::kJobSubmitted:
      return this->Fold(record.job_submitted(), offset);
    case Body::kJobCancelled:
      return this->Fold(record.job_cancelled());
    case Body::kGangPlaced:
      return this->Fold(record.gang_placed());
    case Body::kGangReleased:
      return this->Fold(record.gang_released());
    case Body::kGangStartCommitted:
      return this->Fold(record.gang_start_committed());
    case Body::kGangStarted:
      return this->Fold(record.gang_started());
    case Body::kGangStopRequested:
      return this->Fold(record.gang_stop_requested());
    case Body::kGangEnded:
      return this->Fold(record.gang_ended());
    case Body::kSizeCorrected:
      return this->Fold(record.size_corrected());
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
      this->keys.erase(
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
      // The gang's end is overdue; the worker is looked at again later.
      worker->second.since = this->log_time;
      this->lost_workers.insert({this->log_time, entry.second});
      continue;
    }
    this->RemoveFromBoard(worker->second);
    this->watch.erase(entry.second);
    this->workers.erase(worker);
  }
}

// Workers.

Verdict Cluster::Fold(const records::WorkerRegistered& body) {
  const auto& capacity = body.capacity();
  if (body.worker().empty() || body.rack().empty() ||
      body.failure_domain().empty() || !IsPowerOfTwo(capacity.accelerators()) ||
      capacity.accelerators() > kMaxAccelerators) {
    return Verdict::kMalformed;
  }
  Worker fresh;
  fresh.id = WorkerId(body.worker());
  fresh.incarnation = body.incarnation();
  fresh.rack = RackId(body.rack());
  fresh.domain = FailureDomainId(body.failure_domain());
  fresh.region = RegionId(body.region());
  fresh.accelerators = capacity.accelerators();
  fresh.cores_milli = capacity.cores_milli();
  fresh.memory_mb = capacity.memory_mb();
  fresh.state = this->charts.worker.Initial();
  fresh.since = this->log_time;
  const auto known = this->workers.find(fresh.id);
  if (known == this->workers.end()) {
    const Worker& added =
        this->workers.emplace(fresh.id, std::move(fresh)).first->second;
    this->AddToBoard(added);
    return Verdict::kAccepted;
  }
  Worker& worker = known->second;
  if (fresh.incarnation < worker.incarnation) {
    return Verdict::kStaleIncarnation;
  }
  if (fresh.incarnation == worker.incarnation &&
      worker.state != WorkerState::kLost) {
    return Verdict::kDuplicate;
  }
  const bool moved = fresh.rack != worker.rack ||
                     fresh.domain != worker.domain ||
                     fresh.accelerators != worker.accelerators ||
                     fresh.cores_milli != worker.cores_milli ||
                     fresh.memory_mb != worker.memory_mb;
  if (moved && !worker.jobs.empty()) {
    return Verdict::kWrongState;
  }
  if (fresh.incarnation > worker.incarnation) {
    this->StopGangsOn(worker);
  }
  if (worker.state == WorkerState::kLost) {
    this->lost_workers.erase({worker.since, worker.id});
  }
  if (moved) {
    this->RemoveFromBoard(worker);
    worker.rack = fresh.rack;
    worker.domain = fresh.domain;
    worker.accelerators = fresh.accelerators;
    worker.cores_milli = fresh.cores_milli;
    worker.memory_mb = fresh.memory_mb;
  }
  worker.incarnation = fresh.incarnation;
  worker.region = fresh.region;
  this->Step(worker, WorkerEvent::kRegister);
  this->HoldInQuarantine(worker);
  if (moved) {
    this->AddToBoard(worker);
  }
  this->SetAvailability(worker);
  return Verdict::kAccepted;
}

Verdict Cluster::Fold(const records::WorkerStateChanged& body) {
  const auto event = EventTowards(body.state());
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
  if (too_early || unproven || !this->Step(worker, *event)) {
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
    this->HoldInQuarantine(worker);
  }
  this->SetAvailability(worker);
  return Verdict::kAccepted;
}

bool Cluster::Step(Worker& worker, WorkerEvent event) {
  const auto next = this->charts.worker.Next(worker.state, event);
  if (!next.has_value()) {
    return false;
  }
  worker.state = *next;
  worker.since = this->log_time;
  return true;
}

/// Neither a drain nor a loss ends a quarantine early.
void Cluster::HoldInQuarantine(Worker& worker) {
  if (worker.state == WorkerState::kReady &&
      this->log_time < worker.quarantined_until) {
    this->Step(worker, WorkerEvent::kQuarantine);
  }
}

/// Members on other workers may still run, therefore committed gangs keep their
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
  this->board.SetAvailability(this->worker_indexes.at(worker.id), ready,
                              probation);
  if (ready && worker.failed_jobs.empty()) {
    this->watch.erase(worker.id);
  } else {
    this->watch.insert(worker.id);
  }
}

// Jobs before placement.

Verdict Cluster::Fold(const records::JobSubmitted& body, Offset offset) {
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
    this->keys[{account, job.idempotency_key}] = id;
  }
  this->in_state[job.state].insert({job.since, id});
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
  if (spec.members() > this->settings.max_members ||
      !this->CouldEverRun(spec)) {
    return Verdict::kCannotRun;
  }
  const std::uint32_t cell = this->SmallestCell(this->EffectiveSize(spec));
  if (account->second.quota.has_value() &&
      std::uint64_t{cell} * spec.members() > *account->second.quota) {
    return Verdict::kAboveQuota;
  }
  if (!IsPreemptible(spec) && !this->FitsShape(spec)) {
    return Verdict::kNotPreemptible;
  }
  return Verdict::kAccepted;
}

std::uint32_t Cluster::SmallestCell(const MemberSize& size) const {
  std::uint32_t smallest = 0;
  for (const auto& [shape, count] : this->shapes) {
    const std::uint32_t cell = CellFor(
        BoardWorker{shape.accelerators, shape.cores_milli, shape.memory_mb},
        size);
    smallest =
        smallest == 0 || (cell != 0 && cell < smallest) ? cell : smallest;
  }
  // Hardware that is only declared has no known cores and memory.
  return smallest != 0
             ? smallest
             : std::bit_ceil(std::max<std::uint32_t>(size.accelerators, 1));
}

std::uint32_t Cluster::MembersThatFit(const ShapeCounts& workers_in_scope,
                                      const MemberSize& size) const {
  std::uint32_t fit = 0;
  for (const auto& [shape, count] : workers_in_scope) {
    const std::uint32_t cell = CellFor(
        BoardWorker{shape.accelerators, shape.cores_milli, shape.memory_mb},
        size);
    fit += cell == 0 ? 0 : count * (shape.accelerators / cell);
  }
  return fit;
}

std::uint32_t Cluster::LargestScope(const records::JobSpec& spec) const {
  const MemberSize size = this->EffectiveSize(spec);
  std::uint32_t largest = 0;
  switch (spec.adjacency()) {
    case records::ADJACENCY_WORKER:
      for (const auto& [shape, count] : this->shapes) {
        largest = std::max(largest, this->MembersThatFit({{shape, 1}}, size));
      }
      return largest;
    case records::ADJACENCY_RACK:
      for (const auto& [composition, count] : this->rack_compositions) {
        largest = std::max(largest, this->MembersThatFit(composition, size));
      }
      return largest;
    case records::ADJACENCY_FAILURE_DOMAIN:
      for (const auto& [domain, composition] : this->domain_shapes) {
        largest = std::max(largest, this->MembersThatFit(composition, size));
      }
      return largest;
    default:
      return this->MembersThatFit(this->shapes, size);
  }
}

bool Cluster::CouldEverRun(const records::JobSpec& spec) const {
  if (spec.members() <= this->LargestScope(spec)) {
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

bool Cluster::FitsShape(const records::JobSpec& spec) const {
  const std::uint32_t cell = this->SmallestCell(this->EffectiveSize(spec));
  const auto& guarantee =
      this->policy.accounts.at(AccountId(spec.account())).guarantee;
  std::uint64_t total = 0;
  std::uint32_t largest = 0;
  for (const auto& part : guarantee) {
    const std::uint32_t accelerators =
        part.whole_rack ? this->board.RackAccelerators() : part.accelerators;
    const std::uint32_t per_cell = accelerators / cell;
    largest = std::max(largest, part.count == 0 ? 0 : per_cell);
    total += std::uint64_t{part.count} * per_cell *
             (part.whole_rack ? this->board.RackWorkerCount() : 1);
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
  ++this->waiting[key.account];
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
  if (--this->waiting[key->second.account] == 0) {
    this->waiting.erase(key->second.account);
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

// Placement.

Verdict Cluster::Find(const std::string& id, std::uint32_t attempt, Job*& job) {
  const auto found = this->jobs.find(JobId(id));
  if (found == this->jobs.end()) {
    return Verdict::kUnknownJob;
  }
  job = &found->second;
  return job->attempt == attempt ? Verdict::kAccepted : Verdict::kStaleAttempt;
}

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
    const bool aligned = IsPowerOfTwo(count) && count <= data.accelerators &&
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

Verdict Cluster::Fold(const records::GangReleased& body) {
  Job* job = nullptr;
  if (const Verdict verdict = this->Find(body.job(), body.attempt(), job);
      verdict != Verdict::kAccepted) {
    return verdict;
  }
  if (!this->charts.gang.Next(job->state, JobEvent::kRelease).has_value()) {
    return Verdict::kWrongState;
  }
  this->ReturnToQueue(*job, JobEvent::kRelease, EndReason::kReleased);
  return Verdict::kAccepted;
}

Verdict Cluster::Fold(const records::GangStartCommitted& body) {
  Job* job = nullptr;
  if (const Verdict verdict = this->Find(body.job(), body.attempt(), job);
      verdict != Verdict::kAccepted) {
    return verdict;
  }
  if (!this->charts.gang.Next(job->state, JobEvent::kCommit).has_value()) {
    return Verdict::kWrongState;
  }
  if (!job->pending_victims.empty()) {
    return Verdict::kVictimsRemain;
  }
  assert(job->spec.idempotent() || !job->may_have_started ||
         !job->checkpoint.empty());
  this->Step(*job, JobEvent::kCommit);
  job->may_have_started = true;
  this->board.SetCommitted(this->handles.at(job->id));
  return Verdict::kAccepted;
}

Verdict Cluster::Fold(const records::GangStarted& body) {
  Job* job = nullptr;
  if (const Verdict verdict = this->Find(body.job(), body.attempt(), job);
      verdict != Verdict::kAccepted) {
    return verdict;
  }
  if (!this->Step(*job, JobEvent::kStart)) {
    return Verdict::kWrongState;
  }
  job->started_at = this->log_time;
  this->board.SetEstimatedEnd(
      this->handles.at(job->id),
      this->log_time.After(this->EstimatedRunMs(job->spec)));
  return Verdict::kAccepted;
}

Verdict Cluster::Fold(const records::GangStopRequested& body) {
  Job* job = nullptr;
  if (const Verdict verdict = this->Find(body.job(), body.attempt(), job);
      verdict != Verdict::kAccepted) {
    return verdict;
  }
  if (!this->charts.gang.Next(job->state, JobEvent::kStop).has_value()) {
    return Verdict::kWrongState;
  }
  this->BeginStopping(*job, JobEvent::kStop, ReasonOf(body.reason()));
  return Verdict::kAccepted;
}

Verdict Cluster::Fold(const records::JobCancelled& body) {
  const auto found = this->jobs.find(JobId(body.job()));
  if (found == this->jobs.end()) {
    return Verdict::kUnknownJob;
  }
  Job& job = found->second;
  if (job.state == JobState::kQueued || job.state == JobState::kPlaced) {
    if (job.state == JobState::kQueued) {
      this->Dequeue(job);
    }
    job.cancel_requested = true;
    this->Finish(job, JobEvent::kCancel, EndReason::kCancelled);
    return Verdict::kAccepted;
  }
  if (IsEnded(job.state)) {
    return Verdict::kWrongState;
  }
  if (job.cancel_requested) {
    return Verdict::kDuplicate;
  }
  job.cancel_requested = true;
  if (job.state != JobState::kStopping) {
    this->BeginStopping(job, JobEvent::kCancel, EndReason::kCancelled);
  }
  return Verdict::kAccepted;
}

Verdict Cluster::Fold(const records::GangEnded& body) {
  Job* found = nullptr;
  if (const Verdict verdict = this->Find(body.job(), body.attempt(), found);
      verdict != Verdict::kAccepted) {
    return verdict;
  }
  Job& job = *found;
  if (job.state != JobState::kStarting && job.state != JobState::kRunning &&
      job.state != JobState::kStopping) {
    return Verdict::kWrongState;
  }
  if (body.outcome() == records::GANG_OUTCOME_UNSPECIFIED ||
      !records::GangOutcome_IsValid(body.outcome())) {
    return Verdict::kMalformed;
  }
  job.ran_ms += std::max<std::int64_t>(0, body.run_ms());
  switch (body.outcome()) {
    case records::GANG_OUTCOME_SUCCEEDED:
      this->RecordSuccess(job);
      this->LearnRunTime(job);
      this->Finish(job, JobEvent::kSucceed, EndReason::kNone);
      break;
    case records::GANG_OUTCOME_FAILED:
      this->EndFailed(job, body);
      break;
    case records::GANG_OUTCOME_CHECKPOINTED:
      if (!job.cancel_requested && !body.checkpoint().empty()) {
        job.checkpoint = body.checkpoint();
        this->ReturnToQueue(job, JobEvent::kRequeue, job.reason);
        break;
      }
      this->EndStopped(job);
      break;
    case records::GANG_OUTCOME_STOPPED:
      this->EndStopped(job);
      break;
    default:
      this->EndLapsed(job);
      break;
  }
  return Verdict::kAccepted;
}

void Cluster::EndStopped(Job& job) {
  if (job.cancel_requested) {
    this->Finish(job, JobEvent::kFinishCancel, EndReason::kCancelled);
  } else if (job.spec.idempotent()) {
    this->ReturnToQueue(job, JobEvent::kRequeue, job.reason);
  } else {
    this->Finish(job, JobEvent::kFail, EndReason::kNotIdempotent);
  }
}

void Cluster::EndFailed(Job& job, const records::GangEnded& body) {
  this->RecordFailures(job, body);
  ++job.failures;
  if (job.cancel_requested) {
    this->Finish(job, JobEvent::kFinishCancel, EndReason::kCancelled);
  } else if (!job.spec.idempotent()) {
    this->Finish(job, JobEvent::kFail, EndReason::kNotIdempotent);
  } else if (job.failures >= this->settings.max_failures) {
    this->Finish(job, JobEvent::kFail, EndReason::kAttemptsSpent);
  } else if (this->RetriesLeft() < 1) {
    this->Finish(job, JobEvent::kFail, EndReason::kRetryBudgetSpent);
  } else {
    this->retry_milli -= 1000;
    this->ReturnToQueue(job, JobEvent::kRequeue, EndReason::kFailed);
  }
}

void Cluster::EndLapsed(Job& job) {
  if (!job.spec.idempotent()) {
    this->Finish(job, JobEvent::kLoseTrack, EndReason::kNotIdempotent);
  } else if (job.cancel_requested) {
    this->Finish(job, JobEvent::kFinishCancel, EndReason::kCancelled);
  } else {
    this->ReturnToQueue(job, JobEvent::kRequeue, EndReason::kWorkerLost);
  }
}

void Cluster::RecordFailures(const Job& job, const records::GangEnded& body) {
  const std::set<std::string> failed(body.failed_workers().begin(),
                                     body.failed_workers().end());
  for (const auto& member : job.members) {
    if (!failed.contains(member.worker.value)) {
      continue;
    }
    Worker& worker = this->workers.at(member.worker);
    if (worker.failed_jobs.size() < kMaxFailedJobs) {
      worker.failed_jobs.insert(job.id);
    }
    worker.probation_passed = false;
    this->jobs.at(job.id).failed_workers.insert(worker.id);
    this->SetAvailability(worker);
  }
}

void Cluster::RecordSuccess(const Job& job) {
  for (const auto& member : job.members) {
    Worker& worker = this->workers.at(member.worker);
    worker.failed_jobs.clear();
    if (worker.state == WorkerState::kProbation) {
      worker.probation_passed = true;
    } else if (worker.state == WorkerState::kReady) {
      worker.quarantines = 0;
    }
    this->SetAvailability(worker);
  }
}

void Cluster::BeginStopping(Job& job, JobEvent event, EndReason reason) {
  this->Step(job, event);
  job.reason = reason;
  this->board.SetStopping(this->handles.at(job.id), this->CellsOf(job));
}

void Cluster::ReleaseCells(Job& job) {
  const JobHandle handle = this->handles.at(job.id);
  this->board.Vacate(handle, this->CellsOf(job));
  this->board.RemoveHolder(handle);
  this->handles.erase(job.id);
  this->AddUsage(job, -1);
  for (const auto& member : job.members) {
    this->workers.at(member.worker).jobs.erase(job.id);
  }
  for (const JobId& victim : job.pending_victims) {
    const auto entry = this->claimants.find(victim);
    entry->second.erase(job.id);
    if (entry->second.empty()) {
      this->claimants.erase(entry);
    }
  }
  job.pending_victims.clear();
  const auto waiting_for_it = this->claimants.find(job.id);
  if (waiting_for_it != this->claimants.end()) {
    for (const JobId& claimant : waiting_for_it->second) {
      this->jobs.at(claimant).pending_victims.erase(job.id);
      this->RestartWait(this->jobs.at(claimant));
    }
    this->claimants.erase(waiting_for_it);
  }
  job.members.clear();
  job.borrowed = false;
}

/// The time to prepare a gang runs from the end of its last victim.
void Cluster::RestartWait(Job& claimant) {
  if (claimant.pending_victims.empty()) {
    SinceIndex& placed = this->in_state[claimant.state];
    placed.erase({claimant.since, claimant.id});
    claimant.since = this->log_time;
    placed.insert({claimant.since, claimant.id});
  }
}

void Cluster::ReturnToQueue(Job& job, JobEvent event, EndReason reason) {
  this->ReleaseCells(job);
  this->Step(job, event);
  job.reason = reason;
  ++job.attempt;
  this->Enqueue(job);
}

void Cluster::Finish(Job& job, JobEvent event, EndReason reason) {
  if (HoldsCells(job.state)) {
    this->ReleaseCells(job);
  }
  this->Step(job, event);
  job.reason = reason;
  job.spec.clear_payload();
  job.checkpoint.clear();
}

// Learning.

Learned& Cluster::Touch(const KindKey& key) {
  auto found = this->learned.find(key);
  if (found == this->learned.end()) {
    if (this->learned.size() >= this->settings.max_learned) {
      const auto oldest = this->learned_order.begin();
      this->learned.erase(oldest->second);
      this->learned_order.erase(oldest);
    }
    found = this->learned.emplace(key, Learned{}).first;
  } else {
    this->learned_order.erase({found->second.touched, key});
  }
  found->second.touched = this->log_time;
  this->learned_order.insert({this->log_time, key});
  return found->second;
}

void Cluster::LearnRunTime(const Job& job) {
  if (job.spec.expected_run_ms() <= 0 || job.ran_ms <= 0) {
    return;
  }
  const std::int64_t permille = std::clamp<std::int64_t>(
      std::min(job.ran_ms, Instant::Never().ms / 1000) * 1000 /
          job.spec.expected_run_ms(),
      1, kMaxRunPermille);
  Learned& entry =
      this->Touch({AccountId(job.spec.account()), job.spec.kind()});
  entry.samples = std::min(entry.samples + 1, kMaxRunSamples);
  entry.run_permille += (permille - entry.run_permille) / entry.samples;
}

Verdict Cluster::Fold(const records::SizeCorrected& body) {
  const AccountId account(body.account());
  if (!this->policy.accounts.contains(account)) {
    return Verdict::kUnknownAccount;
  }
  if (body.size().cores_milli() == 0 && body.size().memory_mb() == 0) {
    return Verdict::kMalformed;
  }
  const KindKey key{account, body.kind()};
  const auto within = [&](std::uint64_t known, std::uint64_t corrected) {
    const std::uint64_t margin =
        known * this->settings.size_hysteresis_permille;
    return corrected * 1000 <= known * 1000 + margin &&
           corrected * 1000 + margin >= known * 1000;
  };
  const Learned* known = this->FindLearned(account, body.kind());
  if (known != nullptr &&
      within(known->cores_milli, body.size().cores_milli()) &&
      within(known->memory_mb, body.size().memory_mb())) {
    return Verdict::kDuplicate;
  }
  Learned& entry = this->Touch(key);
  entry.cores_milli = body.size().cores_milli();
  entry.memory_mb = body.size().memory_mb();
  const auto queued = this->queued_kinds.find(key);
  if (queued != this->queued_kinds.end()) {
    const std::set<JobId> affected = queued->second;
    for (const JobId& id : affected) {
      Job& job = this->jobs.at(id);
      this->Dequeue(job);
      this->Enqueue(job);
    }
  }
  return Verdict::kAccepted;
}

}  // namespace carobrill::scheduling
