#include "packages/workload/job_planner.h"

#include <algorithm>
#include <utility>

namespace carobrill::workload {
namespace {

/// Percentage of a task's estimated run time that must pass without progress
/// before the task counts as stalled. In less time, slow workers may advance by
/// less than one percent.
constexpr std::int64_t kStallPercentOfEstimate = 30;

/// Progress of a task that has finished its work.
constexpr std::uint32_t kCompletePercent = 100;

/// Calls `visit(key, task)` for every task of the job that holds resources.
template <typename Visit>
void ForEachActiveTask(Job& job, Visit&& visit) {
  for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
    auto& steps = job.occurrences[k].steps;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
      for (std::uint32_t i = 0; i < steps[s].tasks.size(); ++i) {
        if (steps[s].tasks[i].HoldsResources()) {
          visit(TaskKey{job.submission.id, k, s, i}, steps[s].tasks[i]);
        }
      }
    }
  }
}

std::int64_t PeakAccelerators(const Job& job) {
  std::int64_t most = 0;
  for (const StepSpec& step : job.submission.spec.steps) {
    most = std::max<std::int64_t>(most, step.tasks * step.demand.accelerators);
  }
  return most;
}

}  // namespace

JobPlanner::JobPlanner(JobPlannerSettings settings) : settings(settings) {}

// The times of the assignment and of the last progress are not stored, so both
// restart at `now`.
void JobPlanner::Load(Job job, Instant now) {
  const JobId id = job.submission.id;
  ForEachActiveTask(job, [&](const TaskKey&, TaskState& task) {
    task.ordered_at = now;
    task.progress_at = now;
  });
  this->jobs.insert_or_assign(id, std::move(job));
}

void JobPlanner::Submit(Submission submission) {
  const JobId id = submission.id;
  if (!this->jobs.contains(id)) {
    this->jobs.emplace(id, Job::Of(std::move(submission)));
  }
}

void JobPlanner::Cancel(const JobId& id, const TransitionTime& time) {
  const auto job = this->jobs.find(id);
  if (job != this->jobs.end() && RequestCancel(job->second, time)) {
    this->changed_jobs.insert(id);
    this->RecordJobEnd(job->second, {id, 0, 0, 0}, 0, {}, time.wall);
  }
}

void JobPlanner::SetGuarantees(std::map<AccountId, std::int64_t> guarantees) {
  this->guarantees = std::move(guarantees);
}

bool JobPlanner::UpdateWorker(const InstanceId& agent,
                              const WorkerDescription& description,
                              Instant lease_expires_at,
                              const TransitionTime& time) {
  Worker& worker = this->workers[agent];
  worker.agent = agent;
  if (worker.description.incarnation != description.incarnation) {
    worker.consecutive_failures = 0;
    worker.avoid_until = time.now;
  }
  const bool changed_for_planning =
      !worker.reachable || worker.description != description;
  worker.description = description;
  worker.reachable = true;
  worker.lease_expires_at = lease_expires_at;
  return changed_for_planning;
}

void JobPlanner::MarkWorkerUnreachable(const InstanceId& agent) {
  const auto worker = this->workers.find(agent);
  if (worker != this->workers.end()) {
    worker->second.reachable = false;
  }
}

void JobPlanner::RegisterWorker(const InstanceId& agent,
                                Instant lease_expires_at) {
  Worker& worker = this->workers[agent];
  if (worker.agent.empty()) {
    worker.agent = agent;
    worker.lease_expires_at = lease_expires_at;
  }
}

void JobPlanner::UpdateRunning(const InstanceId& agent,
                               const std::vector<RunningTask>& running,
                               Instant now) {
  for (const RunningTask& seen : running) {
    const auto job = this->jobs.find(seen.task.job);
    TaskState* task =
        job == this->jobs.end() ? nullptr : job->second.Find(seen.task);
    if (task == nullptr || !task->HoldsResources() || task->run != seen.run ||
        task->worker.agent != agent) {
      continue;
    }
    if (task->phase == TaskPhase::kStarting) {
      task->phase = TaskPhase::kRunning;
      task->progress_at = now;
      this->changed_jobs.insert(seen.task.job);
      if (job->second.phase == JobPhase::kQueued) {
        job->second.phase = JobPhase::kRunning;
      }
    }
    if (seen.percent != task->percent) {
      task->percent = seen.percent;
      task->progress_at = now;
    }
    task->usage = seen.usage;
    if (seen.checkpoint != task->checkpoint) {
      StoreCheckpoint(job->second, seen.task, seen.checkpoint);
    }
  }
}

void JobPlanner::ApplyRunReport(const InstanceId& agent,
                                const RunReport& report,
                                const TransitionTime& time) {
  const auto job = this->jobs.find(report.task.job);
  if (job == this->jobs.end()) {
    return;
  }
  const TaskState* task = job->second.Find(report.task);
  if (task == nullptr || task->worker.agent != agent) {
    return;
  }
  const WorkerIncarnation incarnation = task->worker;
  this->ApplyEnd(job->second, incarnation, report, PlannerEventKind::kRunEnded,
                 time);
}

