#ifndef PACKAGES_WORKLOAD_PLANNER_EVENT_H_
#define PACKAGES_WORKLOAD_PLANNER_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/workload/job.h"

namespace carobrill::workload {

/// Kind of a logged decision or observation of the planner.
enum class PlannerEventKind {
  kAssigned,
  kPreempted,
  kRunEnded,
  kRunLost,
  kRunFollowed,
  kStalled,
  kWithdrawn,
  kWorkerAvoided,
  kJobEnded,
  kAdvised,
  kTaskGivenUp,
  kTaskCleared,
  kWorkerGivenUp,
};

constexpr auto NamesOf(PlannerEventKind) {
  return MakeNameTable<PlannerEventKind>({
      {PlannerEventKind::kAssigned, "task_assigned"},
      {PlannerEventKind::kPreempted, "task_preempted"},
      {PlannerEventKind::kRunEnded, "run_ended"},
      {PlannerEventKind::kRunLost, "run_lost"},
      {PlannerEventKind::kRunFollowed, "run_followed"},
      {PlannerEventKind::kStalled, "task_stalled"},
      {PlannerEventKind::kWithdrawn, "start_withdrawn"},
      {PlannerEventKind::kWorkerAvoided, "worker_avoided"},
      {PlannerEventKind::kJobEnded, "job_ended"},
      {PlannerEventKind::kAdvised, "workers_advised"},
      {PlannerEventKind::kTaskGivenUp, "task_given_up"},
      {PlannerEventKind::kTaskCleared, "task_cleared"},
      {PlannerEventKind::kWorkerGivenUp, "worker_given_up"},
  });
}

/// One decision or observation with the inputs that led to it.
struct PlannerEvent {
  PlannerEventKind kind = PlannerEventKind::kAssigned;
  TaskKey task;
  std::uint32_t run = 0;
  WorkerId worker;
  /// The outcome or the reason, for example how a run ended.
  std::string detail;
  /// Duration that led to the decision, in ms: a wait, an age or a run time.
  std::int64_t age_ms = 0;
  /// Time left until the deadline of the objective, below 0 when it was
  /// missed; set for the end of a job only.
  std::optional<std::int64_t> slack_ms;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_PLANNER_EVENT_H_
