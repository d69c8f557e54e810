#ifndef TESTS_WORKLOAD_PLANNER_FIXTURE_H_
#define TESTS_WORKLOAD_PLANNER_FIXTURE_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/workload/job_planner.h"

namespace carobrill::workload {

/// A step of `tasks` equal tasks.
StepSpec MakeStep(std::uint32_t tasks, Resources demand);

/// A job of one step that is accepted at time 0.
Submission MakeJob(const std::string& id, const StepSpec& step);

/// A planner with workers of 32 cores, 128,000 MB and 8 accelerators, whose
/// runs the test ends by hand. All commits are durable at once.
class PlannerFixture {
 public:
  explicit PlannerFixture(std::uint32_t workers);

  TransitionTime Time() const { return {this->now, this->now}; }

  /// Lets the worker answer, alive under `born_ms`; true when that is news.
  bool ReportWorker(std::uint32_t worker, std::int64_t born_ms = 1);

  /// Lets the worker fall silent; its lease ends 6 s later.
  void MarkUnreachable(std::uint32_t worker);

  /// Plans, then shows every ordered run as running.
  void Plan();

  /// Runs that hold room, by task.
  std::map<TaskKey, TaskState> ActiveTasks() const;

  /// Ends the newest run of a task.
  void EndRun(const TaskKey& task, RunEnd end);

  /// The worker's name, as used by agents and lives alike.
  static std::string WorkerName(std::uint32_t worker);

  JobPlanner planner;
  Instant now{1'000};

 private:
  std::uint32_t workers;
  std::map<std::uint32_t, std::int64_t> start_times;
};

}  // namespace carobrill::workload

#endif  // TESTS_WORKLOAD_PLANNER_FIXTURE_H_
