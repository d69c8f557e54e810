#include "packages/gateway/planner_session.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "packages/gateway/lease_bounds.h"
#include "tests/gateway/faulty_log.h"
#include "tests/gateway/memory_log.h"

namespace carobrill::gateway {
namespace {

constexpr std::int64_t kLeaseMs = 1'000;
/// Delay of each answer. Longer than the margin that the planner adds to a
/// lease, so that a lease that is dated by the exchange before ends too early.
constexpr std::int64_t kAnswerDelayMs = 400;
constexpr std::int64_t kWaitLimitMs = 5'000;

/// Agent whose answers are scripted by the test. It runs what it is ordered to.
struct ScriptedAgent {
  bool answers = true;
  /// The agent rejects the exchanges that it answers.
  bool shutting_down = false;
  /// Planners of this epoch and later ones do not reach the agent.
  std::uint64_t unreachable_from_epoch = 1'000;
  /// Planners of earlier epochs do not reach the agent.
  std::uint64_t unreachable_below_epoch = 0;
  bool ReachableBy(std::uint64_t planner_epoch) const {
    return planner_epoch >= this->unreachable_below_epoch &&
           planner_epoch < this->unreachable_from_epoch;
  }
  /// Highest epoch that this process of the agent has followed.
  std::uint64_t epoch = 0;
  std::uint64_t incarnation = 1;
  /// Boot clock: when the agent's process started.
  std::int64_t started_at_ms = 0;
  std::uint64_t report = 0;
  std::int64_t authority_until_ms = 0;
  /// Boot clock: first request with an order to start a task; 0 for none.
  std::int64_t ordered_at_ms = 0;
  /// Highest run number that was ordered.
  std::uint32_t highest_run = 0;
};

/// A planner with two agents. Both use its clock. Another planner may follow.
class SessionFixture {
 public:
  using Session = PlannerSession<FaultyLog>;

