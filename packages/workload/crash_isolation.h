#ifndef PACKAGES_WORKLOAD_CRASH_ISOLATION_H_
#define PACKAGES_WORKLOAD_CRASH_ISOLATION_H_

#include <cstdint>

#include "packages/core/time.h"
#include "packages/workload/job.h"
#include "packages/workload/placement.h"

namespace carobrill::workload {

/// Keeps suspects apart: tasks under which a worker has crashed. Answers loads
/// in which a few tasks crash every worker that starts them, so that the tasks
/// beside them are neither stopped nor given up with them.

/// True when the latest run of the task is watched for a crash of its worker,
/// for a while after its start.
bool IsOnProbation(const TaskState& task, Instant now);

/// True when lists that were read up to `read_at` (boot clock) show that the
/// latest run of the task has worked for longer than its probation. The members
/// of a gang work only together.
bool HasOutlivedProbation(StepState& step,
                          const TaskState& task,
                          bool gang,
                          Instant read_at);

/// Returns the largest number of workers that have crashed under one task of
/// the unit.
std::uint32_t CountWorkerCrashes(const StepState& step,
                                 const PlacementUnit& unit);

/// True when a task under which this many workers have crashed is given up
/// after the next crash. During its probation, its last attempt shares no
/// worker with other jobs if possible, so that it is not given up for another
/// task. It preempts no work.
bool IsLastAttempt(std::uint32_t worker_crashes);

/// True when the unit has to wait for an idle worker rather than share one.
/// `runnable_since` (boot clock) is when it first lacked nothing but capacity.
bool MustWaitForIdleWorker(const PlacementUnit& unit,
                           Instant runnable_since,
                           Instant now);

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_CRASH_ISOLATION_H_
