#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "packages/workload/failed_placements.h"
#include "packages/workload/preemption.h"

namespace carobrill::workload {
namespace {

constexpr Resources kCapacity{32'000, 128'000, 8};

/// Workers with random runs, and the jobs that own the runs.
class RandomCluster {
 public:
  /// Each run is a worker, a number of accelerators and a priority.
  using Run = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

  RandomCluster(std::uint32_t workers, const std::vector<Run>& wanted) {
    for (std::uint32_t i = 0; i < workers; ++i) {
      Worker& worker = this->workers[AgentName(i)];
      worker.agent = AgentName(i);
      worker.description.incarnation = {AgentName(i), WorkerId("w"), 1};
      worker.description.availability = WorkerAvailability::kReady;
      worker.description.service = ServiceId("s");
      worker.description.rack = RackId("r" + std::to_string(i / 2));
      worker.description.capacity = kCapacity;
      worker.reachable = true;
    }
    std::vector<std::int64_t> left(workers, kCapacity.accelerators);
    for (const auto& [worker, accelerators, priority] : wanted) {
      const std::uint32_t index = worker % workers;
      const std::int64_t demand = 1 << (accelerators % 4);
      if (left[index] >= demand) {
        left[index] -= demand;
        this->AddRun(index, demand, 1 + priority % 2, priority % 4 == 0);
      }
    }
  }

