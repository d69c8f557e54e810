#ifndef PACKAGES_WORKLOAD_JOB_H_
#define PACKAGES_WORKLOAD_JOB_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/time.h"
#include "packages/workload/interval_set.h"
#include "packages/workload/job_spec.h"

namespace carobrill::workload {

/// Identifies one task of one occurrence of a job. An occurrence is one
/// execution of all steps of the job.
struct TaskKey {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const TaskKey&) const = default;

  /// Returns the position of the task in its job: "OCCURRENCE.STEP.INDEX".
  std::string Position() const {
    return std::to_string(this->occurrence) + "." + std::to_string(this->step) +
           "." + std::to_string(this->index);
  }
};

/// One incarnation of a worker. A worker that restarts under the same id keeps
/// no state of its previous incarnation.
struct WorkerIncarnation {
  /// The agent that manages the worker and survives its restarts.
  InstanceId agent;
  WorkerId id;
  /// Start time of the worker process, in Unix ms.
  std::int64_t born_ms = 0;

  auto operator<=>(const WorkerIncarnation&) const = default;
};

/// Life cycle of a task.
enum class TaskPhase { kWaiting, kStarting, kRunning, kStopping, kDone };

constexpr auto NamesOf(TaskPhase) {
  return MakeNameTable<TaskPhase>({{TaskPhase::kWaiting, "waiting"},
                                   {TaskPhase::kStarting, "starting"},
                                   {TaskPhase::kRunning, "running"},
                                   {TaskPhase::kStopping, "stopping"},
                                   {TaskPhase::kDone, "done"}});
}

/// True when a task in this phase holds resources on a worker.
constexpr bool HoldsResources(TaskPhase phase) {
  return phase == TaskPhase::kStarting || phase == TaskPhase::kRunning ||
         phase == TaskPhase::kStopping;
}

/// Outcome of a run of a task, as its worker reports it or the planner infers
/// it.
enum class RunEnd {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  kGangBroken,
  kGangIncomplete,
  /// The worker rejected the start order, so the run never started.
  kRefused,
  /// The worker has left or restarted, or its lease has certainly expired.
  kWorkerLost,
  /// The worker's process ended unexpectedly while its agent watched.
  kWorkerCrashed,
};

constexpr auto NamesOf(RunEnd) {
  return MakeNameTable<RunEnd>({{RunEnd::kDone, "done"},
                                {RunEnd::kFailed, "failed"},
                                {RunEnd::kStopped, "stopped"},
                                {RunEnd::kLeaseExpired, "lease_expired"},
                                {RunEnd::kGangBroken, "gang_broken"},
                                {RunEnd::kGangIncomplete, "gang_incomplete"},
                                {RunEnd::kRefused, "refused"},
                                {RunEnd::kWorkerLost, "worker_lost"},
                                {RunEnd::kWorkerCrashed, "worker_crashed"}});
}

/// State of a job, as shown to clients.
enum class JobPhase { kQueued, kRunning, kCompleted, kFailed, kCancelled };

constexpr auto NamesOf(JobPhase) {
  return MakeNameTable<JobPhase>({{JobPhase::kQueued, "queued"},
                                  {JobPhase::kRunning, "running"},
                                  {JobPhase::kCompleted, "completed"},
                                  {JobPhase::kFailed, "failed"},
                                  {JobPhase::kCancelled, "cancelled"}});
}

/// True when the phase is terminal.
constexpr bool IsFinal(JobPhase phase) {
  return phase == JobPhase::kCompleted || phase == JobPhase::kFailed ||
         phase == JobPhase::kCancelled;
}

/// Progress of a task that has finished its work, or of a long-running task
/// that is at work after its startup.
inline constexpr std::uint32_t kCompletePercent = 100;

/// State of one task and of its latest run.
struct TaskState {
  TaskPhase phase = TaskPhase::kWaiting;
  /// Number of the latest run; 0 before the first one.
  std::uint32_t run = 0;
  /// Number of runs that ended with kFailed.
  std::uint32_t failures = 0;
  /// Number of consecutive runs under which the worker crashed soon after their
  /// start.
  std::uint32_t worker_crashes = 0;
  /// Worker of the latest run while it is starting, running or stopping.
  WorkerIncarnation worker;
  std::string checkpoint;

  /// @{
  /// Kept in memory by the planning process only, never stored.
  /// Ticket sent with the start order of the latest run; empty for none.
  std::string ticket;
  /// Number of the commit that makes the latest assignment durable.
  std::uint64_t commit = 0;
  std::uint32_t percent = 0;
  /// Boot clock: time at which the run was last assigned, loaded, seen to start
  /// or seen to change `percent`.
  Instant progress_at;
  /// Boot clock: time at which the latest run was assigned.
  Instant ordered_at;
  /// Boot clock: when the worker first listed the latest run as running; never
  /// before it has done so.
  Instant listed_since = Instant::Never();
  /// The latest run has worked for longer than a task that crashes its worker
  /// at the start (HasOutlivedProbation()).
  bool outlived_probation = false;
  /// Boot clock: earliest time of the next run.
  Instant not_before;
  /// The latest run is known to be on a rack on which it runs at full speed.
  bool full_speed_rack = false;
  /// Tail latency or CPU usage over the last half second, as reported.
  std::int64_t usage = 0;
  /// Boot clock: when the task first lacked nothing but capacity for its next
  /// run; 0 while it does not wait for capacity.
  Instant waiting_since;
  /// Boot clock: earliest time of the next search for tasks to preempt.
  Instant preemption_search_at;
  /// Phase of the task in RunIndex.
  TaskPhase indexed_phase = TaskPhase::kWaiting;
  /// @}

