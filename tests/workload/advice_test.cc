#include <doctest/doctest.h>

#include <algorithm>

#include "packages/workload/job_planner.h"
#include "tests/workload/planner_fixture.h"

namespace carobrill::workload {
namespace {

Submission AdvisedJob(const std::string& id, std::uint32_t tasks) {
  Submission submission = JobOf(id, Step(tasks, {1'000, 1'000, 1}));
  submission.advice = AdvicePolicy{100, 10, 3'000};
  return submission;
}

/// Answers the first wanted question: only workers named `allowed` are granted.
AdviceRequest Answer(World& world, const std::string& allowed) {
  AdviceRequest request = world.planner.WantedAdvice().front();
  world.planner.ObserveAdvice(request, {{WorkerId(allowed), "t-" + allowed}},
                              world.now.After(request.policy.valid_ms));
  return request;
}

TEST_CASE("a step with a policy runs only where the policy allows it") {
  // Guards against starts without a ticket, and against a job that never runs.
  World world(3);
  world.planner.Submit(AdvisedJob("j", 2));
  world.Plan();
  CHECK(world.Held().empty());
  REQUIRE(world.planner.WantedAdvice().size() == 1);
  CHECK(Answer(world, World::Name(1)).workers.size() == 3);
  world.Plan();
  REQUIRE(world.Held().size() == 2);
  for (const auto& [key, task] : world.Held()) {
    CHECK(task.worker.id == WorkerId(World::Name(1)));
    CHECK(task.ticket == "t-" + World::Name(1));
  }
  CHECK(world.planner.WantedAdvice().empty());
}

TEST_CASE("a worker that a policy has denied is not asked about again") {
  // Guards against questions without end while the allowed workers are full.
  World world(2);
  world.planner.Submit(AdvisedJob("j", 9));
  world.Plan();
  Answer(world, World::Name(0));
  world.Plan();
  CHECK(world.Held().size() == 8);
  CHECK(world.planner.WantedAdvice().empty());
}

TEST_CASE("a ticket that has run out or was refused is asked for again") {
  World world(1);
  world.planner.Submit(AdvisedJob("j", 1));
  world.Plan();
  Answer(world, World::Name(0));
  SUBCASE("run out") {
    world.now.ms += 2'600;
  }
  SUBCASE("refused") {
    world.Plan();
    REQUIRE(world.Held().size() == 1);
    world.End(world.Held().begin()->first, RunEnd::kRefused);
    world.now.ms += 400;
  }
  world.Answer(0);
  world.Plan();
  CHECK(world.Held().empty());
  CHECK(world.planner.WantedAdvice().size() == 1);
}

TEST_CASE("a ticket belongs to one life of a worker") {
  World world(1);
  world.planner.Submit(AdvisedJob("j", 1));
  world.Plan();
  Answer(world, World::Name(0));
  world.Answer(0, /*born_ms=*/2);
  world.Plan();
  CHECK(world.Held().empty());
  CHECK(world.planner.WantedAdvice().size() == 1);
}

TEST_CASE("orders carry the ticket of their step") {
  World world(1);
  world.planner.Submit(AdvisedJob("j", 1));
  world.Plan();
  Answer(world, World::Name(0));
  world.planner.Plan(world.Time());
  const auto orders = world.planner.Orders(world.planner.NextCommit());
  REQUIRE(orders.size() == 1);
  CHECK(orders.begin()->second.front().ticket == "t-" + World::Name(0));
}

}  // namespace
}  // namespace carobrill::workload
