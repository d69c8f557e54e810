#ifndef TESTS_WORKLOAD_PLANNER_FIXTURE_H_
#define TESTS_WORKLOAD_PLANNER_FIXTURE_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/workload/job_planner.h"

namespace carobrill::workload {

/// Returns a step of `tasks` identical tasks, each estimated to run 2 s.
StepSpec MakeStep(std::uint32_t tasks, Resources demand);

/// Returns a job of priority 1 with one step, accepted at time 0.
Submission MakeJob(const std::string& id, const StepSpec& step);

/// A planner with workers of 32 cores, 128,000 MB and 8 accelerators, whose
/// runs end only when the test ends them. Every commit is durable immediately.
class PlannerFixture {
 public:
  explicit PlannerFixture(std::uint32_t workers);

  TransitionTime Time() const { return {this->now, this->now}; }

  /// Reports the worker as ready, in the incarnation that started at `born_ms`.
  /// Returns the result of JobPlanner::UpdateWorker().
  bool ReportWorker(std::uint32_t worker, std::int64_t born_ms = 1);

  /// Reports the worker as ready in a new incarnation, after the earlier one
  /// has crashed.
  void ReportCrash(std::uint32_t worker, std::int64_t born_ms);

  /// Changes the capacity in later reports of the worker, and reports it.
  void ChangeCapacity(std::uint32_t worker, const Resources& capacity);

  /// Reports the worker as unreachable. Its lease expires 6 s after its last
  /// report.
  void MarkUnreachable(std::uint32_t worker);

  /// Reports that the worker's agent has restarted and knows no worker. The
  /// lease expires 6 s after the worker's last report.
  void ReportWithoutWorker(std::uint32_t worker);

  /// Runs a planning pass, then reports every ordered run as running.
  void Plan();

  /// Returns the tasks that hold resources.
  std::map<TaskKey, TaskState> ActiveTasks() const;

  /// Reports the end of the latest run of a task, if it holds resources.
  void EndRun(const TaskKey& task, RunEnd end);

  /// Name of a worker, used as the id of both the worker and its agent.
  static std::string WorkerName(std::uint32_t worker);

  JobPlanner planner;
  Instant now{1'000};

 private:
  std::uint32_t workers;
  std::map<std::uint32_t, std::int64_t> start_times;
  std::map<std::uint32_t, WorkerIncarnation> last_crashed;
  std::map<std::uint32_t, Resources> capacities;
};

}  // namespace carobrill::workload

#endif  // TESTS_WORKLOAD_PLANNER_FIXTURE_H_
