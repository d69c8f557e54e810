#include "packages/scheduling/planner.h"

#include <algorithm>
#include <cassert>

#include "packages/scheduling/placement_step.h"

namespace carobrill::scheduling {

namespace {

/// Maximum number of usage windows. Clearing them only delays a size
/// correction.
constexpr std::size_t kMaxWindows = 4096;

records::Record ReleaseRecord(const Job& job, std::string_view reason) {
  records::Record record;
  auto& body = *record.mutable_gang_released();
  body.set_job(job.id.value);
  body.set_attempt(job.attempt);
  body.set_reason(std::string(reason));
  return record;
}

records::Record StopRecord(const Job& job, records::StopReason reason) {
  records::Record record;
  auto& body = *record.mutable_gang_stop_requested();
  body.set_job(job.id.value);
  body.set_attempt(job.attempt);
  body.set_reason(reason);
  return record;
}

records::Record LapsedRecord(const Job& job) {
  records::Record record;
  auto& body = *record.mutable_gang_ended();
  body.set_job(job.id.value);
  body.set_attempt(job.attempt);
  body.set_outcome(records::GANG_OUTCOME_LAPSED);
  return record;
}

records::Record EndRecord(const GangReport& report) {
  records::Record record;
  auto& body = *record.mutable_gang_ended();
  body.set_job(report.job.value);
  body.set_attempt(report.attempt);
  body.set_outcome(report.outcome);
  for (const WorkerId& worker : report.failed_workers) {
    body.add_failed_workers(worker.value);
  }
  body.set_checkpoint(report.checkpoint);
  body.set_run_ms(report.run_ms);
  return record;
}

records::Record WorkerStateRecord(const Worker& worker,
                                  records::WorkerState state,
                                  std::string_view reason) {
  records::Record record;
  auto& body = *record.mutable_worker_state_changed();
  body.set_worker(worker.id.value);
  body.set_incarnation(worker.incarnation);
  body.set_state(state);
  body.set_reason(std::string(reason));
  return record;
}

/// The part of a plan that does not place jobs. A job gets at most one record
/// per plan, because the next record depends on the state after the first.
class MaintenanceStep {
 public:
  MaintenanceStep(const Cluster& state,
                  const PlannerSettings& step_settings,
                  Instant log_time,
                  const PlannerInput& step_view,
                  Plan& step_plan)
      : cluster(state),
        settings(step_settings),
        now(log_time),
        view(step_view),
        plan(step_plan) {}

  void Run() {
    this->HandleReports();
    this->CheckWorkers();
    this->CheckTimeouts();
    this->HandleOverloadedWorkers();
  }

  const std::set<JobId>& ProposedJobs() const { return this->proposed_jobs; }

 private:
  void Propose(const Job& job, records::Record record) {
    if (this->proposed_jobs.insert(job.id).second) {
      this->plan.records.push_back(std::move(record));
    }
  }

  void HandleReports() {
    for (const GangReport& report : this->view.reports) {
      const Job* job = this->cluster.FindJob(report.job);
      if (job != nullptr && job->attempt == report.attempt) {
        this->HandleReport(*job, report);
      }
    }
  }

  void HandleReport(const Job& job, const GangReport& report) {
    records::Record record;
    switch (report.phase) {
      case GangPhase::kPrepared:
        if (job.state == JobState::kPlaced && job.pending_victims.empty()) {
          record.mutable_gang_start_committed()->set_job(job.id.value);
          record.mutable_gang_start_committed()->set_attempt(job.attempt);
          this->Propose(job, std::move(record));
        }
        return;
      case GangPhase::kRefused:
        if (job.state == JobState::kPlaced) {
          this->Propose(job, ReleaseRecord(job, "a member refused to prepare"));
        }
        return;
      case GangPhase::kStarted:
        if (job.state == JobState::kStarting) {
          record.mutable_gang_started()->set_job(job.id.value);
          record.mutable_gang_started()->set_attempt(job.attempt);
          this->Propose(job, std::move(record));
        }
        return;
      case GangPhase::kEnded:
        if (IsCommitted(job.state)) {
          this->Propose(job, EndRecord(report));
        }
        return;
    }
  }

