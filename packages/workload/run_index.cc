#include "packages/workload/run_index.h"

#include <algorithm>
#include <utility>

namespace carobrill::workload {

void RunIndex::Update(Job& job, const TaskKey& key) {
  if (TaskState* task = job.Find(key)) {
    StepState& step = job.occurrences.at(key.occurrence).steps.at(key.step);
    this->UpdateTask(job, key, step, *task);
  }
}

void RunIndex::UpdateStep(Job& job, const TaskKey& key) {
  StepState& step = job.occurrences.at(key.occurrence).steps.at(key.step);
  TaskKey member = key;
  for (auto& [i, task] : step.tasks) {
    member.index = i;
    this->UpdateTask(job, member, step, task);
  }
}

void RunIndex::Update(Job& job) {
  for (auto& [k, occurrence] : job.occurrences) {
    for (auto& [s, step] : occurrence.steps) {
      this->UpdateStep(job, {job.submission.id, k, s, 0});
    }
  }
}

void RunIndex::UpdateTask(Job& job,
                          const TaskKey& key,
                          StepState& step,
                          TaskState& task) {
  if (task.phase == task.indexed_phase) {
    return;
  }
  const bool indexed = HoldsResources(task.indexed_phase);
  if (!indexed && task.HoldsResources()) {
    this->Insert(job, key, step, task);
  } else if (indexed && !task.HoldsResources()) {
    this->Erase(task);
  } else if (indexed) {
    this->changed_agents.insert(task.worker.agent);
  }
  task.indexed_phase = task.phase;
}

void RunIndex::Remove(Job& job) {
  for (auto& [k, occurrence] : job.occurrences) {
    for (auto& [s, step] : occurrence.steps) {
      for (auto& [i, task] : step.tasks) {
        if (HoldsResources(task.indexed_phase)) {
          this->Erase(task);
        }
        task.indexed_phase = TaskPhase::kWaiting;
      }
    }
  }
}

const RunIndex::Runs& RunIndex::RunsOf(const InstanceId& agent) const {
  static const Runs none;
  const auto runs = this->by_agent.find(agent);
  return runs == this->by_agent.end() ? none : runs->second;
}

std::set<InstanceId> RunIndex::TakeChangedAgents() {
  return std::exchange(this->changed_agents, {});
}

void RunIndex::Insert(Job& job,
                      const TaskKey& key,
                      StepState& step,
                      TaskState& task) {
  this->by_agent[task.worker.agent].push_back(
      {key, &job, &step, &job.submission.spec.steps[key.step], &task});
  this->changed_agents.insert(task.worker.agent);
}

void RunIndex::Erase(TaskState& task) {
  const auto runs = this->by_agent.find(task.worker.agent);
  std::erase_if(runs->second,
                [&](const ActiveRun& run) { return run.task == &task; });
  if (runs->second.empty()) {
    this->by_agent.erase(runs);
  }
  this->changed_agents.insert(task.worker.agent);
}

}  // namespace carobrill::workload