  explicit SessionFixture(std::int64_t max_store_outage_ms = 10'000)
      : max_store_outage_ms(max_store_outage_ms),
        task("test"),
        memory(this->task),
        log(this->task, this->memory),
        successor_log(this->task, this->memory),
        planner_log(this->metrics) {
    this->task.Run([this] {
      this->session =
          this->MakeSession(1, this->log, BootClock{}.Now(), BootClock{}.Now());
      this->session->SetAgent(InstanceId("w1"), "w1");
      this->session->Start();
    });
  }

  ~SessionFixture() {
    this->task.Run([this] {
      this->session.reset();
      this->successor.reset();
    });
  }

  /// Cuts the planner off from the store, and lets another one take over that
  /// knows both agents. Its claim was sent `claim_age_ms` ago.
  void TakeOver(bool resigned, std::int64_t claim_age_ms = 0) {
    this->task.Run([&, this] {
      this->log.Reset();
      KeyedAppend claim;
      claim.topic = kProgressTopic;
      claim.writer = {2, 1};
      claim.deadline = Instant::Never();
      this->memory.Append(claim, [](const KeyedAppendReply&) {});
      const Instant earlier_leases_end =
          BootClock{}.Now().After(EarlierLeasesMs(
              {InstanceId("planner"), 1, 1, resigned, 0, {}, 0},
              InstanceId("successor"), {kLeaseMs, this->max_store_outage_ms}));
      this->successor = this->MakeSession(
          2, this->successor_log, BootClock{}.Now().After(-claim_age_ms),
          earlier_leases_end);
      for (const auto& [id, job] : this->session->Planner().Jobs()) {
        this->successor->Load(job);
      }
      this->successor->SetAgent(InstanceId("w1"), "w1");
      this->successor->SetAgent(InstanceId("w2"), "w2");
      this->successor->Start();
    });
  }

  /// Submits a job of one task.
  void Submit() {
    this->task.Run([this] {
      workload::Submission submission;
      submission.id = JobId("j");
      submission.service = ServiceId("s");
      submission.priority = 1;
      submission.max_attempts = 3;
      submission.accepted_at = WallClock{}.Now();
      workload::StepSpec step;
      step.demand = {1'000, 1'000, 1};
      step.estimate_ms = 60'000;
      submission.spec.steps = {step};
      this->session->Submit(submission);
    });
  }

  void AddSecondAgent() {
    this->task.Run([this] { this->session->SetAgent(InstanceId("w2"), "w2"); });
  }

  /// Lets the planner start a task on the first agent, and waits for a grant
  /// that follows a report of the task.
  void StartTask() {
    this->Submit();
    REQUIRE(
        this->WaitFor([this] { return this->At("w1").ordered_at_ms != 0; }));
    const std::int64_t first = this->At("w1").authority_until_ms;
    REQUIRE(this->WaitFor([&] {
      return this->At("w1").authority_until_ms >= first + 2 * kAnswerDelayMs;
    }));
  }

  /// Returns when the task was ordered from the second agent (boot clock, ms).
  std::int64_t RestartedAt() {
    REQUIRE(
        this->WaitFor([this] { return this->At("w2").ordered_at_ms != 0; }));
    return this->At("w2").ordered_at_ms;
  }

  ScriptedAgent At(const std::string& name) {
    ScriptedAgent copy;
    this->task.Run([&] { copy = this->agents[name]; });
    return copy;
  }

  bool WaitFor(const std::function<bool()>& condition) {
    const Instant end = BootClock{}.Now().After(kWaitLimitMs);
    while (BootClock{}.Now() < end) {
      if (condition()) {
        return true;
      }
      g_usleep(2'000);
    }
    return false;
  }

  std::int64_t max_store_outage_ms;
  Task task;
  MemoryLog memory;
  FaultyLog log;
  FaultyLog successor_log;
  MetricsRegistry metrics;
  PlannerLog planner_log;
  std::map<std::string, ScriptedAgent> agents;
  std::unique_ptr<Session> session;
  std::unique_ptr<Session> successor;

 private:
  std::unique_ptr<Session> MakeSession(std::uint64_t epoch,
                                       FaultyLog& planner_store,
                                       Instant claimed_at,
                                       Instant earlier_leases_end) {
    PlannerSessionSettings settings;
    settings.max_store_outage_ms = this->max_store_outage_ms;
    settings.tick_ms = 10;
    settings.link.lease_ms = kLeaseMs;
    settings.link.answer_timeout_ms = 100;
    settings.link.retry_delay_ms = 20;
    settings.link.wait_ms = kAnswerDelayMs;
    return std::make_unique<Session>(
        this->task, planner_store, InstanceId("planner"), 0,
        PlannerTerm{{epoch, 1}, claimed_at, earlier_leases_end}, settings,
        PlannerPorts{
            [this](const std::string& address,
                   const rpc::ExchangeRequest& request, Instant deadline,
                   const rpc::RpcCallback<rpc::ExchangeReply>& done) {
              this->OnExchange(address, request, deadline, done);
            },
            [](const workload::AdviceRequest&, Instant,
               const std::function<void(AdviceReply)>&) {}},
        this->planner_log, [](const std::string&) {});
  }

  static void AddRunning(const rpc::ExchangeRequest& request,
                         rpc::ExchangeReply& reply) {
    for (const auto& order : request.orders()) {
      auto* run = reply.add_running();
      *run->mutable_task() = order.task();
      run->set_run(order.run());
      run->set_percent(1);
    }
  }

  rpc::ExchangeReply ReplyOf(const std::string& name,
                             const rpc::ExchangeRequest& request) {
    ScriptedAgent& agent = this->agents[name];
    rpc::ExchangeReply reply;
    reply.set_accepted(!agent.shutting_down && request.epoch() == agent.epoch);
    reply.set_highest_epoch(agent.epoch);
    reply.set_report(++agent.report);
    reply.set_agent_clock_ms(BootClock{}.Now().ms);
    reply.set_agent_incarnation(agent.incarnation);
    reply.set_process_age_ms(BootClock{}.Now().ms - agent.started_at_ms);
    reply.mutable_worker()->set_id(name);
    reply.mutable_worker()->set_born_unix_ms(1);
    reply.set_availability(
        static_cast<std::uint32_t>(workload::WorkerAvailability::kReady));
    reply.set_service("s");
    reply.set_rack("r");
    reply.set_cpu_millis(1'000);
    reply.set_memory_mb(1'000);
    reply.set_accelerators(1);
    AddRunning(request, reply);
    return reply;
  }

  // An agent takes note of a request also when its answer is lost.
  void OnExchange(const std::string& address,
                  const rpc::ExchangeRequest& request,
                  Instant deadline,
                  const rpc::RpcCallback<rpc::ExchangeReply>& done) {
    const Instant now = BootClock{}.Now();
    ScriptedAgent& agent = this->agents[address];
    const auto time_out = [done] {
      rpc::RpcResult<rpc::ExchangeReply> reply;
      reply.failure = rpc::RpcFailure::kTimeout;
      done(reply);
    };
    if (!agent.ReachableBy(request.epoch())) {
      this->task.PostAt(deadline, time_out);
      return;
    }
    if (request.epoch() < agent.epoch) {
      done({rpc::RpcFailure::kNone, {}, this->ReplyOf(address, request)});
      return;
    }
    agent.epoch = request.epoch();
    agent.authority_until_ms =
        std::max(agent.authority_until_ms, request.authority_until_agent_ms());
    if (agent.ordered_at_ms == 0 && request.orders_size() > 0) {
      agent.ordered_at_ms = now.ms;
    }
    for (const auto& order : request.orders()) {
      agent.highest_run = std::max(agent.highest_run, order.run());
    }
    if (!agent.answers && !agent.shutting_down) {
      this->task.PostAt(deadline, time_out);
      return;
    }
    const std::int64_t delay_ms =
        request.wait_ms() > 0 && !agent.shutting_down ? kAnswerDelayMs : 0;
    this->task.PostAt(now.After(delay_ms), [=, this] {
      if (BootClock{}.Now() > deadline ||
          !this->agents[address].ReachableBy(request.epoch())) {
        time_out();
        return;
      }
      done({rpc::RpcFailure::kNone, {}, this->ReplyOf(address, request)});
    });
  }
};

TEST_CASE(
    "a task is not started elsewhere before the last granted lease ends") {
  // Guards against two runs of a task after its agent is cut off: the lease
  // that was granted after the agent's last report counts.
  SessionFixture fixture;
  fixture.StartTask();
  fixture.AddSecondAgent();
  const InstanceId agent("w1");
  fixture.task.Run([&] { fixture.agents["w1"].answers = false; });
  SUBCASE("the agent is cut off") {}
  SUBCASE("the agent shuts down and rejects exchanges") {
    fixture.task.Run([&] { fixture.agents["w1"].shutting_down = true; });
  }
  SUBCASE("the agent's address changes") {
    fixture.task.Run([&] {
      fixture.agents["other"].answers = false;
      fixture.session->SetAgent(agent, "other");
    });
  }
  SUBCASE("the agent's address is removed") {
    fixture.task.Run([&] { fixture.session->RemoveAgent(agent); });
  }
  SUBCASE("the agent's address is removed and registered again") {
    fixture.task.Run([&] {
      fixture.agents["other"].answers = false;
      fixture.session->RemoveAgent(agent);
      fixture.session->SetAgent(agent, "other");
    });
  }
  const std::int64_t restarted_at = fixture.RestartedAt();
  CHECK(restarted_at >= fixture.At("w1").authority_until_ms);
}

TEST_CASE("a paused planner keeps the runs whose leases have not ended") {
  // Guards against runs that are given up in the first pass after a pause,
  // although no worker was disturbed.
  SessionFixture fixture;
  fixture.StartTask();
  fixture.AddSecondAgent();
  const std::int64_t authority_until = fixture.At("w1").authority_until_ms;
  // The exchanges time out during the pause.
  fixture.task.Run([&] {
    const std::int64_t left = authority_until - BootClock{}.Now().ms;
    REQUIRE(left > 0);
    constexpr std::int64_t kWakesBeforeEndMs = 100;
    g_usleep(1'000 * static_cast<gulong>(left - kWakesBeforeEndMs));
  });
  g_usleep(1'000 * static_cast<gulong>(kLeaseMs));
  CHECK(fixture.At("w1").highest_run == 1);
  CHECK(fixture.At("w2").highest_run == 0);
}

TEST_CASE("a new planner waits for leases that the last one grants late") {
  // Guards against two runs of a task when a planner that has lost the store,
  // and does not know of the next one, keeps an agent that the next one does
  // not reach.
  constexpr std::int64_t kMaxStoreOutageMs = 2'000;
  SessionFixture fixture(kMaxStoreOutageMs);
  fixture.StartTask();
  fixture.task.Run([&] { fixture.agents["w1"].unreachable_from_epoch = 2; });
  const std::int64_t before = fixture.At("w1").authority_until_ms;
  fixture.TakeOver(/*resigned=*/false);
  const std::int64_t restarted_at = fixture.RestartedAt();
  const std::int64_t authority_until = fixture.At("w1").authority_until_ms;
  CHECK(authority_until > before);
  CHECK(restarted_at >= authority_until);
}

TEST_CASE("running work survives a store outage that follows a takeover") {
  // Guards against leases that lapse while the store is away for less than
  // max_store_outage_ms.
  SessionFixture fixture;
  fixture.StartTask();
  fixture.task.Run(
      [&] { fixture.successor_log.failure = KeyedLogFailure::kRefused; });
  fixture.TakeOver(/*resigned=*/false);
  g_usleep(1'000 * static_cast<gulong>(2 * kLeaseMs));
  CHECK(fixture.At("w1").epoch == 2);
  CHECK(fixture.At("w1").authority_until_ms > BootClock{}.Now().ms);
}

TEST_CASE("a restarted agent gets no lease from a planner that was replaced") {
  // Guards against two runs of a task: its agent forgets the planner in office
  // when it restarts, and follows an earlier one that is cut off.
  SessionFixture fixture;
  fixture.StartTask();
  fixture.task.Run([&] { fixture.agents["w1"].unreachable_below_epoch = 2; });
  fixture.TakeOver(/*resigned=*/true);
  REQUIRE(fixture.WaitFor([&] { return fixture.At("w1").epoch == 2; }));
  const std::int64_t before = fixture.At("w1").authority_until_ms;
  REQUIRE(fixture.WaitFor(
      [&] { return fixture.At("w1").authority_until_ms > before; }));
  fixture.task.Run([&] {
    ScriptedAgent& agent = fixture.agents["w1"];
    agent.epoch = 0;
    agent.incarnation = 2;
    agent.started_at_ms = BootClock{}.Now().ms;
    agent.unreachable_below_epoch = 0;
    agent.unreachable_from_epoch = 2;
  });
  REQUIRE(fixture.WaitFor([&] { return fixture.At("w1").epoch == 1; }));
  const std::int64_t restarted_at = fixture.RestartedAt();
  CHECK(restarted_at >= fixture.At("w1").authority_until_ms);
}

TEST_CASE(
    "a term that begins late grants no lease before an append is stored") {
  // Guards against a planner that was replaced between its claim and its term.
  SessionFixture fixture;
  fixture.StartTask();
  fixture.task.Run(
      [&] { fixture.successor_log.failure = KeyedLogFailure::kNoAnswer; });
  fixture.TakeOver(/*resigned=*/false, fixture.max_store_outage_ms);
  REQUIRE(fixture.WaitFor([&] { return fixture.At("w1").epoch == 2; }));
  const std::int64_t before = fixture.At("w1").authority_until_ms;
  g_usleep(1'000 * static_cast<gulong>(2 * kAnswerDelayMs));
  CHECK(fixture.At("w1").authority_until_ms == before);
  fixture.task.Run(
      [&] { fixture.successor_log.failure = KeyedLogFailure::kNone; });
  CHECK(fixture.WaitFor(
      [&] { return fixture.At("w1").authority_until_ms > before; }));
}

TEST_CASE("a planner that resigns grants no lease beyond the next one's wait") {
  // Guards against two runs of a task when a planner's resignation is stored,
  // its answer is lost, and the planner goes on.
  SessionFixture fixture;
  fixture.StartTask();
  fixture.task.Run([&] {
    fixture.agents["w1"].unreachable_from_epoch = 2;
    fixture.log.failure = KeyedLogFailure::kNoAnswer;
    fixture.session->Resign({});
  });
  g_usleep(50'000);
  const Instant taken_over = BootClock{}.Now();
  fixture.TakeOver(/*resigned=*/true);
  const std::int64_t restarted_at = fixture.RestartedAt();
  CHECK(restarted_at >= fixture.At("w1").authority_until_ms);
  constexpr std::int64_t kSlackMs = 300;
  CHECK(restarted_at <=
        taken_over.After(MaxLeaseDurationMs(kLeaseMs) + kSlackMs).ms);
}

}  // namespace
}  // namespace carobrill::gateway