  void CheckWorkers() {
    for (const WorkerId& id : this->view.dead_workers) {
      const auto worker = this->cluster.Workers().find(id);
      if (worker != this->cluster.Workers().end() &&
          worker->second.state != WorkerState::kLost) {
        this->plan.records.push_back(
            WorkerStateRecord(worker->second, records::WORKER_STATE_LOST,
                              "no announcement in time"));
        this->lost.insert(id);
      }
    }
    for (const WorkerId& id : this->cluster.NotReadyOrFailingWorkers()) {
      if (!this->lost.contains(id)) {
        this->CheckWorker(this->cluster.Workers().at(id));
      }
    }
  }

  void CheckWorker(const Worker& worker) {
    const std::size_t limit = worker.state == WorkerState::kProbation
                                  ? 1
                                  : this->settings.quarantine_failures;
    const bool failing = (worker.state == WorkerState::kReady ||
                          worker.state == WorkerState::kProbation) &&
                         worker.failed_jobs.size() >= limit;
    if (failing) {
      this->plan.records.push_back(WorkerStateRecord(
          worker, records::WORKER_STATE_QUARANTINED, "jobs failed in a row"));
    } else if (worker.state == WorkerState::kQuarantined &&
               worker.quarantined_until <= this->now) {
      this->plan.records.push_back(WorkerStateRecord(
          worker, records::WORKER_STATE_PROBATION, "quarantine is over"));
    } else if (worker.state == WorkerState::kProbation &&
               worker.probation_passed) {
      this->plan.records.push_back(WorkerStateRecord(
          worker, records::WORKER_STATE_READY, "a task succeeded"));
    }
    if (this->cluster.IsDraining(worker)) {
      this->DrainWorker(worker);
    }
  }

  void DrainWorker(const Worker& worker) {
    for (const JobId& id : worker.jobs) {
      const Job& job = *this->cluster.FindJob(id);
      const bool movable =
          job.state == JobState::kRunning || job.state == JobState::kStarting;
      if (job.state == JobState::kPlaced) {
        this->Propose(job, ReleaseRecord(job, "a worker is draining"));
      } else if (movable && IsPreemptible(job.spec)) {
        this->Propose(job, StopRecord(job, records::STOP_REASON_DRAINED));
      }
    }
  }

  template <typename Overdue>
  void ForEachOverdue(JobState state,
                      std::int64_t timeout_ms,
                      Overdue&& overdue) {
    for (const auto& [since, id] : this->cluster.JobsInState(state)) {
      if (since.After(timeout_ms) > this->now) {
        return;
      }
      overdue(*this->cluster.FindJob(id));
    }
  }

  void CheckTimeouts() {
    this->ForEachOverdue(
        JobState::kPlaced, this->settings.prepare_timeout_ms,
        [&](const Job& job) {
          if (job.pending_victims.empty()) {
            this->Propose(job, ReleaseRecord(job, "members are not prepared"));
          }
        });
    this->ForEachOverdue(
        JobState::kStarting, this->settings.start_timeout_ms,
        [&](const Job& job) {
          this->Propose(job, StopRecord(job, records::STOP_REASON_WORKER_LOST));
        });
    this->ForEachOverdue(JobState::kStopping, this->settings.stop_timeout_ms,
                         [&](const Job& job) {
                           if (this->IsWatcherLost(job)) {
                             this->Propose(job, LapsedRecord(job));
                           }
                         });
  }

  /// While the watcher is alive, tasks may still be running, so only its report
  /// frees the cells. Once it is lost, the leases of all members expire.
  bool IsWatcherLost(const Job& job) const {
    const GangMember& watcher = job.members.front();
    const auto worker = this->cluster.Workers().find(watcher.worker);
    return worker == this->cluster.Workers().end() ||
           worker->second.state == WorkerState::kLost ||
           worker->second.incarnation != watcher.incarnation ||
           this->view.dead_workers.contains(watcher.worker);
  }

