#include "tests/workload/planner_simulation.h"

#include <utility>
#include <vector>

namespace carobrill::workload {
namespace {

constexpr std::int64_t kStepMs = 20;
constexpr std::int64_t kStopMs = 200;
constexpr std::int64_t kLeaseMs = 600'000;
constexpr double kMsPerSecond = 1'000;

}  // namespace

PlannerSimulation::PlannerSimulation(std::uint32_t workers,
                                     std::uint32_t workers_per_rack)
    : workers(workers),
      workers_per_rack(workers_per_rack),
      planner(JobPlannerSettings{}) {
  this->ReportWorkers();
}

void PlannerSimulation::ReportWorkers() {
  for (std::uint32_t i = 0; i < this->workers; ++i) {
    const InstanceId agent("agent-" + std::to_string(100 + i));
    WorkerDescription description;
    description.incarnation = {agent, WorkerId(agent.value), 1};
    description.availability = WorkerAvailability::kReady;
    description.service = ServiceId("s");
    description.rack = RackId("r" + std::to_string(i / this->workers_per_rack));
    description.capacity = {32'000, 131'072, 8};
    this->planner.UpdateWorker(agent, description, this->now.After(kLeaseMs),
                               this->Time());
  }
}

void PlannerSimulation::Submit(std::uint32_t priority, const StepSpec& step) {
  Submission submission;
  submission.id = JobId("job-" + std::to_string(1'000 + this->jobs.size()));
  submission.account = AccountId("a");
  submission.service = ServiceId("s");
  submission.priority = priority;
  submission.max_attempts = 4;
  submission.stretch_percent = priority == 0 ? 150 : 300;
  submission.objective_slack_ms = priority == 0 ? 250 : 1'000;
  submission.accepted_at = this->now;
  submission.spec.steps = {step};
  this->jobs[submission.id].priority = priority;
  this->planner.Submit(std::move(submission));
}

void PlannerSimulation::Advance(std::int64_t duration_ms) {
  const Instant end = this->now.After(duration_ms);
  while (this->now < end) {
    this->now = this->now.After(kStepMs);
    this->PlayStep();
  }
}

void PlannerSimulation::PlayStep() {
  this->planner.Plan(this->Time());
  const std::uint64_t commit = this->planner.NextCommit();
  this->planner.TakeChanges();
  this->planner.TakeEvents();
  for (const auto& [agent, orders] : this->planner.Orders(commit)) {
    for (const TaskOrder& order : orders) {
      this->PlayOrder(agent, order);
    }
  }
  this->ObserveJobs();
}

void PlannerSimulation::PlayOrder(const InstanceId& agent,
                                  const TaskOrder& order) {
  const RunKey key{order.task, order.run};
  const Instant began = this->began_at.emplace(key, this->now).first->second;
  const StepSpec& spec =
      this->planner.Jobs().at(order.task.job).SpecOf(order.task);
  const std::int64_t elapsed_ms = this->now.ms - began.ms;
  if (order.stop) {
    const Instant ordered =
        this->stop_ordered_at.emplace(key, this->now).first->second;
    if (this->now >= ordered.After(kStopMs)) {
      this->lost_core_s += spec.demand.WeightedCores() *
                           static_cast<double>(ordered.ms - began.ms) /
                           kMsPerSecond;
      this->EndRun(agent, order, RunEnd::kStopped);
    }
    return;
  }
  if (elapsed_ms >= spec.estimate_ms) {
    this->done_core_s += spec.demand.WeightedCores() *
                         static_cast<double>(elapsed_ms) / kMsPerSecond;
    this->EndRun(agent, order, RunEnd::kDone);
    return;
  }
  const auto percent =
      static_cast<std::uint32_t>(elapsed_ms * 100 / spec.estimate_ms);
  this->planner.UpdateRunning(agent, {{order.task, order.run, percent, {}, 0}},
                              this->now);
}

void PlannerSimulation::EndRun(const InstanceId& agent,
                               const TaskOrder& order,
                               RunEnd end) {
  this->planner.ApplyRunReport(agent, {order.task, order.run, end, {}},
                               this->Time());
}

void PlannerSimulation::ObserveJobs() {
  for (auto& [id, observed] : this->jobs) {
    const Job& job = this->planner.Jobs().at(id);
    const std::int64_t age_ms = this->now.ms - job.submission.accepted_at.ms;
    if (observed.started_after_ms < 0 && job.AnyTaskHoldsResources()) {
      observed.started_after_ms = age_ms;
    }
    if (observed.completed_after_ms < 0 && job.phase == JobPhase::kCompleted) {
      observed.completed_after_ms = age_ms;
    }
  }
}

}  // namespace carobrill::workload
