#ifndef PACKAGES_WORKLOAD_JOB_TRANSITIONS_H_
#define PACKAGES_WORKLOAD_JOB_TRANSITIONS_H_

#include <string>

#include "packages/workload/job.h"

namespace carobrill::workload {

/// The end of one run of a task.
struct RunReport {
  TaskKey task;
  std::uint32_t run = 0;
  RunEnd end = RunEnd::kStopped;
  /// Newest checkpoint of the run; empty for none.
  std::string checkpoint;
};

/// Moments that a transition needs.
struct TransitionTime {
  /// Boot clock.
  Instant now;
  /// Time of day (Unix ms).
  Instant wall;
};

/// Applies the end of a run on `worker`. Returns false, and changes nothing,
/// unless that very run holds room there: a repeated or outdated report.
bool ApplyRunEnd(Job& job,
                 const WorkerLife& worker,
                 const RunReport& report,
                 const TransitionTime& time);

/// Cancels a job that has not ended; its running tasks are to be stopped.
/// Returns true when the job changed.
bool RequestCancel(Job& job, const TransitionTime& time);

/// Marks every run of the job that holds room as being stopped.
void StopAllTasks(Job& job);

/// Keeps the newest checkpoint of a task; all members of a gang carry the same.
void StoreCheckpoint(Job& job,
                     const TaskKey& task,
                     const std::string& checkpoint);

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_JOB_TRANSITIONS_H_
