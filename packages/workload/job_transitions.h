#ifndef PACKAGES_WORKLOAD_JOB_TRANSITIONS_H_
#define PACKAGES_WORKLOAD_JOB_TRANSITIONS_H_

#include <string>

#include "packages/workload/job.h"

namespace carobrill::workload {

/// Number of workers that may crash in a row at the start of a task before the
/// task is given up and its job fails.
inline constexpr std::uint32_t kMaxWorkerCrashes = 3;

/// Report that a run of a task has ended.
struct RunReport {
  TaskKey task;
  std::uint32_t run = 0;
  RunEnd end = RunEnd::kStopped;
  /// Latest checkpoint of the run; empty for none.
  std::string checkpoint;
};

/// The current time on both clocks that transitions use.
struct TransitionTime {
  /// Boot clock.
  Instant now;
  /// Wall-clock time (Unix ms).
  Instant wall;
};

/// Applies the end of a run on `worker`. Returns false and changes nothing when
/// that run does not hold resources there: the report is a duplicate or stale.
bool ApplyRunEnd(Job& job,
                 const WorkerIncarnation& worker,
                 const RunReport& report,
                 const TransitionTime& time);

/// Cancels a job that has not ended and marks its active tasks as stopping.
/// Returns true when the job changed.
bool RequestCancel(Job& job, const TransitionTime& time);

/// Marks every task of the step that holds resources as stopping. Returns false
/// if that was done before, and no task was assigned since.
bool StopStep(StepState& step);

/// Marks every task of the job that holds resources as stopping.
void StopAllTasks(Job& job);

/// Stores the latest checkpoint of a task that has a state, or of all members
/// of its gang, which share one checkpoint. An empty checkpoint is ignored.
void StoreCheckpoint(Job& job,
                     const TaskKey& task,
                     const std::string& checkpoint);

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_JOB_TRANSITIONS_H_
