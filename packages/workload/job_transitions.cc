#include "packages/workload/job_transitions.h"

#include <utility>

namespace carobrill::workload {
namespace {

/// Retry delay of a failed task, multiplied by its number of earlier failures.
constexpr std::int64_t kRetryDelayMs = 100;

/// Retry delay after a worker refused an order, so that the worker's next
/// report can show the reason first.
constexpr std::int64_t kRefusalDelayMs = 150;

// When one member of a gang reports completion, the whole gang has completed.
void CompleteTask(Job& job, const TaskKey& key) {
  const StepSpec& spec = job.SpecOf(key);
  const IntervalSet::Interval tasks =
      spec.gang ? IntervalSet::Interval{0, spec.tasks}
                : IntervalSet::Interval{key.index, key.index + 1};
  job.Complete(key.occurrence, key.step, tasks);
}

/// Counts a failed run. Returns the number of failed runs that counts against
/// the limit of attempts.
std::uint32_t CountFailure(StepState& step, TaskState& task, bool gang) {
  ++task.failures;
  if (!gang) {
    return task.failures;
  }
  // The members report the failure of one run one by one, perhaps to several
  // planners.
  if (task.run > step.last_failed_run) {
    step.last_failed_run = task.run;
    ++step.gang_failures;
  }
  return step.gang_failures;
}

void FinishJob(Job& job, JobPhase phase, const TransitionTime& time) {
  job.phase = phase;
  job.ended_at = time.wall;
  job.final_since = time.now;
  StopAllTasks(job);
}

}  // namespace

// The ends of a gang's members arrive one by one, and each of them stops the
// gang.
bool StopStep(StepState& step) {
  if (std::exchange(step.stopping, true)) {
    return false;
  }
  for (auto& [index, task] : step.tasks) {
    if (task.HoldsResources()) {
      task.phase = TaskPhase::kStopping;
    }
  }
  return true;
}

void StopAllTasks(Job& job) {
  for (auto& [number, occurrence] : job.occurrences) {
    for (auto& [step, state] : occurrence.steps) {
      StopStep(state);
    }
  }
}

void StoreCheckpoint(Job& job,
                     const TaskKey& task,
                     const std::string& checkpoint) {
  if (checkpoint.empty()) {
    return;
  }
  StepState& step = job.occurrences.at(task.occurrence).steps.at(task.step);
  if (!job.SpecOf(task).gang) {
    step.tasks.at(task.index).checkpoint = checkpoint;
    return;
  }
  step.gang_checkpoint = checkpoint;
}

bool ApplyRunEnd(Job& job,
                 const WorkerIncarnation& worker,
                 const RunReport& report,
                 const TransitionTime& time) {
  TaskState* task = job.Find(report.task);
  if (task == nullptr || task->run != report.run || !task->HoldsResources() ||
      task->worker != worker) {
    return false;
  }
  const StepSpec& spec = job.SpecOf(report.task);
  StepState& step =
      job.occurrences.at(report.task.occurrence).steps.at(report.task.step);
  StoreCheckpoint(job, report.task, report.checkpoint);
  if (report.end == RunEnd::kDone && !spec.long_running) {
    CompleteTask(job, report.task);
    if (!IsFinal(job.phase) && job.AllOccurrencesDone()) {
      FinishJob(job, JobPhase::kCompleted, time);
    }
    return true;
  }
  task->phase = TaskPhase::kWaiting;
  task->percent = 0;
  if (report.end == RunEnd::kRefused) {
    task->not_before = time.now.After(kRefusalDelayMs);
  }
  if (spec.gang) {
    StopStep(step);
  }
  if (report.end == RunEnd::kWorkerCrashed) {
    if (task->outlived_probation) {
      return true;
    }
    ++task->worker_crashes;
    if (task->worker_crashes >= kMaxWorkerCrashes && !IsFinal(job.phase)) {
      FinishJob(job, JobPhase::kFailed, time);
    }
    return true;
  }
  if (report.end != RunEnd::kFailed || spec.long_running) {
    return true;
  }
  const std::uint32_t failures = CountFailure(step, *task, spec.gang);
  task->not_before = time.now.After(kRetryDelayMs * (failures - 1));
  if (failures >= job.submission.max_attempts && !IsFinal(job.phase)) {
    FinishJob(job, JobPhase::kFailed, time);
  }
  return true;
}

bool RequestCancel(Job& job, const TransitionTime& time) {
  if (IsFinal(job.phase)) {
    return false;
  }
  job.cancel_requested = true;
  FinishJob(job, JobPhase::kCancelled, time);
  return true;
}

}  // namespace carobrill::workload