  /// A worker starts every task that it is given and fails when its resources
  /// are exhausted. Therefore the task that exceeds its cell the most is
  /// throttled, checkpointed or stopped before that.
  void HandleOverloadedWorkers() {
    std::map<WorkerId, std::vector<const UsageSample*>> samples;
    for (const UsageSample& sample : this->view.usage) {
      samples[sample.worker].push_back(&sample);
    }
    for (const auto& [id, tasks] : samples) {
      const auto worker = this->cluster.Workers().find(id);
      if (worker != this->cluster.Workers().end()) {
        this->HandleOverload(worker->second, tasks);
      }
    }
  }

  void HandleOverload(const Worker& worker,
                      const std::vector<const UsageSample*>& tasks) {
    std::uint64_t memory_mb = 0;
    std::uint64_t cores_milli = 0;
    const UsageSample* largest = nullptr;
    std::int64_t largest_excess = 0;
    for (const UsageSample* task : tasks) {
      memory_mb += task->memory_mb;
      cores_milli += task->cores_milli;
      const std::int64_t excess = this->ExcessPermille(worker, *task);
      if (excess > largest_excess) {
        largest = task;
        largest_excess = excess;
      }
    }
    if (largest == nullptr) {
      return;
    }
    const Job& job = *this->cluster.FindJob(largest->job);
    const auto above = [&](std::uint64_t used, std::uint64_t capacity,
                           std::uint64_t permille) {
      return used * 1000 > capacity * permille;
    };
    if (above(memory_mb, worker.memory_mb, this->settings.stop_permille) &&
        IsPreemptible(job.spec) && job.state == JobState::kRunning) {
      this->Propose(job, StopRecord(job, records::STOP_REASON_OVERSIZED));
      return;
    }
    if (above(memory_mb, worker.memory_mb, this->settings.throttle_permille) &&
        job.spec.preemption() == records::PREEMPTION_CHECKPOINT) {
      this->RequestTaskAction(TaskActionKind::kCheckpoint, *largest, 1000);
    }
    if (above(memory_mb, worker.memory_mb, this->settings.throttle_permille) ||
        above(cores_milli, worker.cores_milli,
              this->settings.throttle_permille)) {
      this->RequestTaskAction(TaskActionKind::kThrottle, *largest, 1000);
    }
  }

  void RequestTaskAction(TaskActionKind kind,
                         const UsageSample& task,
                         std::uint32_t share_permille) {
    this->plan.actions.push_back(
        {kind, task.job, task.attempt, task.worker, share_permille});
  }

  /// How far the task exceeds its cell, in thousandths of the cell, by the
  /// larger of cores and memory. 0 if the task is not running on `worker`.
  std::int64_t ExcessPermille(const Worker& worker,
                              const UsageSample& task) const {
    const Job* job = this->cluster.FindJob(task.job);
    if (job == nullptr || job->attempt != task.attempt ||
        job->state != JobState::kRunning) {
      return 0;
    }
    for (const GangMember& member : job->members) {
      if (member.worker == worker.id) {
        const auto permille = [&](std::uint64_t used, std::uint64_t capacity) {
          const std::uint64_t cell =
              capacity * member.accelerators / worker.accelerators;
          return cell == 0 ? std::int64_t{0}
                           : static_cast<std::int64_t>(used * 1000 / cell);
        };
        return std::max(permille(task.memory_mb, worker.memory_mb),
                        permille(task.cores_milli, worker.cores_milli)) -
               1000;
      }
    }
    return 0;
  }

