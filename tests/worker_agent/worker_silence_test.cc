#include <doctest/doctest.h>

#include "tests/worker_agent/agent_fixture.h"

// Workers that do not answer, and shutdown notices.

namespace carobrill::worker_agent {
namespace {

using workload::WorkerAvailability;

/// Waits until the agent names the worker to the planner, or no longer does.
bool WaitUntilNamed(AgentFixture<SimulatedWorker>& fixture, bool named) {
  for (int i = 0; i < 300; ++i) {
    if (fixture.Exchange().worker().id().empty() != named) {
      return true;
    }
    g_usleep(10'000);
  }
  return false;
}

WorkerAgentSettings ShortSilence() {
  WorkerAgentSettings settings;
  settings.max_silence_ms = 300;
  return settings;
}

TEST_CASE(
    "a worker that does not answer for long is not named to the planner") {
  // Guards against tasks that are never run again after their worker has gone
  // silent for good while its agent is well.
  AgentFixture<SimulatedWorker> fixture(ShortSilence());
  fixture.port.born_ms = 10;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  REQUIRE(fixture.Order(10).worker().id() == "w");
  fixture.port.silent = true;
  REQUIRE(WaitUntilNamed(fixture, false));
  const auto during = fixture.Exchange();
  CHECK(during.running_size() == 0);
  CHECK(during.ended_size() == 0);
  CHECK(static_cast<WorkerAvailability>(during.availability()) ==
        WorkerAvailability::kAbsent);
  SUBCASE("it answers again") {
    fixture.port.silent = false;
    REQUIRE(WaitUntilNamed(fixture, true));
    const auto after = fixture.Exchange();
    CHECK(after.running_size() == 1);
    CHECK(after.ended_size() == 0);
    CHECK(fixture.port.stops == 0);
  }
  SUBCASE("it refuses connections") {
    fixture.port.refusing = true;
    fixture.port.silent = false;
    REQUIRE(WaitUntilNamed(fixture, true));
    CHECK(fixture.Exchange().ended_size() == 1);
  }
}

TEST_CASE("a worker that is silent for a moment stays named to the planner") {
  // Guards against work that is given up because of one slow answer.
  AgentFixture<SimulatedWorker> fixture;
  fixture.port.born_ms = 10;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  fixture.Order(10);
  fixture.port.silent = true;
  g_usleep(1'000'000);
  CHECK(fixture.Exchange().worker().id() == "w");
  fixture.port.silent = false;
}

TEST_CASE("starts from before a silence wait for new orders") {
  // Guards against a start of a run that the planner has given up meanwhile.
  AgentFixture<SimulatedWorker> fixture(ShortSilence());
  fixture.port.born_ms = 10;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  fixture.port.start_result = OrderResult::kNoAnswer;
  fixture.port.silent = true;
  fixture.Order(10);
  REQUIRE(WaitUntilNamed(fixture, false));
  fixture.port.start_result = OrderResult::kDone;
  fixture.port.silent = false;
  REQUIRE(WaitUntilNamed(fixture, true));
  rpc::ExchangeRequest grant;
  grant.set_authority_until_agent_ms(BootClock{}.Now().ms + kLeaseMs);
  fixture.Exchange(grant);
  g_usleep(400'000);
  CHECK(fixture.port.running.empty());
  fixture.Order(10);
  g_usleep(400'000);
  CHECK(fixture.port.running.size() == 1);
}

TEST_CASE("a worker that answers after its shutdown notice keeps its runs") {
  // Guards against tasks that run twice after a notice that is late, from an
  // earlier process of the worker, or from another sender.
  AgentFixture<SimulatedWorker> fixture;
  fixture.port.born_ms = 10;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  fixture.Order(10);
  fixture.task.Run([&] { fixture.agent->OnWorkerShutdown(WorkerId("w")); });
  CHECK(static_cast<WorkerAvailability>(fixture.Exchange().availability()) ==
        WorkerAvailability::kAbsent);
  g_usleep(1'300'000);
  CHECK(fixture.Exchange().ended_size() == 0);
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  const auto reply = fixture.Exchange();
  CHECK(static_cast<WorkerAvailability>(reply.availability()) ==
        WorkerAvailability::kReady);
  CHECK(reply.running_size() == 1);
  CHECK(fixture.port.stops == 0);
}

TEST_CASE("a worker that is silent after its shutdown notice may be at work") {
  // Guards against tasks that run twice because a worker was slow to answer.
  AgentFixture<SimulatedWorker> fixture;
  fixture.port.born_ms = 10;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  fixture.Order(10);
  fixture.port.silent = true;
  fixture.task.Run([&] { fixture.agent->OnWorkerShutdown(WorkerId("w")); });
  const auto during = fixture.Exchange();
  CHECK(during.ended_size() == 0);
  // The planner ends its runs when the last lease has expired.
  CHECK(during.worker().id().empty());
  SUBCASE("it answers again") {
    fixture.port.silent = false;
    g_usleep(1'500'000);
    fixture.Heartbeat(10, WorkerAvailability::kReady);
    const auto after = fixture.Exchange();
    CHECK(after.worker().id() == "w");
    CHECK(after.running_size() == 1);
    CHECK(after.ended_size() == 0);
    CHECK(fixture.port.stops == 0);
  }
  SUBCASE("it refuses connections") {
    fixture.port.refusing = true;
    fixture.port.silent = false;
    g_usleep(300'000);
    const auto after = fixture.Exchange();
    CHECK(after.worker().id() == "w");
    REQUIRE(after.ended_size() == 1);
    CHECK(static_cast<workload::RunEnd>(after.ended(0).end()) ==
          workload::RunEnd::kWorkerLost);
  }
}

TEST_CASE("a worker that accepts connections in between has not exited") {
  // Guards against tasks that run twice because single connections are refused.
  AgentFixture<SimulatedWorker> fixture;
  fixture.port.born_ms = 10;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  fixture.Order(10);
  fixture.port.unstable = true;
  g_usleep(1'500'000);
  CHECK(fixture.Exchange().ended_size() == 0);
}

TEST_CASE("a worker that is gone after its shutdown notice ends its runs") {
  AgentFixture<SimulatedWorker> fixture;
  fixture.port.born_ms = 10;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  fixture.Order(10);
  fixture.port.refusing = true;
  fixture.task.Run([&] { fixture.agent->OnWorkerShutdown(WorkerId("w")); });
  const auto reply = fixture.Exchange();
  REQUIRE(reply.ended_size() == 1);
  CHECK(static_cast<workload::RunEnd>(reply.ended(0).end()) ==
        workload::RunEnd::kWorkerLost);
}

}  // namespace
}  // namespace carobrill::worker_agent
