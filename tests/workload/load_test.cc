#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "packages/workload/urgent_headroom.h"
#include "tests/workload/planner_fixture.h"
#include "tests/workload/planner_simulation.h"

// Plays heavy loads and checks what callers get.

namespace carobrill::workload {
namespace {

StepSpec MakeStep(std::uint32_t tasks,
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

/// Urgent gangs that arrive four times a second and use a fifth of the cluster,
/// beside more batch work than the cluster can do.
void PlayUrgentGangsBesideBatch(PlannerSimulation& simulation,
                                std::int64_t duration_ms) {
  std::mt19937 random(7);
  for (std::int64_t ms = 0; ms < duration_ms; ms += 250) {
    const std::int64_t accelerators = std::int64_t{1} << random() % 4;
    simulation.Submit(0, MakeStep(4 + random() % 5,
                                  {3'700, 16'000, accelerators}, true, 2'000));
    if (ms % 1'000 == 0) {
      simulation.Submit(2, MakeStep(78, {2'800, 8'200, 1}, false, 5'000));
      simulation.Submit(2, MakeStep(78, {2'800, 8'200, 1}, false, 5'000));
    }
    if (ms % 2'000 == 0) {
      simulation.Submit(1, MakeStep(25, {13'000, 53'000, 2}, true, 7'000));
    }
    simulation.Advance(250);
  }
}

TEST_CASE("urgent gangs start at once beside batch work beyond capacity") {
  // Guards against an overload in which urgent gangs stop batch tasks that are
  // started again and stopped by the next gang.
  PlannerSimulation simulation(64, 8);
  PlayUrgentGangsBesideBatch(simulation, 30'000);
  std::vector<std::int64_t> starts;
  std::size_t urgent = 0;
  for (const auto& [id, job] : simulation.Jobs()) {
    if (job.priority == 0) {
      ++urgent;
      starts.push_back(job.started_after_ms < 0 ? 60'000
                                                : job.started_after_ms);
    }
  }
  std::ranges::sort(starts);
  // The goal is an urgent start within 1.9 s.
  CHECK(starts[starts.size() * 95 / 100] <= 1'900);
  MESSAGE("lost " << simulation.LostCoreSeconds() << " of "
                  << simulation.DoneCoreSeconds() << " core seconds; median "
                  << starts[starts.size() / 2] << " ms of " << urgent);
  // Lost work is work for which another user did not get the workers.
  CHECK(simulation.LostCoreSeconds() < 0.05 * simulation.DoneCoreSeconds());
}

TEST_CASE("a wide job with time left does not keep others from starting") {
  // Guards against a job that takes most of the cluster without need.
  PlannerSimulation simulation(12, 4);
  simulation.Submit(0, MakeStep(8, {30'000, 100'000, 8}, false, 20'000));
  const JobId wide = simulation.Jobs().begin()->first;
  for (int i = 0; i < 80; ++i) {
    simulation.Submit(0, MakeStep(3, {15'000, 39'000, 8}, true, 2'000));
    simulation.Advance(1'000);
  }
  for (const auto& entry : simulation.Jobs()) {
    CAPTURE(entry.first.value);
    // The goal is an urgent start within 1.9 s.
    CHECK(entry.second.started_after_ms >= 0);
    CHECK(entry.second.started_after_ms <= 1'900);
  }
  // The objective: 1.5 times three waves of the estimate, and 250 ms.
  CHECK(simulation.Jobs().at(wide).completed_after_ms > 0);
  CHECK(simulation.Jobs().at(wide).completed_after_ms <= 90'250);
}

TEST_CASE("a wide gang completes in time beside single tasks beyond capacity") {
  // Guards against a gang that never starts, because single tasks take each
  // part of a worker as soon as it is free.
  PlannerSimulation simulation(24, 8);
  std::mt19937 random(7);
  const auto play_single_tasks = [&](int steps) {
    for (int i = 0; i < steps; ++i) {
      simulation.Submit(
          2, MakeStep(8, {2'800, 8'200, 1}, false,
                      static_cast<std::int64_t>(3'000 + random() % 4 * 1'000)));
      simulation.Advance(100);
    }
  };
  play_single_tasks(80);
  simulation.Submit(1, MakeStep(8, {13'000, 53'000, 8}, true, 7'000));
  const JobId gang = simulation.Jobs().rbegin()->first;
  play_single_tasks(250);
  // The objective: three times the estimate, and 1 s.
  CHECK(simulation.Jobs().at(gang).completed_after_ms > 0);
  CHECK(simulation.Jobs().at(gang).completed_after_ms <= 22'000);
}

TEST_CASE("an urgent job that may preempt is not kept waiting by others") {
  // Guards against units whose searches fail and use up the searches of each
  // planning pass.
  PlannerSimulation simulation(4, 4);
  for (int i = 0; i < 4; ++i) {
    simulation.Submit(2, MakeStep(1, {1'000, 1'000, 8}, false, 60'000));
  }
  simulation.Advance(3'000);
  // Worth too little to stop a task that has run for 3 s.
  for (int i = 0; i < 20; ++i) {
    simulation.Submit(0, MakeStep(1, {1'000, 1'000, 8}, false, 100));
  }
  simulation.Submit(0, MakeStep(1, {1'000, 1'000, 8}, false, 2'000));
  simulation.Advance(1'000);
  CHECK(simulation.Jobs().rbegin()->second.started_after_ms > 0);
  // One stop takes 200 ms.
  CHECK(simulation.Jobs().rbegin()->second.started_after_ms <= 500);
}

TEST_CASE("a gang of a service without workers waits") {
  // Guards against an unexpected error that ends the planner.
  PlannerFixture fixture(1);
  StepSpec step = MakeStep(2, {1'000, 1'000, 1}, true, 2'000);
  Submission job = MakeJob("j", step);
  job.service = ServiceId("unknown");
  fixture.planner.Submit(job);
  fixture.Plan();
  fixture.now.ms += 5'000;
  fixture.ReportWorker(0);
  fixture.Plan();
  CHECK(fixture.ActiveTasks().empty());
}

TEST_CASE("headroom follows the recent urgent demand and then ends") {
  UrgentHeadroom headroom;
  const ServiceId service("s");
  CHECK(headroom.ShareFor(service) == 0);
  headroom.Observe(service, 0.2, Instant{1'000});
  CHECK(headroom.ShareFor(service) == doctest::Approx(0.25));
  headroom.Observe(service, 0, Instant{2'000});
  CHECK(headroom.ShareFor(service) > 0.1);
  headroom.Observe(service, 0, Instant{7'000});
  CHECK(headroom.ShareFor(service) == 0);
  headroom.Observe(service, 0.9, Instant{8'000});
  CHECK(headroom.ShareFor(service) == 0.5);
  CHECK(headroom.ShareFor(ServiceId("other")) == 0);
}

TEST_CASE(
    "other work uses the headroom of an idle cluster after a short wait") {
  // Guards against a job that waits for a long time beside idle workers.
  PlannerSimulation simulation(16, 4);
  // Urgent work that uses half of the cluster for a moment.
  simulation.Submit(0, MakeStep(8, {3'700, 16'000, 8}, true, 200));
  simulation.Advance(300);
  // Needs more workers than are not held.
  simulation.Submit(1, MakeStep(16, {3'700, 16'000, 8}, true, 2'000));
  simulation.Advance(3'000);
  CHECK(simulation.Jobs().rbegin()->second.started_after_ms >= 0);
  CHECK(simulation.Jobs().rbegin()->second.started_after_ms < 1'500);
}

TEST_CASE("a gang that is wider than any rack does not wait for one") {
  // Guards against a wait that cannot end well and uses up the objective.
  PlannerSimulation simulation(16, 4);
  StepSpec step = MakeStep(8, {3'700, 16'000, 8}, true, 2'000);
  step.one_rack = true;
  simulation.Submit(1, step);
  simulation.Advance(100);
  CHECK(simulation.Jobs().begin()->second.started_after_ms == 20);
}

}  // namespace
}  // namespace carobrill::workload
