#include <doctest/doctest.h>

#include <algorithm>

#include "packages/workload/job_planner.h"
#include "tests/workload/planner_fixture.h"

namespace carobrill::workload {
namespace {

Submission JobWithPolicy(const std::string& id, std::uint32_t tasks) {
  Submission submission = MakeJob(id, MakeStep(tasks, {1'000, 1'000, 1}));
  submission.advice = AdvicePolicy{100, 10, 3'000};
  return submission;
}

/// Responds to the first pending request and grants only the worker `allowed`.
AdviceRequest GrantFirstRequest(PlannerFixture& fixture,
                                const std::string& allowed) {
  AdviceRequest request = fixture.planner.PendingAdviceRequests().front();
  fixture.planner.ApplyAdvice(request, {{WorkerId(allowed), "t-" + allowed}},
                              fixture.now.After(request.policy.valid_ms));
  return request;
}

TEST_CASE("a step with a policy runs only where the policy allows it") {
  // Guards against starting tasks without a ticket, and against a job that
  // never runs.
  PlannerFixture fixture(3);
  fixture.planner.Submit(JobWithPolicy("j", 2));
  fixture.Plan();
  CHECK(fixture.ActiveTasks().empty());
  REQUIRE(fixture.planner.PendingAdviceRequests().size() == 1);
  CHECK(GrantFirstRequest(fixture, PlannerFixture::WorkerName(1))
            .workers.size() == 3);
  fixture.Plan();
  REQUIRE(fixture.ActiveTasks().size() == 2);
  for (const auto& [key, task] : fixture.ActiveTasks()) {
    CHECK(task.worker.id == WorkerId(PlannerFixture::WorkerName(1)));
    CHECK(task.ticket == "t-" + PlannerFixture::WorkerName(1));
  }
  CHECK(fixture.planner.PendingAdviceRequests().empty());
}

TEST_CASE("a worker that a policy has denied is not requested again") {
  // Guards against endless requests while all allowed workers are full.
  PlannerFixture fixture(2);
  fixture.planner.Submit(JobWithPolicy("j", 9));
  fixture.Plan();
  GrantFirstRequest(fixture, PlannerFixture::WorkerName(0));
  fixture.Plan();
  CHECK(fixture.ActiveTasks().size() == 8);
  CHECK(fixture.planner.PendingAdviceRequests().empty());
}

TEST_CASE("a ticket that has expired or was refused is requested again") {
  PlannerFixture fixture(1);
  fixture.planner.Submit(JobWithPolicy("j", 1));
  fixture.Plan();
  GrantFirstRequest(fixture, PlannerFixture::WorkerName(0));
  SUBCASE("expired") {
    fixture.now.ms += 2'600;
  }
  SUBCASE("refused") {
    fixture.Plan();
    REQUIRE(fixture.ActiveTasks().size() == 1);
    fixture.EndRun(fixture.ActiveTasks().begin()->first, RunEnd::kRefused);
    fixture.now.ms += 400;
  }
  fixture.ReportWorker(0);
  fixture.Plan();
  CHECK(fixture.ActiveTasks().empty());
  CHECK(fixture.planner.PendingAdviceRequests().size() == 1);
}

TEST_CASE("a ticket is valid for one incarnation of a worker only") {
  PlannerFixture fixture(1);
  fixture.planner.Submit(JobWithPolicy("j", 1));
  fixture.Plan();
  GrantFirstRequest(fixture, PlannerFixture::WorkerName(0));
  fixture.ReportWorker(0, /*born_ms=*/2);
  fixture.Plan();
  CHECK(fixture.ActiveTasks().empty());
  CHECK(fixture.planner.PendingAdviceRequests().size() == 1);
}

TEST_CASE("orders carry the ticket of their step") {
  PlannerFixture fixture(1);
  fixture.planner.Submit(JobWithPolicy("j", 1));
  fixture.Plan();
  GrantFirstRequest(fixture, PlannerFixture::WorkerName(0));
  fixture.planner.Plan(fixture.Time());
  const auto orders = fixture.planner.Orders(fixture.planner.NextCommit());
  REQUIRE(orders.size() == 1);
  CHECK(orders.begin()->second.front().ticket ==
        "t-" + PlannerFixture::WorkerName(0));
}

}  // namespace
}  // namespace carobrill::workload
