#include "packages/workload/crash_isolation.h"

#include <algorithm>

#include "packages/workload/job_transitions.h"

namespace carobrill::workload {
namespace {

/// Time in which a task that crashes its worker at the start does so and the
/// agent has noticed it. The platform counts a job as lost that waits for 3 s
/// beside free capacity, so other jobs are not kept away for longer.
constexpr std::int64_t kProbationMs = 2'000;

/// The platform counts a job as lost that waits for 3 s beside free capacity.
constexpr std::int64_t kMaxIsolationWaitMs = 2'000;

}  // namespace

bool IsOnProbation(const TaskState& task, Instant now) {
  return task.worker_crashes > 0 && now < task.ordered_at.After(kProbationMs);
}

// Each member of a gang is listed again and again, so those that have outlived
// their probation are not visited each time.
bool HasOutlivedProbation(StepState& step,
                          const TaskState& task,
                          bool gang,
                          Instant read_at) {
  const auto outlived = [read_at](const TaskState& run) {
    return run.listed_since != Instant::Never() &&
           read_at >= run.listed_since.After(kProbationMs);
  };
  if (!gang || !outlived(task)) {
    return outlived(task);
  }
  auto member = step.tasks.lower_bound(step.first_on_probation);
  while (member != step.tasks.end() && outlived(member->second)) {
    step.first_on_probation = member->first + 1;
    ++member;
  }
  return member == step.tasks.end();
}

std::uint32_t CountWorkerCrashes(const StepState& step,
                                 const PlacementUnit& unit) {
  std::uint32_t most = 0;
  for (const std::uint32_t index : unit.tasks) {
    const auto task = step.tasks.find(index);
    if (task != step.tasks.end()) {
      most = std::max(most, task->second.worker_crashes);
    }
  }
  return most;
}

bool IsLastAttempt(std::uint32_t worker_crashes) {
  return worker_crashes + 1 >= kMaxWorkerCrashes;
}

bool MustWaitForIdleWorker(const PlacementUnit& unit,
                           Instant runnable_since,
                           Instant now) {
  return IsLastAttempt(unit.worker_crashes) &&
         now < runnable_since.After(kMaxIsolationWaitMs);
}

}  // namespace carobrill::workload
