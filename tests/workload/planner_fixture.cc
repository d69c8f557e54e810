#include "tests/workload/planner_fixture.h"

namespace carobrill::workload {
namespace {

constexpr std::int64_t kLeaseMs = 6'000;
constexpr std::uint32_t kWorkersPerRack = 2;

}  // namespace

StepSpec MakeStep(std::uint32_t tasks, Resources demand) {
  StepSpec step;
  step.tasks = tasks;
  step.demand = demand;
  step.estimate_ms = 2'000;
  return step;
}

Submission MakeJob(const std::string& id, const StepSpec& step) {
  Submission submission;
  submission.id = JobId(id);
  submission.account = AccountId("a");
  submission.queue = "q";
  submission.service = ServiceId("s");
  submission.priority = 1;
  submission.max_attempts = 2;
  submission.stretch_percent = 300;
  submission.objective_slack_ms = 1'000;
  submission.spec.steps = {step};
  submission.spec.payload = "work";
  return submission;
}

PlannerFixture::PlannerFixture(std::uint32_t workers)
    : planner(JobPlannerSettings{}), workers(workers) {
  for (std::uint32_t i = 0; i < workers; ++i) {
    this->ReportWorker(i);
  }
}

std::string PlannerFixture::WorkerName(std::uint32_t worker) {
  return "w" + std::to_string(worker);
}

bool PlannerFixture::ReportWorker(std::uint32_t worker, std::int64_t born_ms) {
  this->start_times[worker] = born_ms;
  const InstanceId agent(WorkerName(worker));
  WorkerDescription description;
  description.incarnation = {agent, WorkerId(WorkerName(worker)), born_ms};
  description.availability = WorkerAvailability::kReady;
  description.service = ServiceId("s");
  description.rack = RackId("r" + std::to_string(worker / kWorkersPerRack));
  description.labels = {"kind", description.rack.value};
  description.capacity =
      this->capacities.try_emplace(worker, Resources{32'000, 128'000, 8})
          .first->second;
  description.last_crashed = this->last_crashed[worker];
  return this->planner.UpdateWorker(agent, description,
                                    this->now.After(kLeaseMs), this->Time());
}

void PlannerFixture::ReportCrash(std::uint32_t worker, std::int64_t born_ms) {
  const std::string name = WorkerName(worker);
  this->last_crashed[worker] = {InstanceId(name), WorkerId(name),
                                this->start_times[worker]};
  this->ReportWorker(worker, born_ms);
}

void PlannerFixture::ChangeCapacity(std::uint32_t worker,
                                    const Resources& capacity) {
  this->capacities[worker] = capacity;
  this->ReportWorker(worker, this->start_times[worker]);
}

void PlannerFixture::MarkUnreachable(std::uint32_t worker) {
  this->planner.MarkWorkerUnreachable(InstanceId(WorkerName(worker)));
}

void PlannerFixture::ReportWithoutWorker(std::uint32_t worker) {
  const InstanceId agent(WorkerName(worker));
  WorkerDescription description;
  description.incarnation.agent = agent;
  this->planner.UpdateWorker(agent, description,
                             this->planner.Workers().at(agent).lease_expires_at,
                             this->Time());
}

void PlannerFixture::Plan() {
  this->planner.Plan(this->Time());
  const std::uint64_t commit = this->planner.NextCommit();
  this->planner.TakeChanges();
  for (const auto& [agent, orders] : this->planner.Orders(commit)) {
    std::vector<RunningTask> running;
    for (const TaskOrder& order : orders) {
      running.push_back({order.task, order.run, 1, {}, 0});
    }
    this->planner.UpdateRunning(agent, running, this->now);
  }
}

std::map<TaskKey, TaskState> PlannerFixture::ActiveTasks() const {
  std::map<TaskKey, TaskState> active;
  for (const auto& [id, job] : this->planner.Jobs()) {
    for (const auto& [k, occurrence] : job.occurrences) {
      for (const auto& [s, step] : occurrence.steps) {
        for (const auto& [i, task] : step.tasks) {
          if (task.HoldsResources()) {
            active.emplace(TaskKey{id, k, s, i}, task);
          }
        }
      }
    }
  }
  return active;
}

void PlannerFixture::EndRun(const TaskKey& task, RunEnd end) {
  const auto active = this->ActiveTasks();
  const auto found = active.find(task);
  if (found == active.end()) {
    return;
  }
  this->planner.ApplyRunReport(found->second.worker.agent,
                               {task, found->second.run, end, {}},
                               this->Time());
}

}  // namespace carobrill::workload