  /// True before the first run of the task.
  bool HasNeverRun() const {
    return this->phase == TaskPhase::kWaiting && this->run == 0;
  }

  /// True while the task holds resources on a worker.
  bool HoldsResources() const { return workload::HoldsResources(this->phase); }
};

/// The tasks of one step of one occurrence. Has a state only for the tasks that
/// have run or have been considered by themselves; all others wait for their
/// first run.
struct StepState {
  /// Tasks by index.
  std::map<std::uint32_t, TaskState> tasks;
  /// Indexes of the completed tasks.
  IntervalSet done;
  /// Number of failed runs of the whole gang, and the latest of them; 0 for
  /// none.
  std::uint32_t gang_failures = 0;
  std::uint32_t last_failed_run = 0;

  /// @{
  /// Kept in memory by the planning process only, never stored.
  /// Boot clock: TaskState::waiting_since of all tasks without a state.
  Instant waiting_since;
  /// No task before this index is without a state, unless it has completed.
  std::uint32_t first_without_state = 0;
  /// StopStep() was called, and no task was assigned since.
  bool stopping = false;
  /// Members of a gang before this index have outlived their probation, see
  /// HasOutlivedProbation().
  std::uint32_t first_on_probation = 0;
  /// Latest checkpoint of a gang, which all members share; empty if none was
  /// reported to this process.
  std::string gang_checkpoint;
  /// @}

  /// Returns TaskState::waiting_since of any task.
  Instant WaitingSince(std::uint32_t index) const;

  /// Returns the latest checkpoint of one of the step's tasks.
  const std::string& CheckpointOf(const TaskState& task) const {
    return this->gang_checkpoint.empty() ? task.checkpoint
                                         : this->gang_checkpoint;
  }
};

/// One execution of all steps of a job. Has a state only for the steps that
/// have begun or could begin, and have not completed.
struct Occurrence {
  /// Steps by number.
  std::map<std::uint32_t, StepState> steps;
  /// Numbers of the completed steps.
  IntervalSet done_steps;
};

/// A job and its progress. Its size follows the tasks that are at work, not
/// those that the job consists of: a job may have billions.
struct Job {
  Submission submission;
  JobPhase phase = JobPhase::kQueued;
  /// Set when a client has cancelled the job.
  bool cancel_requested = false;
  /// Occurrences that are due or have begun, and have not completed.
  std::map<std::uint32_t, Occurrence> occurrences;
  /// Numbers of the completed occurrences.
  IntervalSet done_occurrences;
  /// Wall-clock time (Unix ms) at which the phase became terminal.
  Instant ended_at;
  /// Boot clock: the same, kept in memory by the planning process only.
  Instant final_since;
  /// No occurrence before this number is missing from `occurrences`, unless it
  /// has completed. Kept in memory by the planning process only.
  std::uint32_t first_unopened = 0;
  /// Step with which the next planning pass begins to list waiting tasks. Kept
  /// in memory by the planning process only.
  std::uint32_t first_listed_step = 0;

  /// Creates a job whose tasks are all waiting for their first run.
  static Job Of(Submission submission);

  const StepSpec& SpecOf(const TaskKey& key) const {
    return this->submission.spec.steps[key.step];
  }

  /// True when the job consists of this task, among others.
  bool HasTask(const TaskKey& key) const;

  /// @{
  /// Returns the state of a task or of a step, or null when it has none: it has
  /// completed, waits for its first run, or does not exist.
  TaskState* Find(const TaskKey& key);
  const StepState* FindStep(std::uint32_t occurrence, std::uint32_t step) const;
  /// @}

  /// Returns the state of a task that the job consists of and that has not
  /// completed; adds the state if the task has none.
  TaskState& Open(const TaskKey& key);

  /// Marks tasks of a step as completed. Their states stay until Release(), so
  /// that an index of them can be updated first.
  void Complete(std::uint32_t occurrence,
                std::uint32_t step,
                const IntervalSet::Interval& tasks);

  /// Marks whole occurrences as completed and drops their states.
  void CompleteOccurrences(const IntervalSet::Interval& completed);

  /// Drops the state of a task that has completed, and those of its step or its
  /// occurrence if all of it has.
  void Release(const TaskKey& key);

  bool IsStepDone(std::uint32_t occurrence, std::uint32_t step) const;
  bool AllOccurrencesDone() const {
    return this->done_occurrences.Count() ==
           this->submission.spec.Occurrences();
  }

  /// Wall-clock time (Unix ms) at which an occurrence is due.
  Instant DueAt(std::uint32_t occurrence) const;

  /// True when all steps that `step` depends on have completed.
  bool IsStepReady(std::uint32_t occurrence, std::uint32_t step) const;

  /// True while any task holds resources on a worker.
  bool AnyTaskHoldsResources() const;

  /// Number of tasks that have run and have not completed.
  std::uint32_t CountTasksAtWork() const;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_JOB_H_
