#ifndef PACKAGES_WORKLOAD_BENCH_PLANNER_COST_H_
#define PACKAGES_WORKLOAD_BENCH_PLANNER_COST_H_

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "packages/workload/job_planner.h"

namespace carobrill::workload::bench {

/// Costs of JobPlanner at one number of workers and one load. Times in ms.
struct PlannerCost {
  std::uint32_t workers = 0;
  /// Accelerators requested by all jobs, as a share of all accelerators.
  double demand = 0;
  std::uint32_t tasks = 0;
  double first_pass_ms = 0;
  double mean_pass_ms = 0;
  /// 99th percentile.
  double slow_pass_ms = 0;
  double orders_ms = 0;
  double load_ms = 0;
  double memory_mb = 0;
};

/// Fills a planner with jobs of three priorities, then measures its passes
/// while before each one a gang is submitted and a run ends.
class PlannerCostBenchmark {
 public:
  PlannerCostBenchmark(std::uint32_t workers, double demand)
      : planner(JobPlannerSettings{}), random(7) {
    this->result.workers = workers;
    this->result.demand = demand;
  }

  PlannerCost Run() {
    const double memory_before = MemoryMb();
    this->AddWorkers(this->planner);
    this->FillQueues();
    this->result.first_pass_ms = this->PlanOnce();
    std::vector<double> passes;
    double orders_ms = 0;
    for (int i = 0; i < kPasses; ++i) {
      this->SubmitGang();
      this->EndOldestRun();
      passes.push_back(this->PlanOnce());
      orders_ms += this->last_orders_ms;
      this->now = this->now.After(kPassIntervalMs);
    }
    std::ranges::sort(passes);
    for (const double pass : passes) {
      this->result.mean_pass_ms += pass / kPasses;
    }
    this->result.slow_pass_ms =
        passes[static_cast<std::size_t>(kPasses * 99 / 100)];
    this->result.orders_ms = orders_ms / kPasses;
    this->result.memory_mb = MemoryMb() - memory_before;
    this->MeasureLoad();
    return this->result;
  }

 private:
  using Clock = std::chrono::steady_clock;

  static constexpr int kPasses = 100;
  static constexpr std::int64_t kPassIntervalMs = 20;
  static constexpr std::int64_t kLeaseMs = 600'000;
  static constexpr std::uint32_t kAccelerators = 8;

  static double MemoryMb() {
    return static_cast<double>(mallinfo2().uordblks) / 1e6;
  }

  template <typename Function>
  static double MillisOf(Function&& function) {
    const auto start = Clock::now();
    function();
    return std::chrono::duration<double, std::milli>(Clock::now() - start)
        .count();
  }

  TransitionTime Time() const { return {this->now, this->now}; }

