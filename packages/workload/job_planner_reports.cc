// The part of JobPlanner that follows runs as agents report them.

#include <algorithm>

#include "packages/workload/crash_isolation.h"
#include "packages/workload/job_planner.h"

namespace carobrill::workload {
namespace {

/// True when a run of the task or of its gang has failed.
bool HasFailed(const Job& job, const TaskKey& key) {
  const StepState& step = job.occurrences.at(key.occurrence).steps.at(key.step);
  return step.gang_failures > 0 || step.tasks.at(key.index).failures > 0;
}

/// True when the whole step of the task is being stopped.
bool IsStopping(const Job& job, const TaskKey& key) {
  const auto occurrence = job.occurrences.find(key.occurrence);
  if (occurrence == job.occurrences.end()) {
    return false;
  }
  const auto step = occurrence->second.steps.find(key.step);
  return step != occurrence->second.steps.end() && step->second.stopping;
}

}  // namespace

void JobPlanner::UpdateRunning(const InstanceId& agent,
                               const std::vector<RunningTask>& running,
                               Instant read_at) {
  const auto worker = this->workers.find(agent);
  if (worker != this->workers.end()) {
    worker->second.running_read_at =
        std::max(worker->second.running_read_at, read_at);
  }
  for (const RunningTask& seen : running) {
    const auto job = this->jobs.find(seen.task.job);
    TaskState* task =
        job == this->jobs.end() ? nullptr : job->second.Find(seen.task);
    if (task == nullptr || !task->HoldsResources() || task->run != seen.run ||
        task->worker.agent != agent) {
      continue;
    }
    if (worker != this->workers.end() &&
        !this->FollowRun(job->second, seen, *task,
                         worker->second.description.incarnation, read_at)) {
      continue;
    }
    if (task->phase == TaskPhase::kStarting) {
      task->phase = TaskPhase::kRunning;
      task->progress_at = read_at;
      if (job->second.phase == JobPhase::kQueued) {
        job->second.phase = JobPhase::kRunning;
      }
      this->MarkChanged(job->second, seen.task);
    }
    if (seen.percent != task->percent) {
      task->percent = seen.percent;
      task->progress_at = read_at;
    }
    task->usage = seen.usage;
    if (this->settings.learn_run_times) {
      this->estimator.ObserveProgress(
          this->Observe(job->second, seen.task, *task, read_at));
    }
    this->ObserveProbation(job->second, seen.task, *task, read_at);
    const StepState& step =
        *job->second.FindStep(seen.task.occurrence, seen.task.step);
    if (seen.checkpoint != step.CheckpointOf(*task)) {
      StoreCheckpoint(job->second, seen.task, seen.checkpoint);
    }
  }
}

// A task that crashes its worker at the start does not get this far, so the
// crashes that it was near had other causes.
void JobPlanner::ObserveProbation(Job& job,
                                  const TaskKey& key,
                                  TaskState& task,
                                  Instant read_at) {
  task.listed_since = std::min(task.listed_since, read_at);
  if (task.outlived_probation ||
      !HasOutlivedProbation(
          job.occurrences.at(key.occurrence).steps.at(key.step), task,
          job.SpecOf(key).gang, read_at)) {
    return;
  }
  task.outlived_probation = true;
  if (task.worker_crashes > 0) {
    this->RecordEvent(PlannerEventKind::kTaskCleared, key, task.run,
                      task.worker.id,
                      std::to_string(task.worker_crashes) + " crashes",
                      read_at.ms - task.listed_since.ms);
    task.worker_crashes = 0;
    this->MarkChanged(job, key);
  }
}

// A start that the earlier process of a worker left unanswered may be carried
// out by the process that follows under the same id. The agent does not know of
// it if it has restarted as well.
bool JobPlanner::FollowRun(Job& job,
                           const RunningTask& seen,
                           TaskState& task,
                           const WorkerIncarnation& incarnation,
                           Instant read_at) {
  if (task.worker == incarnation) {
    return true;
  }
  if (task.worker.id != incarnation.id) {
    return false;
  }
  this->RecordEvent(PlannerEventKind::kRunFollowed, seen.task, seen.run,
                    incarnation.id,
                    "worker started at " + std::to_string(incarnation.born_ms) +
                        " instead of " + std::to_string(task.worker.born_ms));
  task.worker = incarnation;
  task.progress_at = read_at;
  task.listed_since = Instant::Never();
  task.outlived_probation = false;
  job.occurrences.at(seen.task.occurrence)
      .steps.at(seen.task.step)
      .first_on_probation = 0;
  this->MarkChanged(job, seen.task);
  return true;
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
  const bool failed_before = task != nullptr && HasFailed(job, report.task);
  const bool was_stopping = IsStopping(job, report.task);
  const bool was_final = IsFinal(job.phase);
  if (this->settings.learn_run_times && report.end == RunEnd::kDone &&
      task != nullptr && task->run == report.run &&
      task->worker == incarnation && task->HoldsResources()) {
    this->estimator.ObserveDone(
        this->Observe(job, report.task, *task, time.now));
  }
  if (!ApplyRunEnd(job, incarnation, report, time)) {
    return;
  }
  if (!was_final && IsFinal(job.phase)) {
    this->MarkChanged(job);
  } else if (job.SpecOf(report.task).gang &&
             (!was_stopping ||
              job.IsStepDone(report.task.occurrence, report.task.step))) {
    this->MarkStepChanged(job, report.task);
  } else {
    this->MarkChanged(job, report.task);
  }
  job.Release(report.task);
  this->RecordEvent(kind, report.task, report.run, incarnation.id,
                    std::string(NameOf(report.end)),
                    time.now.ms - ordered_at.ms);
  const auto worker = this->workers.find(incarnation.agent);
  if (worker != this->workers.end()) {
    this->UpdateWorkerHealth(worker->second, report, failed_before, time.now);
  }
  if (!was_final && IsFinal(job.phase)) {
    if (report.end == RunEnd::kWorkerCrashed) {
      this->RecordEvent(PlannerEventKind::kTaskGivenUp, report.task, report.run,
                        incarnation.id,
                        std::to_string(kMaxWorkerCrashes) +
                            " workers crashed at the start of the task");
    }
    this->RecordJobEnd(job, report.task, report.run, incarnation.id, time.wall);
  }
}

// A task or gang that fails on several workers is itself faulty, so only its
// first failure counts against the worker.
void JobPlanner::UpdateWorkerHealth(Worker& worker,
                                    const RunReport& report,
                                    bool failed_before,
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
  if (report.end != RunEnd::kFailed || failed_before) {
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

}  // namespace carobrill::workload
