#ifndef PACKAGES_WORKLOAD_RUN_INDEX_H_
#define PACKAGES_WORKLOAD_RUN_INDEX_H_

#include <map>
#include <set>
#include <vector>

#include "packages/core/ids.h"
#include "packages/workload/job.h"

namespace carobrill::workload {

/// A task that holds resources on a worker. The pointers stay valid until the
/// job is removed from the index.
struct ActiveRun {
  TaskKey key;
  const Job* job = nullptr;
  StepState* step = nullptr;
  const StepSpec* spec = nullptr;
  TaskState* task = nullptr;
};

/// The tasks that hold resources, by the agent of their worker. Kept up to date
/// by its owner, so that a planning pass does not search all tasks of all jobs.
class RunIndex {
 public:
  using Runs = std::vector<ActiveRun>;

  /// @{
  /// Brings the index in line with a task, with the tasks of its step, or with
  /// all tasks of the job. One must be called after each change of a task's
  /// phase or worker.
  void Update(Job& job, const TaskKey& key);
  void UpdateStep(Job& job, const TaskKey& key);
  void Update(Job& job);
  /// @}

  /// Removes all tasks of the job.
  void Remove(Job& job);

  const std::map<InstanceId, Runs>& ByAgent() const { return this->by_agent; }

  /// Returns the runs on the agent's worker.
  const Runs& RunsOf(const InstanceId& agent) const;

  /// Adds an agent to those that TakeChangedAgents() returns.
  void MarkChanged(const InstanceId& agent) {
    this->changed_agents.insert(agent);
  }

  /// Returns the agents whose runs were added, removed or changed their phase
  /// since the last call.
  std::set<InstanceId> TakeChangedAgents();

 private:
  void UpdateTask(Job& job,
                  const TaskKey& key,
                  StepState& step,
                  TaskState& task);
  void Insert(Job& job, const TaskKey& key, StepState& step, TaskState& task);
  void Erase(TaskState& task);

  std::map<InstanceId, Runs> by_agent;
  std::set<InstanceId> changed_agents;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_RUN_INDEX_H_