void JobPlanner::ApplyEnd(Job& job,
                          const WorkerIncarnation& incarnation,
                          const RunReport& report,
                          PlannerEventKind kind,
                          const TransitionTime& time) {
  const TaskState* task = job.Find(report.task);
  const Instant ordered_at = task == nullptr ? time.now : task->ordered_at;
  const bool was_final = IsFinal(job.phase);
  if (!ApplyRunEnd(job, incarnation, report, time)) {
    return;
  }
  this->changed_jobs.insert(job.submission.id);
  this->RecordEvent(kind, report.task, report.run, incarnation.id,
                    std::string(NameOf(report.end)),
                    time.now.ms - ordered_at.ms);
  const auto worker = this->workers.find(incarnation.agent);
  if (worker != this->workers.end()) {
    this->UpdateWorkerHealth(worker->second, report, job, time.now);
  }
  if (!was_final && IsFinal(job.phase)) {
    this->RecordJobEnd(job, report.task, report.run, incarnation.id, time.wall);
  }
}

// A task or gang that fails on several workers is itself faulty, so only its
// first failure counts against the worker.
void JobPlanner::UpdateWorkerHealth(Worker& worker,
                                    const RunReport& report,
                                    const Job& job,
                                    Instant now) {
  if (report.end == RunEnd::kDone) {
    worker.consecutive_failures = 0;
    return;
  }
  if (report.end == RunEnd::kRefused) {
    this->advice_cache.DropTicket(
        {report.task.job, report.task.occurrence, report.task.step},
        worker.description.incarnation);
    worker.refusal_backoff_until = now.After(this->settings.refusal_backoff_ms);
    return;
  }
  const auto& step =
      job.occurrences[report.task.occurrence].steps[report.task.step];
  const std::uint32_t failures =
      std::max(step.gang_failures, step.tasks[report.task.index].failures);
  if (report.end != RunEnd::kFailed || failures > 1) {
    return;
  }
  ++worker.consecutive_failures;
  if (worker.consecutive_failures >= this->settings.avoid_after_failures) {
    worker.avoid_until = now.After(this->settings.avoid_duration_ms);
    this->RecordEvent(PlannerEventKind::kWorkerAvoided, report.task, report.run,
                      worker.description.incarnation.id, "consecutive failures",
                      this->settings.avoid_duration_ms);
  }
}

void JobPlanner::SetUnknownWorkerDeadline(Instant deadline) {
  this->unknown_workers_lost_at = deadline;
}

void JobPlanner::EndLostRuns(const TransitionTime& time) {
  for (auto& [id, job] : this->jobs) {
    std::vector<std::pair<WorkerIncarnation, RunReport>> lost;
    ForEachActiveTask(job, [&](const TaskKey& key, const TaskState& task) {
      const auto found = this->workers.find(task.worker.agent);
      const bool known = found != this->workers.end();
      const bool other_incarnation =
          known && found->second.reachable &&
          !found->second.description.incarnation.id.empty() &&
          found->second.description.incarnation != task.worker;
      const bool expired = known
                               ? !found->second.reachable &&
                                     time.now >= found->second.lease_expires_at
                               : time.now >= this->unknown_workers_lost_at;
      if (other_incarnation || expired) {
        lost.emplace_back(task.worker,
                          RunReport{key, task.run, RunEnd::kWorkerLost, {}});
      }
    });
    for (const auto& [incarnation, report] : lost) {
      this->ApplyEnd(job, incarnation, report, PlannerEventKind::kRunLost,
                     time);
    }
  }
}

void JobPlanner::StopStalledTasks(Instant now) {
  for (auto& [id, job] : this->jobs) {
    ForEachActiveTask(job, [&, &job = job](const TaskKey& key,
                                           TaskState& task) {
      const StepSpec& spec = job.SpecOf(key);
      const std::int64_t limit =
          std::max(this->settings.min_stall_ms,
                   spec.estimate_ms * kStallPercentOfEstimate / 100);
      const auto worker = this->workers.find(task.worker.agent);
      // A gang member that has finished its work waits for the others, so its
      // progress no longer changes.
      const bool finished = task.percent >= kCompletePercent;
      if (task.phase != TaskPhase::kRunning || spec.long_running || finished ||
          now < task.progress_at.After(limit) ||
          worker == this->workers.end() || !worker->second.reachable) {
        return;
      }
      this->RecordEvent(PlannerEventKind::kStalled, key, task.run,
                        task.worker.id,
                        std::to_string(task.percent) + " percent",
                        now.ms - task.progress_at.ms);
      task.phase = TaskPhase::kStopping;
      worker->second.avoid_until = now.After(this->settings.avoid_duration_ms);
      this->changed_jobs.insert(key.job);
    });
  }
}