  const Cluster& cluster;
  const PlannerSettings& settings;
  Instant now;
  const PlannerInput& view;
  Plan& plan;
  std::set<JobId> proposed_jobs;
  std::set<WorkerId> lost;
};

}  // namespace

bool PlannerSettings::Valid() const {
  return this->max_placements > 0 && this->aging_ms > 0 &&
         this->prepare_timeout_ms > 0 && this->start_timeout_ms > 0 &&
         this->stop_timeout_ms > 0 && this->usage_lag_ms >= 0 &&
         this->size_hysteresis_permille < 1000 && this->shrink_samples > 0 &&
         this->throttle_permille <= this->stop_permille &&
         this->quarantine_failures > 0;
}

Planner::Planner(PlannerSettings planner_settings)
    : settings(planner_settings) {
  assert(this->settings.Valid());
}

Plan Planner::Propose(const Cluster& cluster,
                      Instant now,
                      const PlannerInput& view) {
  Plan plan;
  const std::set<JobId> proposed_jobs =
      this->ProposeMaintenance(cluster, now, view, plan);
  if (!cluster.Queue().empty()) {
    PlacementStep<AnyCell> step(cluster, this->settings, now, AnyCell{});
    step.Run(proposed_jobs, plan);
  }
  return plan;
}

std::set<JobId> Planner::ProposeMaintenance(const Cluster& cluster,
                                            Instant now,
                                            const PlannerInput& view,
                                            Plan& plan) {
  MaintenanceStep maintenance(cluster, this->settings, now, view, plan);
  maintenance.Run();
  this->LearnSizes(cluster, view, plan);
  return maintenance.ProposedJobs();
}

void Planner::LearnSizes(const Cluster& cluster,
                         const PlannerInput& view,
                         Plan& plan) {
  for (const UsageSample& sample : view.usage) {
    const Job* job = cluster.FindJob(sample.job);
    // Usage reports lag, so an early sample covers time before the start.
    const bool usable =
        job != nullptr && job->attempt == sample.attempt &&
        job->state == JobState::kRunning &&
        sample.sampled_at >= job->started_at.After(this->settings.usage_lag_ms);
    if (!usable) {
      continue;
    }
    if (this->usage_windows.size() >= kMaxWindows) {
      this->usage_windows.clear();
    }
    UsageWindow& window =
        this->usage_windows[{AccountId(job->spec.account()), job->spec.kind()}];
    ++window.samples;
    window.cores_milli = std::max(window.cores_milli, sample.cores_milli);
    window.memory_mb = std::max(window.memory_mb, sample.memory_mb);
    this->CorrectSize(cluster, *job, plan);
  }
}

/// A size grows with the first sample above it and shrinks to the maximum usage
/// over a full window.
void Planner::CorrectSize(const Cluster& cluster, const Job& job, Plan& plan) {
  const std::pair<AccountId, std::string> key{AccountId(job.spec.account()),
                                              job.spec.kind()};
  UsageWindow& window = this->usage_windows[key];
  const MemberSize size = cluster.EffectiveSize(job.spec);
  const std::uint64_t margin = this->settings.size_hysteresis_permille;
  const auto above = [&](std::uint64_t used, std::uint64_t known) {
    return used * 1000 > known * (1000 + margin);
  };
  const auto below = [&](std::uint64_t used, std::uint64_t known) {
    return used * 1000 < known * (1000 - margin);
  };
  const bool grow = above(window.cores_milli, size.cores_milli) ||
                    above(window.memory_mb, size.memory_mb);
  const bool full = window.samples >= this->settings.shrink_samples;
  const bool shrink = full && (below(window.cores_milli, size.cores_milli) ||
                               below(window.memory_mb, size.memory_mb));
  if (grow || shrink) {
    records::Record record;
    auto& body = *record.mutable_size_corrected();
    body.set_account(key.first.value);
    body.set_kind(key.second);
    const auto chosen = [&](std::uint32_t used, std::uint32_t known) {
      return full ? used : std::max(used, known);
    };
    body.mutable_size()->set_cores_milli(
        chosen(window.cores_milli, size.cores_milli));
    body.mutable_size()->set_memory_mb(
        chosen(window.memory_mb, size.memory_mb));
    plan.records.push_back(std::move(record));
  }
  if (full || grow) {
    this->usage_windows.erase(key);
  }
}

}  // namespace carobrill::scheduling