  static std::string WorkerName(std::uint32_t worker) {
    return "side-zone-a-" + std::to_string(10'000 + worker);
  }

  void AddWorkers(JobPlanner& target) const {
    for (std::uint32_t i = 0; i < this->result.workers; ++i) {
      const InstanceId agent(WorkerName(i));
      WorkerDescription description;
      description.incarnation = {agent, WorkerId(WorkerName(i)), 1};
      description.availability = WorkerAvailability::kReady;
      description.service = ServiceId("s");
      description.rack = RackId("rack-" + std::to_string(i / 8));
      description.labels = {"kind", description.rack.value};
      description.capacity = {32'000, 131'072, kAccelerators};
      target.UpdateWorker(agent, description, this->now.After(kLeaseMs),
                          this->Time());
    }
  }

  Submission MakeJob(std::uint32_t priority, const StepSpec& step) {
    Submission submission;
    submission.id = JobId(std::to_string(1'000'000'000 + this->random()));
    submission.account =
        AccountId("team-" + std::to_string(this->random() % 24));
    submission.queue = "q" + std::to_string(priority);
    submission.service = ServiceId("s");
    submission.priority = priority;
    submission.max_attempts = 4;
    submission.stretch_percent = priority == 0 ? 150 : 300;
    submission.objective_slack_ms = 1'000;
    submission.accepted_at = this->now;
    submission.spec.steps = {step};
    submission.spec.payload = "work";
    return submission;
  }

  static StepSpec MakeStep(std::uint32_t tasks,
                           Resources demand,
                           bool gang,
                           std::int64_t estimate_ms) {
    StepSpec step;
    step.tasks = tasks;
    step.demand = demand;
    step.gang = gang;
    step.estimate_ms = estimate_ms;
    return step;
  }

  /// Returns the number of accelerators that the job requests.
  std::uint32_t Submit(const Submission& submission) {
    const StepSpec& step = submission.spec.steps.front();
    this->planner.Submit(submission);
    return step.tasks * static_cast<std::uint32_t>(step.demand.accelerators);
  }

  std::uint32_t SubmitGang() {
    return this->Submit(
        this->MakeJob(0, MakeStep(8, {3'700, 20'000, 2}, true, 2'100)));
  }

  void FillQueues() {
    const double wanted =
        this->result.demand * this->result.workers * kAccelerators;
    double requested = 0;
    while (requested < wanted) {
      requested += this->SubmitGang();
      requested += this->Submit(
          this->MakeJob(1, MakeStep(25, {13'000, 53'000, 2}, true, 7'200)));
      requested += this->Submit(
          this->MakeJob(2, MakeStep(78, {2'800, 8'200, 1}, false, 5'200)));
    }
  }

  /// Runs one pass and reports all started runs as running. Returns the time
  /// that the pass took.
  double PlanOnce() {
    const double pass_ms = MillisOf([&] { this->planner.Plan(this->Time()); });
    const std::uint64_t commit = this->planner.NextCommit();
    this->planner.TakeChanges();
    this->planner.TakeEvents();
    std::map<InstanceId, std::vector<TaskOrder>> orders;
    this->last_orders_ms =
        MillisOf([&] { orders = this->planner.Orders(commit); });
    this->result.tasks = 0;
    for (const auto& [agent, list] : orders) {
      std::vector<RunningTask> running;
      for (const TaskOrder& order : list) {
        ++this->result.tasks;
        if (order.stop) {
          this->planner.ApplyRunReport(
              agent, {order.task, order.run, RunEnd::kStopped, {}},
              this->Time());
        } else {
          running.push_back({order.task, order.run, 1, {}, 0});
        }
        if (!order.started) {
          this->started.push_back({agent, order.task, order.run});
        }
      }
      this->planner.UpdateRunning(agent, running, this->now);
    }
    return pass_ms;
  }

  void EndOldestRun() {
    if (this->started.empty()) {
      return;
    }
    const StartedRun run = this->started.front();
    this->started.pop_front();
    this->planner.ApplyRunReport(
        run.agent, {run.task, run.run, RunEnd::kDone, {}}, this->Time());
  }

  /// Loads all jobs into a new planner and runs its first pass, as after a
  /// takeover.
  void MeasureLoad() {
    JobPlanner successor(JobPlannerSettings{});
    this->AddWorkers(successor);
    this->result.load_ms = MillisOf([&] {
      for (const auto& [id, job] : this->planner.Jobs()) {
        successor.Load(job, {this->now, this->now});
      }
      successor.Plan(this->Time());
    });
  }

  struct StartedRun {
    InstanceId agent;
    TaskKey task;
    std::uint32_t run = 0;
  };

  JobPlanner planner;
  std::mt19937_64 random;
  PlannerCost result;
  Instant now{1'000'000};
  double last_orders_ms = 0;
  std::deque<StartedRun> started;
};

/// Runs all sizes and loads, prints a table and returns its figures.
inline nlohmann::json MeasurePlannerCost() {
  nlohmann::json json;
  std::printf("%8s %7s %7s %14s %13s %12s %10s %8s %10s\n", "workers", "demand",
              "tasks", "first pass ms", "mean pass ms", "p99 pass ms",
              "orders ms", "load ms", "memory MB");
  for (const std::uint32_t workers : {30U, 100U, 240U, 300U, 900U}) {
    for (const double demand : {0.8, 1.5}) {
      const PlannerCost cost = PlannerCostBenchmark(workers, demand).Run();
      std::printf("%8u %7.1f %7u %14.2f %13.2f %12.2f %10.2f %8.2f %10.2f\n",
                  cost.workers, cost.demand, cost.tasks, cost.first_pass_ms,
                  cost.mean_pass_ms, cost.slow_pass_ms, cost.orders_ms,
                  cost.load_ms, cost.memory_mb);
      std::fflush(stdout);
      json.push_back({{"workers", cost.workers},
                      {"demand", cost.demand},
                      {"tasks", cost.tasks},
                      {"first_pass_ms", cost.first_pass_ms},
                      {"mean_pass_ms", cost.mean_pass_ms},
                      {"p99_pass_ms", cost.slow_pass_ms},
                      {"orders_ms", cost.orders_ms},
                      {"load_ms", cost.load_ms},
                      {"memory_mb", cost.memory_mb}});
    }
  }
  return json;
}

}  // namespace carobrill::workload::bench

#endif  // PACKAGES_WORKLOAD_BENCH_PLANNER_COST_H_
