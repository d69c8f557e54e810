#ifndef PACKAGES_WORKLOAD_JOB_H_
#define PACKAGES_WORKLOAD_JOB_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/time.h"
#include "packages/workload/job_spec.h"

namespace carobrill::workload {

/// Names one task of one occurrence of a job.
struct TaskKey {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const TaskKey&) const = default;
};

/// One life of a worker: a worker that starts again under its id holds nothing
/// of before.
struct WorkerLife {
  /// The agent beside the worker, which outlives it.
  InstanceId agent;
  WorkerId id;
  /// Unix ms of the worker's start.
  std::int64_t born_ms = 0;

  auto operator<=>(const WorkerLife&) const = default;
};

/// What becomes of a task.
enum class TaskPhase { kWaiting, kStarting, kRunning, kStopping, kDone };

constexpr auto NamesOf(TaskPhase) {
  return MakeNameTable<TaskPhase>({{TaskPhase::kWaiting, "waiting"},
                                   {TaskPhase::kStarting, "starting"},
                                   {TaskPhase::kRunning, "running"},
                                   {TaskPhase::kStopping, "stopping"},
                                   {TaskPhase::kDone, "done"}});
}

/// How a run of a task ended, as its worker reports it or as is inferred.
enum class RunEnd {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  kGangBroken,
  kGangIncomplete,
  /// The worker refused the order, so the run never started.
  kRefused,
  /// The worker's life is over, or its lease has surely ended.
  kWorkerLost,
};

constexpr auto NamesOf(RunEnd) {
  return MakeNameTable<RunEnd>({{RunEnd::kDone, "done"},
                                {RunEnd::kFailed, "failed"},
                                {RunEnd::kStopped, "stopped"},
                                {RunEnd::kLeaseExpired, "lease_expired"},
                                {RunEnd::kGangBroken, "gang_broken"},
                                {RunEnd::kGangIncomplete, "gang_incomplete"},
                                {RunEnd::kRefused, "refused"},
                                {RunEnd::kWorkerLost, "worker_lost"}});
}

/// State of a job, as clients see it.
enum class JobPhase { kQueued, kRunning, kCompleted, kFailed, kCancelled };

constexpr auto NamesOf(JobPhase) {
  return MakeNameTable<JobPhase>({{JobPhase::kQueued, "queued"},
                                  {JobPhase::kRunning, "running"},
                                  {JobPhase::kCompleted, "completed"},
                                  {JobPhase::kFailed, "failed"},
                                  {JobPhase::kCancelled, "cancelled"}});
}

/// True when the phase never changes any more.
constexpr bool IsFinal(JobPhase phase) {
  return phase == JobPhase::kCompleted || phase == JobPhase::kFailed ||
         phase == JobPhase::kCancelled;
}

/// One task and its newest run.
struct TaskState {
  TaskPhase phase = TaskPhase::kWaiting;
  /// Number of the newest run; 0 before the first.
  std::uint32_t run = 0;
  /// Runs that ended failed.
  std::uint32_t failures = 0;
  /// Worker of the newest run while it is starting, running or stopping.
  WorkerLife worker;
  std::string checkpoint;

  /// @{
  /// Known to the planning process only, not stored.
  /// Ticket that the start of the newest run carries; empty for none.
  std::string ticket;
  /// Commit that makes the newest assignment durable.
  std::uint64_t commit = 0;
  std::uint32_t percent = 0;
  /// Boot clock: the last time that `percent` rose.
  Instant progress_at;
  /// Boot clock: the order of the newest run.
  Instant ordered_at;
  /// Boot clock: no new run before this.
  Instant not_before;
  /// Tail latency or processor use of the last half second, as reported.
  std::int64_t usage = 0;
  /// @}

  /// True while a worker holds room for the task.
  bool HoldsResources() const {
    return this->phase == TaskPhase::kStarting ||
           this->phase == TaskPhase::kRunning ||
           this->phase == TaskPhase::kStopping;
  }
};

/// The tasks of one step of one occurrence.
struct StepState {
  std::vector<TaskState> tasks;
  /// Failed runs of the whole gang.
  std::uint32_t gang_failures = 0;

  bool Done() const;
};

/// One run through the steps of a job.
struct Occurrence {
  std::vector<StepState> steps;

  bool Done() const;
};

/// A job and how far it is.
struct Job {
  Submission submission;
  JobPhase phase = JobPhase::kQueued;
  /// A client has cancelled the job; it is final once nothing runs any more.
  bool cancel_requested = false;
  std::vector<Occurrence> occurrences;
  /// Time of day (Unix ms) at which the phase became final.
  Instant ended_at;

  /// A new job of which nothing has run.
  static Job Of(Submission submission);

  const StepSpec& SpecOf(const TaskKey& key) const {
    return this->submission.spec.steps[key.step];
  }

  /// The task's state; null when the job has no such task.
  TaskState* Find(const TaskKey& key);

  /// Time of day (Unix ms) at which an occurrence may start.
  Instant DueAt(std::uint32_t occurrence) const;

  /// True when all steps that `step` depends on are done.
  bool StepReady(std::uint32_t occurrence, std::uint32_t step) const;

  /// True while any task holds room on a worker.
  bool AnyTaskHoldsResources() const;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_JOB_H_
