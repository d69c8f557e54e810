#include "packages/worker_agent/worker_agent.h"

#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carobrill::worker_agent {
namespace {

using workload::WorkerAvailability;

/// A worker that accepts every start and does not answer its lists again after
/// it has ended.
struct FakePort {
  void Start(const StartOrder&,
             Instant,
             const std::function<void(StartReply)>& done) {
    ++this->starts;
    done({OrderResult::kDone, 1});
  }
  void Stop(const StopOrder&,
            Instant,
            const std::function<void(OrderResult)>& done) const {
    done(OrderResult::kDone);
  }
  void Throttle(const PaceOrder&,
                Instant,
                const std::function<void(OrderResult)>& done) const {
    done(OrderResult::kDone);
  }
  void RenewLeases(const LeaseRequest&,
                   Instant,
                   const std::function<void(LeaseReply)>& done) {
    if (!this->listed) {
      this->listed = true;
      LeaseReply reply;
      reply.worker_clock_ms = 1;
      done(reply);
    }
  }

  /// The lists of the present incarnation have been returned.
  bool listed = false;
  int starts = 0;
};

/// A worker that lists the runs that it was told to start until the test ends
/// them.
struct SimulatedWorker {
  void Start(const StartOrder& order,
             Instant,
             const std::function<void(StartReply)>& done) {
    if (this->start_result == OrderResult::kDone) {
      this->running.push_back({order.task, order.run, 10, {}, 0});
    }
    done({this->start_result, 1});
  }
  void Stop(const StopOrder&,
            Instant,
            const std::function<void(OrderResult)>& done) {
    ++this->stops;
    done(OrderResult::kDone);
  }
  void Throttle(const PaceOrder&,
                Instant,
                const std::function<void(OrderResult)>& done) const {
    done(OrderResult::kDone);
  }
  void RenewLeases(const LeaseRequest& request,
                   Instant,
                   const std::function<void(LeaseReply)>& done) {
    ++this->calls;
    this->fence = request.fence;
    // Short waits of the agent, so that its calls do not follow without pause.
    g_usleep(1'000);
    LeaseReply reply;
    if (this->silent || this->unstable) {
      reply.result = this->unstable && this->calls % 2 == 0
                         ? OrderResult::kUnreachable
                         : OrderResult::kNoAnswer;
      done(reply);
      return;
    }
    if (this->refusing || request.worker != WorkerId("w")) {
      reply.result = this->refusing ? OrderResult::kUnreachable
                                    : OrderResult::kOtherIncarnation;
      done(reply);
      return;
    }
    reply.worker_clock_ms = 1;
    reply.born_ms = this->born_ms;
    reply.running = this->running;
    reply.ended = this->ended;
    done(reply);
  }

  void EndRuns(workload::RunEnd end) {
    for (const ListedRun& run : this->running) {
      this->ended.push_back(
          {this->ended.size() + 1, run.task, run.run, end, {}});
    }
    this->running.clear();
  }

  std::atomic<std::int64_t> born_ms = 0;
  /// Number of requests for the lists.
  std::atomic<int> calls = 0;
  /// Fence of the last such request.
  std::atomic<std::uint64_t> fence = 0;
  std::atomic<bool> refusing = false;
  std::atomic<bool> silent = false;
  /// Every other request is refused, and the rest are not answered.
  std::atomic<bool> unstable = false;
  std::atomic<OrderResult> start_result = OrderResult::kDone;
  std::vector<ListedRun> running;
  std::vector<ListedRunEnd> ended;
  int stops = 0;
};

constexpr std::int64_t kLeaseMs = 60'000;
constexpr const char* kJobId = "0123456789abcdef";

template <typename Port = FakePort>
class AgentFixture {
 public:
  /// The agent's process starts at `started_ms`.
  explicit AgentFixture(WorkerAgentSettings settings = {},
                        std::uint64_t started_ms = 1)
      : settings(settings), task("test") {
    this->task.Run([&, this] {
      this->agent = std::make_unique<WorkerAgent<Port>>(
          this->task, this->port, started_ms * 1'000, this->settings,
          this->metrics);
    });
  }
  ~AgentFixture() {
    this->task.Run([this] { this->agent.reset(); });
  }

  void Heartbeat(std::int64_t born_ms,
                 WorkerAvailability availability,
                 std::int64_t cpu_millis = 32'000,
                 const std::string& id = "w") {
    this->task.Run([&] {
      WorkerHeartbeat heartbeat;
      heartbeat.description.incarnation = {InstanceId("a"), WorkerId(id),
                                           born_ms};
      heartbeat.description.availability = availability;
      heartbeat.description.capacity = {cpu_millis, 128'000, 8};
      heartbeat.sequence = ++this->sequence;
      this->agent->OnHeartbeat(heartbeat,
                               [this](bool done) { this->followed = done; });
      this->agent->Start();
    });
    // The agent reads the lists on its task.
    g_usleep(20'000);
  }

  /// Starts a new process of the worker, which runs nothing.
  void Restart(std::int64_t born_ms) {
    this->task.Run([&] {
      this->port.running.clear();
      this->port.ended.clear();
      this->port.born_ms = born_ms;
    });
  }

  /// Orders one run on the incarnation, and returns the agent's report.
  rpc::ExchangeReply Order(std::int64_t born_ms, std::int64_t cpu_millis = 0) {
    rpc::ExchangeRequest request;
    request.mutable_worker()->set_id("w");
    request.mutable_worker()->set_born_unix_ms(born_ms);
    request.set_authority_until_agent_ms(BootClock{}.Now().ms + kLeaseMs);
    auto* order = request.add_orders();
    order->mutable_task()->set_job(kJobId);
    order->set_run(1);
    order->set_cpu_millis(cpu_millis);
    return this->Exchange(request);
  }

  rpc::ExchangeReply Exchange(rpc::ExchangeRequest request = {}) {
    request.set_epoch(1);
    request.set_sequence(++this->exchanges);
    request.set_agent_incarnation(this->addressed_incarnation);
    rpc::ExchangeReply result;
    this->task.Run([&] {
      this->agent->OnExchange(request,
                              rpc::Responder<rpc::ExchangeReply>(
                                  [&](std::optional<rpc::ExchangeReply> reply) {
                                    result = reply.value();
                                  }));
    });
    return result;
  }

  WorkerAgentSettings settings;
  Task task;
  Port port;
  MetricsRegistry metrics;
  std::unique_ptr<WorkerAgent<Port>> agent;
  std::uint64_t sequence = 0;
  std::uint64_t exchanges = 0;
  /// Process of the agent that the exchanges are for; 0 for any.
  std::uint64_t addressed_incarnation = 0;
  /// The answer to the last heartbeat.
  bool followed = false;
};

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
