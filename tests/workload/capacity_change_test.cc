#include <doctest/doctest.h>

#include <cstddef>

#include "tests/workload/planner_fixture.h"

namespace carobrill::workload {
namespace {

TEST_CASE(
    "no task starts on a worker whose capacity has shrunk below its use") {
  // Guards against exceeding the capacity of a worker that does not check it.
  PlannerFixture fixture(1);
  for (int i = 0; i < 4; ++i) {
    fixture.planner.Submit(
        MakeJob("j" + std::to_string(i), MakeStep(1, {1'000, 1'000, 2})));
  }
  fixture.planner.Submit(MakeJob("k", MakeStep(1, {1'000, 1'000, 0})));
  fixture.Plan();
  CHECK(fixture.ActiveTasks().size() == 5);
  fixture.ChangeCapacity(0, {32'000, 128'000, 4});
  fixture.planner.Submit(MakeJob("l", MakeStep(1, {1'000, 1'000, 2})));
  // Of eight accelerators in use, four are over the capacity.
  for (std::size_t ended = 0; ended < 2; ++ended) {
    fixture.Plan();
    CHECK(fixture.ActiveTasks().size() == 5 - ended);
    // A task that is being stopped holds its resources until its end.
    const TaskKey task{JobId("j" + std::to_string(ended)), 0, 0, 0};
    fixture.planner.Cancel(task.job, fixture.Time());
    fixture.Plan();
    CHECK(fixture.ActiveTasks().size() == 5 - ended);
    fixture.EndRun(task, RunEnd::kStopped);
  }
  fixture.Plan();
  CHECK(fixture.ActiveTasks().size() == 3);
  fixture.ChangeCapacity(0, {32'000, 128'000, 8});
  fixture.Plan();
  CHECK(fixture.ActiveTasks().size() == 4);
}

TEST_CASE("an order tells the agent what the run takes of the capacity") {
  // Guards against an agent that cannot check a capacity that has shrunk.
  PlannerFixture fixture(1);
  fixture.planner.Submit(MakeJob("j", MakeStep(1, {1'000, 2'000, 3})));
  fixture.Plan();
  const auto orders = fixture.planner.Orders(fixture.planner.NextCommit());
  REQUIRE(orders.size() == 1);
  REQUIRE(orders.begin()->second.size() == 1);
  CHECK(orders.begin()->second[0].demand == Resources{1'000, 2'000, 3});
}

}  // namespace
}  // namespace carobrill::workload