  CapacityMap Map() const {
    return CapacityMap(this->workers, this->runs, Instant{5'000});
  }

  VictimPool Victims(const CapacityMap& map) const {
    return VictimPool(map, {}, Instant{5'000});
  }

  static PlacementUnit MakeUnit(Submission& submission,
                                std::uint32_t tasks,
                                std::int64_t accelerators,
                                bool one_rack) {
    StepSpec step;
    step.tasks = tasks;
    step.gang = true;
    step.demand = {1'000, 1'000, accelerators};
    step.one_rack = one_rack;
    submission.service = ServiceId("s");
    submission.spec.steps = {step};
    PlacementUnit unit;
    unit.submission = &submission;
    for (std::uint32_t i = 0; i < tasks; ++i) {
      unit.tasks.push_back(i);
    }
    return unit;
  }

 private:
  static InstanceId AgentName(std::uint32_t index) {
    return InstanceId("a" + std::to_string(index));
  }

  void AddRun(std::uint32_t worker,
              std::int64_t accelerators,
              std::uint32_t priority,
              bool stopping) {
    Submission submission;
    submission.id = JobId("j" + std::to_string(this->jobs.size()));
    submission.priority = priority;
    submission.service = ServiceId("s");
    StepSpec step;
    step.demand = {1'000, 1'000, accelerators};
    submission.spec.steps = {step};
    Job& job =
        this->jobs.emplace(submission.id, Job::Of(submission)).first->second;
    TaskState& task = job.occurrences[0].steps[0].tasks[0];
    task.phase = stopping ? TaskPhase::kStopping : TaskPhase::kRunning;
    task.worker = {AgentName(worker), WorkerId("w"), 1};
    task.ordered_at = Instant{1'000};
    this->runs.Update(job);
  }

  std::map<InstanceId, Worker> workers;
  std::map<JobId, Job> jobs;
  RunIndex runs;
};

TEST_CASE("a demand that is ruled out does not fit") {
  // Guards against jobs that wait although there is capacity, because a search
  // for another job failed earlier in the same planning pass.
  CHECK(rc::check("failed placements", [] {
    const RandomCluster cluster(
        6, *rc::gen::arbitrary<std::vector<RandomCluster::Run>>());
    CapacityMap map = cluster.Map();
    FailedPlacements failed;
    for (int i = 0; i < 20; ++i) {
      Submission submission;
      const PlacementUnit unit = RandomCluster::MakeUnit(
          submission, *rc::gen::inRange(1U, 8U), *rc::gen::inRange(0, 9),
          *rc::gen::arbitrary<bool>());
      const PlacementConstraints constraints{
          *rc::gen::element(CapacityKind::kFree, CapacityKind::kFutureFree),
          *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()};
      const auto workers = SelectWorkers(unit, map, constraints);
      if (failed.Contains(unit, constraints)) {
        RC_ASSERT_FALSE(workers.has_value());
      }
      if (!workers.has_value()) {
        failed.Add(unit, constraints);
        continue;
      }
      for (const std::size_t worker : *workers) {
        map.Reserve(worker, unit.Spec().PlacementDemand());
      }
    }
  }));
}

TEST_CASE("a preemption plan frees what the unit needs, within its rights") {
  // Guards against stopping tasks without making room, stopping more than
  // necessary, and losing more work than is justified.
  CHECK(rc::check("preemption plans", [] {
    const RandomCluster cluster(
        6, *rc::gen::scale(
               3.0, rc::gen::arbitrary<std::vector<RandomCluster::Run>>()));
    CapacityMap map = cluster.Map();
    const VictimPool pool = cluster.Victims(map);
    Submission submission;
    const PlacementUnit unit = RandomCluster::MakeUnit(
        submission, *rc::gen::inRange(1U, 6U), *rc::gen::inRange(1, 9),
        *rc::gen::arbitrary<bool>());
    const PlacementConstraints constraints{CapacityKind::kFutureFree,
                                           *rc::gen::arbitrary<bool>(), true};
    const PreemptionRights rights{*rc::gen::inRange(0U, 3U), false,
                                  *rc::gen::element(50.0, 1e9)};
    const auto plan = PlanPreemption(unit, map, constraints, pool, rights);
    if (!plan.has_value()) {
      return;
    }
    RC_ASSERT(plan->workers.size() == unit.tasks.size());
    double lost_core_s = 0;
    std::vector<Resources> left;
    for (const WorkerCapacity& entry : map.Entries()) {
      left.push_back(entry.future_free);
    }
    for (const std::size_t v : plan->victims) {
      const Victim& victim = pool.Victims()[v];
      RC_ASSERT(victim.priority > rights.priority);
      lost_core_s += victim.lost_core_s;
      for (const auto& [worker, freed] : victim.freed) {
        left[worker] += freed;
      }
    }
    RC_ASSERT(lost_core_s <= rights.max_lost_core_s);
    for (const std::size_t worker : plan->workers) {
      RC_ASSERT(unit.Spec().PlacementDemand().FitsIn(left[worker]));
      left[worker] -= unit.Spec().PlacementDemand();
      RC_ASSERT(!unit.Spec().one_rack || constraints.allow_any_rack ||
                map.RackNumbers()[worker] ==
                    map.RackNumbers()[plan->workers.front()]);
    }
  }));
}

/// A service with one task on each of some workers, and a unit that preempts
/// it.
class ServiceCluster {
 public:
  explicit ServiceCluster(const std::vector<std::uint32_t>& worker_of_task) {
    StepSpec step;
    step.tasks = static_cast<std::uint32_t>(worker_of_task.size());
    step.long_running = true;
    step.max_unavailable = 2;
    step.demand = {0, 0, 2};
    Submission submission;
    submission.id = JobId("service");
    submission.service = ServiceId("s");
    submission.priority = 2;
    submission.spec.steps = {step};
    this->job = Job::Of(submission);
    for (std::uint32_t i = 0; i < worker_of_task.size(); ++i) {
      Worker& worker =
          this->workers[InstanceId("a" + std::to_string(worker_of_task[i]))];
      worker.agent = InstanceId("a" + std::to_string(worker_of_task[i]));
      worker.description.incarnation = {worker.agent, WorkerId("w"), 1};
      worker.description.availability = WorkerAvailability::kReady;
      worker.description.service = ServiceId("s");
      worker.description.capacity = kCapacity;
      worker.reachable = true;
      this->Task(i).phase = TaskPhase::kRunning;
      this->Task(i).percent = 100;
      this->Task(i).worker = worker.description.incarnation;
    }
    this->runs.Update(this->job);
  }

  TaskState& Task(std::uint32_t index) {
    return this->job.occurrences[0].steps[0].tasks[index];
  }

  CapacityMap Map() {
    this->runs.Update(this->job);
    return CapacityMap(this->workers, this->runs, Instant{0});
  }

  /// Plans a task of priority 0 that needs this many accelerators.
  static std::optional<PreemptionPlan> Plan(CapacityMap& map,
                                            const VictimPool& pool,
                                            std::int64_t accelerators,
                                            std::uint32_t tasks = 1) {
    StepSpec step;
    step.tasks = tasks;
    step.demand = {0, 0, accelerators};
    Submission submission;
    submission.id = JobId("urgent");
    submission.service = ServiceId("s");
    submission.spec.steps = {step};
    PlacementUnit unit;
    unit.submission = &submission;
    for (std::uint32_t i = 0; i < tasks; ++i) {
      unit.tasks.push_back(i);
    }
    return PlanPreemption(unit, map,
                          {CapacityKind::kFutureFree, true, true, true}, pool,
                          {0, false, 1e9});
  }

  std::map<InstanceId, Worker> workers;

 private:
  Job job;
  RunIndex runs;
};

TEST_CASE("a step loses no more tasks to preemption than max_unavailable") {
  // Guards against one preemption that stops several replicas of a service.
  ServiceCluster cluster({0, 0, 0, 0});
  CapacityMap map = cluster.Map();
  VictimPool pool(map, {}, Instant{0});
  CHECK(!ServiceCluster::Plan(map, pool, 6).has_value());
  const auto both = ServiceCluster::Plan(map, pool, 4);
  REQUIRE(both.has_value());
  CHECK(both->victims.size() == 2);
  // Later plans of the same pass count what earlier ones stop.
  pool.MarkStopped(both->victims[0]);
  CHECK(ServiceCluster::Plan(map, pool, 2).has_value());
  CHECK(!ServiceCluster::Plan(map, pool, 4).has_value());
  pool.MarkStopped(both->victims[1]);
  CHECK(!ServiceCluster::Plan(map, pool, 2).has_value());

  cluster.Task(0).phase = TaskPhase::kStarting;
  CapacityMap later_map = cluster.Map();
  const VictimPool later(later_map, {}, Instant{0});
  CHECK(ServiceCluster::Plan(later_map, later, 2).has_value());
  CHECK(!ServiceCluster::Plan(later_map, later, 4).has_value());
}

TEST_CASE("a task of a service that starts up is not available") {
  // Guards against a service of which more tasks are stopped while those that
  // were stopped before have started again and are not at work yet.
  ServiceCluster cluster({0, 0, 0, 0});
  cluster.Task(3).percent = 0;
  CapacityMap map = cluster.Map();
  const VictimPool pool(map, {}, Instant{0});
  CHECK(ServiceCluster::Plan(map, pool, 2).has_value());
  CHECK(!ServiceCluster::Plan(map, pool, 4).has_value());
}

TEST_CASE("a unit of several tasks counts all that it stops of a step") {
  // Guards against a plan that stops more replicas on several workers than on
  // one.
  ServiceCluster cluster({0, 1, 2, 3});
  CapacityMap map = cluster.Map();
  const VictimPool pool(map, {}, Instant{0});
  const auto two = ServiceCluster::Plan(map, pool, 8, 2);
  REQUIRE(two.has_value());
  CHECK(two->victims.size() == 2);
  CHECK(!ServiceCluster::Plan(map, pool, 8, 3).has_value());
}

TEST_CASE("a service that may miss tasks is preempted where that makes room") {
  // Guards against a guarantee that is withheld because the tasks that may be
  // stopped are on workers on which the unit does not fit anyway.
  ServiceCluster cluster({0, 1, 2, 3});
  for (const char* full : {"a0", "a1"}) {
    cluster.workers[InstanceId(full)].description.capacity.accelerators = 4;
  }
  CapacityMap map = cluster.Map();
  const VictimPool pool(map, {}, Instant{0});
  const auto plan = ServiceCluster::Plan(map, pool, 8);
  REQUIRE(plan.has_value());
  CHECK(plan->victims.size() == 1);
  CHECK(plan->workers.front() >= 2);
}

}  // namespace
}  // namespace carobrill::workload
