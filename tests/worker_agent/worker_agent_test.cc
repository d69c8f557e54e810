#include "packages/worker_agent/worker_agent.h"

#include <doctest/doctest.h>

#include "tests/worker_agent/agent_fixture.h"

namespace carobrill::worker_agent {
namespace {

using workload::WorkerAvailability;

TEST_CASE("a worker that restarts unannounced is reported as crashed") {
  AgentFixture<SimulatedWorker> fixture;
  fixture.port.born_ms = 10;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  fixture.Order(10);
  fixture.Restart(20);
  fixture.Heartbeat(20, WorkerAvailability::kReady);
  const auto reply = fixture.Exchange();
  CHECK(reply.worker().born_unix_ms() == 20);
  CHECK(reply.crashed_worker().id() == "w");
  CHECK(reply.crashed_worker().born_unix_ms() == 10);
}

TEST_CASE("a worker that was draining before it ended has not crashed") {
  AgentFixture<SimulatedWorker> fixture;
  fixture.port.born_ms = 10;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  fixture.Order(10);
  fixture.Heartbeat(10, WorkerAvailability::kDraining);
  fixture.Restart(20);
  fixture.Heartbeat(20, WorkerAvailability::kReady);
  const auto reply = fixture.Exchange();
  CHECK(reply.worker().born_unix_ms() == 20);
  CHECK(reply.crashed_worker().id().empty());
}

void CheckRestartedWhileRunning(AgentFixture<SimulatedWorker>& fixture) {
  const auto during = fixture.Exchange();
  CHECK(during.worker().born_unix_ms() == 10);
  CHECK(static_cast<WorkerAvailability>(during.availability()) ==
        WorkerAvailability::kAbsent);
  CHECK(during.ended_size() == 0);
  CHECK(fixture.port.stops > 0);
}

TEST_CASE("runs are not lost while a restarted worker may execute them") {
  // Guards against two runs of one task: a start for the earlier process of the
  // worker is carried out by the new one, which has the same id.
  AgentFixture<SimulatedWorker> fixture;
  fixture.port.born_ms = 10;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  fixture.Order(10);
  fixture.port.born_ms = 20;
  SUBCASE("reported by a heartbeat") {
    fixture.Heartbeat(20, WorkerAvailability::kReady);
    CheckRestartedWhileRunning(fixture);
  }
  SUBCASE("told from its lists") {
    g_usleep(100'000);
    CheckRestartedWhileRunning(fixture);
    fixture.Heartbeat(20, WorkerAvailability::kReady);
    CheckRestartedWhileRunning(fixture);
  }
  fixture.task.Run([&] { fixture.port.EndRuns(workload::RunEnd::kDone); });
  g_usleep(200'000);
  const auto after = fixture.Exchange();
  CHECK(after.worker().born_unix_ms() == 20);
  CHECK(static_cast<WorkerAvailability>(after.availability()) ==
        WorkerAvailability::kReady);
  REQUIRE(after.ended_size() == 1);
  CHECK(static_cast<workload::RunEnd>(after.ended(0).end()) ==
        workload::RunEnd::kDone);
}

TEST_CASE("runs end with a restarted worker that goes before its heartbeat") {
  // Guards against tasks that wait for ever for a worker that is gone.
  AgentFixture<SimulatedWorker> fixture;
  fixture.port.born_ms = 10;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  fixture.Order(10);
  fixture.port.born_ms = 20;
  g_usleep(100'000);
  CHECK(fixture.Exchange().ended_size() == 0);
  fixture.port.refusing = true;
  g_usleep(600'000);
  const auto reply = fixture.Exchange();
  REQUIRE(reply.ended_size() == 1);
  CHECK(static_cast<workload::RunEnd>(reply.ended(0).end()) ==
        workload::RunEnd::kWorkerCrashed);
}

TEST_CASE("a heartbeat of another sender does not end the worker's runs") {
  // Guards against tasks that run twice: a heartbeat with the address of the
  // worker, but of another incarnation, made the agent report a crash.
  AgentFixture<SimulatedWorker> fixture;
  fixture.port.born_ms = 10;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  fixture.Order(10);
  SUBCASE("another id, started later") {
    fixture.Heartbeat(20, WorkerAvailability::kReady, 32'000, "other");
  }
  SUBCASE("another id, started at the same time") {
    fixture.Heartbeat(10, WorkerAvailability::kReady, 32'000, "other");
  }
  SUBCASE("the same id, started later") {
    fixture.Heartbeat(20, WorkerAvailability::kReady);
  }
  SUBCASE("the same id, started earlier") {
    fixture.Heartbeat(5, WorkerAvailability::kReady);
  }
  CHECK(!fixture.followed);
  const auto reply = fixture.Exchange();
  CHECK(reply.worker().id() == "w");
  CHECK(reply.worker().born_unix_ms() == 10);
  CHECK(static_cast<WorkerAvailability>(reply.availability()) ==
        WorkerAvailability::kReady);
  CHECK(reply.running_size() == 1);
  CHECK(reply.ended_size() == 0);
  CHECK(fixture.port.stops == 0);
}

TEST_CASE("a worker is followed after a heartbeat of another sender") {
  // Guards against a worker that is ignored because another sender named a
  // later start time, or because the clock was set back between its processes.
  AgentFixture<SimulatedWorker> fixture;
  fixture.port.born_ms = 10;
  fixture.Heartbeat(99, WorkerAvailability::kReady, 32'000, "other");
  CHECK(fixture.Exchange().worker().id().empty());
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  CHECK(fixture.followed);
  CHECK(fixture.Exchange().worker().born_unix_ms() == 10);
  fixture.Restart(5);
  fixture.Heartbeat(5, WorkerAvailability::kReady);
  CHECK(fixture.Exchange().worker().born_unix_ms() == 5);
}

TEST_CASE("one odd sequence number does not lock the worker out") {
  // Guards against a worker that is ignored, and stays in the state of one odd
  // heartbeat, because its own sequence numbers are lower.
  WorkerAgentSettings settings;
  settings.max_late_heartbeats_ms = 300;
  AgentFixture<SimulatedWorker> fixture(settings);
  const auto availability = [&] {
    return static_cast<WorkerAvailability>(fixture.Exchange().availability());
  };
  fixture.port.born_ms = 10;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  fixture.sequence = 1'000'000;
  fixture.Heartbeat(10, WorkerAvailability::kDraining);
  fixture.sequence = 1;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  CHECK(availability() == WorkerAvailability::kDraining);
  g_usleep(400'000);
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  CHECK(availability() == WorkerAvailability::kReady);
}

TEST_CASE(
    "a worker that answers late is followed without a further heartbeat") {
  AgentFixture<SimulatedWorker> fixture;
  fixture.port.born_ms = 10;
  fixture.port.refusing = true;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  CHECK(!fixture.followed);
  CHECK(fixture.Exchange().worker().id().empty());
  fixture.port.refusing = false;
  g_usleep(300'000);
  CHECK(fixture.Exchange().worker().id() == "w");
}

TEST_CASE("a change of the worker's capacity is reported at once") {
  // Guards against starts beyond a capacity that has shrunk.
  AgentFixture<> fixture;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  const auto before = fixture.Exchange();
  fixture.Heartbeat(10, WorkerAvailability::kReady, /*cpu_millis=*/16'000);
  const auto after = fixture.Exchange();
  CHECK(after.report() > before.report());
  CHECK(after.cpu_millis() == 16'000);
}

TEST_CASE("an order from before the worker's capacity shrank is not started") {
  // Guards against delayed orders that exceed the capacity of a worker.
  AgentFixture<> fixture;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  fixture.Heartbeat(10, WorkerAvailability::kReady, /*cpu_millis=*/16'000);
  const auto reply = fixture.Order(10, /*cpu_millis=*/20'000);
  CHECK(fixture.port.starts == 0);
  REQUIRE(reply.ended_size() == 1);
  CHECK(static_cast<workload::RunEnd>(reply.ended(0).end()) ==
        workload::RunEnd::kRefused);
}

TEST_CASE("a refused start is stopped first if the agent may have sent it") {
  // Guards against a late start that an earlier process of the agent has sent.
  constexpr std::uint64_t kAgentStartedMs = 50;
  AgentFixture<SimulatedWorker> fixture({}, kAgentStartedMs);
  std::int64_t born_ms = 0;
  bool stopped = false;
  SUBCASE("the worker is older than the agent") {
    born_ms = 10;
    stopped = true;
  }
  SUBCASE("the worker is newer than the agent") {
    born_ms = 60;
  }
  fixture.port.born_ms = born_ms;
  fixture.port.start_result = OrderResult::kUnhealthy;
  fixture.Heartbeat(born_ms, WorkerAvailability::kReady);
  fixture.Order(born_ms);
  g_usleep(100'000);
  const auto reply = fixture.Exchange();
  REQUIRE(reply.ended_size() == 1);
  CHECK(static_cast<workload::RunEnd>(reply.ended(0).end()) ==
        workload::RunEnd::kRefused);
  CHECK(fixture.port.stops == (stopped ? 1 : 0));
}

TEST_CASE("orders and leases for an earlier process of the agent are ignored") {
  // Guards against a lease dated by a clock that has started anew since.
  AgentFixture<SimulatedWorker> fixture;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  fixture.addressed_incarnation = 7;
  fixture.Order(10);
  g_usleep(100'000);
  CHECK(fixture.port.running.empty());
  fixture.addressed_incarnation = fixture.Exchange().agent_incarnation();
  fixture.Order(10);
  g_usleep(100'000);
  CHECK(fixture.port.running.size() == 1);
}

TEST_CASE("calls to a worker's next process carry a higher fence") {
  // Guards against a late call that makes the next process forget its ends.
  AgentFixture<SimulatedWorker> fixture;
  fixture.port.born_ms = 10;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  fixture.Order(10);
  const std::uint64_t before = fixture.port.fence;
  REQUIRE(before > 0);
  fixture.Restart(20);
  fixture.Heartbeat(20, WorkerAvailability::kReady);
  constexpr gulong kSeveralCallsUs = 500'000;
  g_usleep(kSeveralCallsUs);
  CHECK(fixture.port.fence > before);
}

TEST_CASE("a delayed heartbeat does not bring back a worker that has left") {
  // Guards against orders to a server that has left.
  AgentFixture<> fixture;
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  const auto availability = [&] {
    return static_cast<WorkerAvailability>(fixture.Exchange().availability());
  };
  CHECK(availability() == WorkerAvailability::kReady);
  fixture.task.Run([&] { fixture.agent->OnWorkerShutdown(WorkerId("w")); });
  fixture.Heartbeat(10, WorkerAvailability::kReady);
  CHECK(availability() == WorkerAvailability::kAbsent);
  fixture.port.listed = false;
  fixture.Heartbeat(20, WorkerAvailability::kReady);
  CHECK(availability() == WorkerAvailability::kReady);
}

}  // namespace
}  // namespace carobrill::worker_agent