void JobPlanner::Plan(const TransitionTime& time) {
  this->EndLostRuns(time);
  this->StopStalledTasks(time.now);
  this->guaranteed_jobs = this->SelectGuaranteedJobs();
  std::vector<Resources> capacities;
  for (const auto& [agent, worker] : this->workers) {
    if (worker.description.availability == WorkerAvailability::kReady) {
      capacities.push_back(worker.description.capacity);
    }
  }
  this->objective = JobObjective(std::move(capacities));
  this->pending_advice.clear();
  auto waiting = this->CollectWaitingUnits(time);
  std::ranges::stable_sort(
      waiting, [](const WaitingUnit& a, const WaitingUnit& b) {
        return std::pair(a.rank, a.slack_ms) < std::pair(b.rank, b.slack_ms);
      });
  CapacityMap map(this->workers, this->jobs, time.now);
  for (WaitingUnit& unit : waiting) {
    this->ScheduleUnit(unit, map, time);
  }
}

// Jobs of priority 0 use up their account's guarantee in order of acceptance.
// Jobs that exceed it are scheduled like other jobs of priority 0.
std::set<JobId> JobPlanner::SelectGuaranteedJobs() const {
  std::vector<const Job*> urgent;
  for (const auto& [id, job] : this->jobs) {
    if (job.submission.priority == 0 && !IsFinal(job.phase)) {
      urgent.push_back(&job);
    }
  }
  std::ranges::stable_sort(
      urgent, {}, [](const Job* job) { return job->submission.accepted_at; });
  std::map<AccountId, std::int64_t> left = this->guarantees;
  std::set<JobId> result;
  for (const Job* job : urgent) {
    const std::int64_t need = PeakAccelerators(*job);
    std::int64_t& available = left[job->submission.account];
    if (need <= available) {
      available -= need;
      result.insert(job->submission.id);
    }
  }
  return result;
}

std::set<JobId> JobPlanner::TakeChanges() {
  ++this->next_commit;
  return std::exchange(this->changed_jobs, {});
}

std::vector<JobId> JobPlanner::TakeExpired(Instant wall) {
  std::vector<JobId> expired;
  for (const auto& [id, job] : this->jobs) {
    if (IsFinal(job.phase) && !job.AnyTaskHoldsResources() &&
        wall >= job.ended_at.After(this->settings.retention_ms)) {
      expired.push_back(id);
    }
  }
  for (const JobId& id : expired) {
    this->jobs.erase(id);
    this->changed_jobs.erase(id);
    this->advice_cache.EraseJob(id);
  }
  return expired;
}

std::map<InstanceId, std::vector<TaskOrder>> JobPlanner::Orders(
    std::uint64_t committed) const {
  std::map<InstanceId, std::vector<TaskOrder>> orders;
  for (const auto& [id, job] : this->jobs) {
    ForEachActiveTask(
        const_cast<Job&>(job),
        [&, &job = job](const TaskKey& key, const TaskState& task) {
          // A run of another incarnation of the worker is lost and must not be
          // ordered.
          const auto worker = this->workers.find(task.worker.agent);
          if (task.commit > committed || worker == this->workers.end() ||
              worker->second.description.incarnation != task.worker) {
            return;
          }
          TaskOrder order;
          order.task = key;
          order.run = task.run;
          order.filler = job.SpecOf(key).filler;
          order.latency_target_ms = job.SpecOf(key).latency_target_ms;
          order.stop = task.phase == TaskPhase::kStopping;
          order.started = task.phase != TaskPhase::kStarting;
          if (!order.started) {
            order.payload = job.submission.spec.payload;
            order.checkpoint = task.checkpoint;
            order.ticket = task.ticket;
          }
          orders[task.worker.agent].push_back(std::move(order));
        });
  }
  return orders;
}

std::vector<PlannerEvent> JobPlanner::TakeEvents() {
  return std::exchange(this->events, {});
}

void JobPlanner::RecordJobEnd(const Job& job,
                              const TaskKey& task,
                              std::uint32_t run,
                              const WorkerId& worker,
                              Instant wall) {
  this->RecordEvent(PlannerEventKind::kJobEnded, task, run, worker,
                    std::string(NameOf(job.phase)),
                    wall.ms - job.submission.accepted_at.ms);
  this->events.back().slack_ms =
      this->objective.DeadlineOf(job, task.occurrence).ms - wall.ms;
}

void JobPlanner::RecordEvent(PlannerEventKind kind,
                             const TaskKey& task,
                             std::uint32_t run,
                             const WorkerId& worker,
                             std::string detail,
                             std::int64_t age_ms) {
  this->events.push_back(
      {kind, task, run, worker, std::move(detail), age_ms, {}});
}

}  // namespace carobrill::workload
