#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <tuple>

#include "tests/workload/planner_fixture.h"

// Checks invariants that clients and workers rely on against random histories
// of submissions, run ends, worker failures and cancellations.

namespace carobrill::workload {
namespace {

/// One event: its kind, and two numbers that select its details.
using Event = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

constexpr std::uint32_t kWorkers = 5;

class RandomHistory {
 public:
  RandomHistory() : fixture(kWorkers) {
    this->fixture.planner.SetGuarantees({{AccountId("a"), 8}});
  }

  void Apply(const Event& event) {
    const auto [kind, a, b] = event;
    this->fixture.now.ms += 50 + a;
    switch (kind % 10) {
      case 0:
      case 1:
      case 2:
        this->Submit(a, b);
        break;
      case 3:
        if (this->jobs > 0) {
          const JobId id("j" + std::to_string(a % this->jobs));
          this->fixture.planner.Cancel(id, this->fixture.Time());
        }
        break;
      case 4:
        this->fixture.MarkUnreachable(a % kWorkers);
        this->unreachable.insert(a % kWorkers);
        break;
      case 5:
        this->unreachable.erase(a % kWorkers);
        this->start_times[a % kWorkers] += b % 2;
        break;
      default:
        this->EndOneRun(a, b);
        break;
    }
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      if (!this->unreachable.contains(i)) {
        this->fixture.ReportWorker(i, 1 + this->start_times[i]);
      }
    }
    this->PlanAndCheck();
  }

  std::string violation;

 private:
  void Submit(std::uint8_t a, std::uint8_t b) {
    StepSpec step = MakeStep(
        1 + a % 4, {1'000 * (1 + b % 13), 10'000 * (1 + a % 7), 1 << (b % 4)});
    step.gang = a % 3 == 0;
    step.one_rack = a % 5 == 0;
    step.max_per_worker = b % 4 == 0 ? 2 : 0;
    step.checkpointable = b % 2 == 0;
    Submission job = MakeJob("j" + std::to_string(this->jobs++), step);
    job.priority = b % 3;
    job.accepted_at = this->fixture.now;
    if (a % 4 == 1) {
      StepSpec second = step;
      second.depends_on = {0};
      job.spec.steps.push_back(second);
    }
    this->fixture.planner.Submit(job);
  }

  void EndOneRun(std::uint8_t a, std::uint8_t b) {
    const auto active = this->fixture.ActiveTasks();
    if (active.empty()) {
      return;
    }
    auto chosen = active.begin();
    std::advance(chosen, a % active.size());
    const bool stopping = chosen->second.phase == TaskPhase::kStopping;
    const RunEnd ends[] = {RunEnd::kDone, RunEnd::kFailed, RunEnd::kDone,
                           RunEnd::kRefused};
    this->fixture.EndRun(chosen->first,
                         stopping ? RunEnd::kStopped : ends[b % 4]);
  }

  /// Runs a planning pass, then checks each new run and the use of capacity.
  void PlanAndCheck() {
    const auto before = this->fixture.ActiveTasks();
    const auto jobs_before = this->fixture.planner.Jobs();
    this->fixture.Plan();
    std::map<WorkerIncarnation, Resources> used;
    for (const auto& [key, task] : this->fixture.ActiveTasks()) {
      const Job& job = this->fixture.planner.Jobs().at(key.job);
      used[task.worker] += job.SpecOf(key).PlacementDemand();
      const auto earlier = before.find(key);
      const bool started =
          earlier == before.end() || earlier->second.run != task.run;
      if (started) {
        this->CheckStart(key, task, job, jobs_before);
      }
    }
    for (const auto& [incarnation, resources] : used) {
      if (!resources.FitsIn({32'000, 128'000, 8})) {
        this->violation = "capacity of " + incarnation.id.value + " exceeded";
      }
    }
    this->CheckOrders();
  }

  /// Checks that the orders received by difference are those of all tasks that
  /// hold resources on the present incarnation of their worker.
  void CheckOrders() {
    JobPlanner& planner = this->fixture.planner;
    const std::uint64_t committed = planner.NextCommit();
    for (auto& [agent, orders] : planner.TakeChangedOrders(committed)) {
      this->received[agent] = std::move(orders);
    }
    std::set<std::tuple<TaskKey, std::uint32_t, bool>> expected;
    for (const auto& [key, task] : this->fixture.ActiveTasks()) {
      const auto worker = planner.Workers().find(task.worker.agent);
      if (worker->second.description.incarnation == task.worker) {
        expected.emplace(key, task.run, task.phase == TaskPhase::kStopping);
      }
    }
    std::set<std::tuple<TaskKey, std::uint32_t, bool>> found;
    for (const auto& [agent, orders] : this->received) {
      for (const TaskOrder& order : orders) {
        found.emplace(order.task, order.run, order.stop);
      }
    }
    if (found != expected) {
      this->violation = "orders by difference are not the complete orders";
    }
  }

  void CheckStart(const TaskKey& key,
                  const TaskState& task,
                  const Job& job,
                  const std::map<JobId, Job>& jobs_before) {
    std::uint32_t& highest = this->runs[key];
    if (task.run <= highest) {
      this->violation = "a run number was reused";
    }
    highest = task.run;
    if (IsFinal(jobs_before.at(key.job).phase)) {
      this->violation = "a task of a job that has ended was started";
    }
    if (task.failures >= job.submission.max_attempts) {
      this->violation = "a task was started after its last allowed attempt";
    }
    if (!job.IsStepReady(key.occurrence, key.step)) {
      this->violation =
          "a task was started before the steps it depends on had completed";
    }
    const StepState& step = *job.FindStep(key.occurrence, key.step);
    if (job.SpecOf(key).gang && step.tasks.size() < job.SpecOf(key).tasks) {
      this->violation = "a gang was started partially";
    }
    std::uint32_t tasks_on_worker = 0;
    for (const auto& [index, member] : step.tasks) {
      tasks_on_worker +=
          member.HoldsResources() && member.worker == task.worker ? 1 : 0;
      if (job.SpecOf(key).gang && member.run != task.run) {
        this->violation = "a gang was started partially";
      }
    }
    const std::uint32_t limit = job.SpecOf(key).max_per_worker;
    if (limit > 0 && tasks_on_worker > limit) {
      this->violation =
          "more than max_per_worker tasks of a step on one worker";
    }
  }

  PlannerFixture fixture;
  std::uint32_t jobs = 0;
  std::set<std::uint32_t> unreachable;
  std::map<std::uint32_t, std::int64_t> start_times;
  std::map<TaskKey, std::uint32_t> runs;
  std::map<InstanceId, std::vector<TaskOrder>> received;
};

TEST_CASE("holds.job_promises: random histories violate no start invariant") {
  // Guards against starts that exceed the capacity of a worker, the attempts of
  // a task or the limit of tasks per worker, that violate step dependencies,
  // that start only part of a gang, or that belong to a job that has ended.
  CHECK(rc::check("start invariants", [] {
    const auto events = *rc::gen::scale(
        2.0,
        rc::gen::container<std::vector<Event>>(rc::gen::arbitrary<Event>()));
    RandomHistory history;
    for (const Event& event : events) {
      history.Apply(event);
      if (!history.violation.empty()) {
        RC_FAIL(history.violation);
      }
    }
  }));
}

}  // namespace
}  // namespace carobrill::workload
