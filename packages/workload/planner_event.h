#ifndef PACKAGES_WORKLOAD_PLANNER_EVENT_H_
#define PACKAGES_WORKLOAD_PLANNER_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/workload/job.h"

namespace carobrill::workload {

/// Kind of a decision or observation of the planner that is logged.
enum class PlannerEventKind {
  kAssigned,
  kPreempted,
  kRunEnded,
  kRunLost,
  kStalled,
  kWorkerAvoided,
  kJobEnded,
  kAdvised,
};

constexpr auto NamesOf(PlannerEventKind) {
  return MakeNameTable<PlannerEventKind>({
      {PlannerEventKind::kAssigned, "task_assigned"},
      {PlannerEventKind::kPreempted, "task_preempted"},
      {PlannerEventKind::kRunEnded, "run_ended"},
      {PlannerEventKind::kRunLost, "run_lost"},
      {PlannerEventKind::kStalled, "task_stalled"},
      {PlannerEventKind::kWorkerAvoided, "worker_avoided"},
      {PlannerEventKind::kJobEnded, "job_ended"},
      {PlannerEventKind::kAdvised, "workers_advised"},
  });
}

/// One decision with the inputs that led to it.
struct PlannerEvent {
  PlannerEventKind kind = PlannerEventKind::kAssigned;
  TaskKey task;
  std::uint32_t run = 0;
  WorkerId worker;
  /// The outcome or the reason, for example the end of a run.
  std::string detail;
  /// Time that led to the decision, in ms: a wait, an age or a run time.
  std::int64_t age_ms = 0;
  /// Time left to the job's objective, below 0 when it is missed; for the end
  /// of a job only.
  std::optional<std::int64_t> slack_ms;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_PLANNER_EVENT_H_
