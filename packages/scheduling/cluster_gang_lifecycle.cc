// Start, stop and end of gangs, return to the queue, and learning from finished
// runs.

#include "packages/scheduling/cluster.h"

#include <algorithm>
#include <cassert>

#include "packages/core/hash.h"

namespace carobrill::scheduling {

using records::Verdict;

namespace {

/// Caps the sample count, so that each new run moves the learned mean by at
/// least 1/kMaxRunSamples of its deviation.
constexpr std::int64_t kMaxRunSamples = 16;
constexpr std::int64_t kMaxRunPermille = 1'000'000;

/// Maximum number of distinct failed jobs kept per worker; by default three
/// trigger a quarantine.
constexpr std::size_t kMaxFailedJobs = 8;

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

}  // namespace

Verdict Cluster::ApplyBody(const records::GangReleased& body) {
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

Verdict Cluster::ApplyBody(const records::GangStartCommitted& body) {
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
  this->Transition(*job, JobEvent::kCommit);
  job->may_have_started = true;
  this->allocator.SetCommitted(this->handles.at(job->id));
  return Verdict::kAccepted;
}

Verdict Cluster::ApplyBody(const records::GangStarted& body) {
  Job* job = nullptr;
  if (const Verdict verdict = this->Find(body.job(), body.attempt(), job);
      verdict != Verdict::kAccepted) {
    return verdict;
  }
  if (!this->Transition(*job, JobEvent::kStart)) {
    return Verdict::kWrongState;
  }
  job->started_at = this->log_time;
  this->allocator.SetEstimatedEnd(
      this->handles.at(job->id),
      this->log_time.After(this->EstimatedRunMs(job->spec)));
  return Verdict::kAccepted;
}

Verdict Cluster::ApplyBody(const records::GangStopRequested& body) {
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

Verdict Cluster::ApplyBody(const records::JobCancelled& body) {
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

Verdict Cluster::ApplyBody(const records::GangEnded& body) {
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
  job.total_run_ms += std::max<std::int64_t>(0, body.run_ms());
  switch (body.outcome()) {
    case records::GANG_OUTCOME_SUCCEEDED:
      this->RecordSuccess(job);
      this->LearnRunTime(job);
      this->Finish(job, JobEvent::kSucceed, EndReason::kNone);
      break;
    case records::GANG_OUTCOME_FAILED:
      this->HandleFailed(job, body);
      break;
    case records::GANG_OUTCOME_CHECKPOINTED:
      if (!job.cancel_requested && !body.checkpoint().empty()) {
        job.checkpoint = body.checkpoint();
        this->ReturnToQueue(job, JobEvent::kRequeue, job.reason);
        break;
      }
      this->HandleStopped(job);
      break;
    case records::GANG_OUTCOME_STOPPED:
      this->HandleStopped(job);
      break;
    default:
      this->HandleLapsed(job);
      break;
  }
  return Verdict::kAccepted;
}

void Cluster::HandleStopped(Job& job) {
  if (job.cancel_requested) {
    this->Finish(job, JobEvent::kFinishCancel, EndReason::kCancelled);
  } else if (job.spec.idempotent()) {
    this->ReturnToQueue(job, JobEvent::kRequeue, job.reason);
  } else {
    this->Finish(job, JobEvent::kFail, EndReason::kNotIdempotent);
  }
}

void Cluster::HandleFailed(Job& job, const records::GangEnded& body) {
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
    this->retry_budget_milli -= 1000;
    this->ReturnToQueue(job, JobEvent::kRequeue, EndReason::kFailed);
  }
}

void Cluster::HandleLapsed(Job& job) {
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
  this->Transition(job, event);
  job.reason = reason;
  this->allocator.SetStopping(this->handles.at(job.id), this->CellsOf(job));
}

void Cluster::ReleaseCells(Job& job) {
  const JobHandle handle = this->handles.at(job.id);
  this->allocator.Vacate(handle, this->CellsOf(job));
  this->allocator.RemoveAllocation(handle);
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
      this->RestartPrepareTimeout(this->jobs.at(claimant));
    }
    this->claimants.erase(waiting_for_it);
  }
  job.members.clear();
  job.borrowed = false;
}

/// The prepare timeout of a claimant starts when its last victim has left.
void Cluster::RestartPrepareTimeout(Job& claimant) {
  if (claimant.pending_victims.empty()) {
    StateTimeIndex& placed = this->jobs_by_state[claimant.state];
    placed.erase({claimant.since, claimant.id});
    claimant.since = this->log_time;
    placed.insert({claimant.since, claimant.id});
  }
}

void Cluster::ReturnToQueue(Job& job, JobEvent event, EndReason reason) {
  this->ReleaseCells(job);
  this->Transition(job, event);
  job.reason = reason;
  ++job.attempt;
  this->Enqueue(job);
}

void Cluster::Finish(Job& job, JobEvent event, EndReason reason) {
  if (HoldsCells(job.state)) {
    this->ReleaseCells(job);
  }
  this->Transition(job, event);
  job.reason = reason;
  job.spec.clear_payload();
  job.checkpoint.clear();
}

// Learned estimates.

LearnedEstimate& Cluster::FindOrAddLearned(const KindKey& key) {
  auto found = this->learned.find(key);
  if (found == this->learned.end()) {
    if (this->learned.size() >= this->settings.max_learned) {
      const auto oldest = this->learned_order.begin();
      this->learned.erase(oldest->second);
      this->learned_order.erase(oldest);
    }
    found = this->learned.emplace(key, LearnedEstimate{}).first;
  } else {
    this->learned_order.erase({found->second.last_updated, key});
  }
  found->second.last_updated = this->log_time;
  this->learned_order.insert({this->log_time, key});
  return found->second;
}

void Cluster::LearnRunTime(const Job& job) {
  if (job.spec.expected_run_ms() <= 0 || job.total_run_ms <= 0) {
    return;
  }
  const std::int64_t permille = std::clamp<std::int64_t>(
      std::min(job.total_run_ms, Instant::Never().ms / 1000) * 1000 /
          job.spec.expected_run_ms(),
      1, kMaxRunPermille);
  LearnedEstimate& entry =
      this->FindOrAddLearned({AccountId(job.spec.account()), job.spec.kind()});
  entry.samples = std::min(entry.samples + 1, kMaxRunSamples);
  entry.run_permille += (permille - entry.run_permille) / entry.samples;
}

Verdict Cluster::ApplyBody(const records::SizeCorrected& body) {
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
  const LearnedEstimate* known = this->FindLearned(account, body.kind());
  if (known != nullptr &&
      within(known->cores_milli, body.size().cores_milli()) &&
      within(known->memory_mb, body.size().memory_mb())) {
    return Verdict::kDuplicate;
  }
  LearnedEstimate& entry = this->FindOrAddLearned(key);
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
