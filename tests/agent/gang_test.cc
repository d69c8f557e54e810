#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

#include "packages/agent/gang_table.h"
#include "tests/agent/fixtures.h"
#include "tests/agent/gang_simulation.h"

namespace carobrill::agent {
namespace {

constexpr std::int64_t kFaultyMs = 15'000;
constexpr std::int64_t kQuietMs = 60'000;

Faults AnyFaults() {
  Faults faults;
  faults.seed = *rc::gen::arbitrary<unsigned>();
  faults.loss_percent = *rc::gen::element(0U, 5U, 30U, 80U);
  faults.repeat_percent = *rc::gen::element(0U, 30U);
  faults.longest_delay_ms = *rc::gen::element<std::int64_t>(20, 300, 900);
  faults.until_ms = kFaultyMs;
  faults.freezes = *rc::gen::inRange(0U, 4U);
  faults.gate_changes = *rc::gen::inRange(0U, 3U);
  faults.member_failures = *rc::gen::element(0U, 0U, 40U);
  faults.stop_by_planner = *rc::gen::arbitrary<bool>();
  return faults;
}

std::string First(const GangSimulation& simulation) {
  return simulation.violations.empty() ? "" : simulation.violations.front();
}

// Guards against gangs that run in part, tasks that start twice, too late or
// beyond what the worker has, and ends that are reported too early; under lost,
// repeated and late messages and frozen agents. Two gangs compete for the same
// accelerators.
TEST_CASE("holds.whole_gang: faults of network and agents in any mixture") {
  CHECK(rc::check([] {
    const Faults faults = AnyFaults();
    GangSimulation simulation(*rc::gen::inRange(1U, 6U), faults);
    simulation.StartGang("a", 4);
    if (*rc::gen::arbitrary<bool>()) {
      simulation.StartGang("b", 8);
    }
    simulation.Run(kFaultyMs + kQuietMs);
    RC_ASSERT(First(simulation) == "");
    // Whatever happened, cells and reports are free in the end.
    RC_ASSERT(simulation.AllEmpty());
  }));
}

TEST_CASE("a gang without faults runs to its end on all members") {
  GangSimulation simulation(5, {});
  simulation.StartGang("a", 8);
  simulation.Run(30'000);
  CHECK(First(simulation).empty());
  CHECK(simulation.outcomes.at("a") == rpc::GANG_PHASE_SUCCEEDED);
  CHECK(simulation.AllEmpty());
}

/// One agent with a worker of 8 accelerators.
struct OneAgent {
  OneAgent() {
    this->parts.GrantLease(this->self, this->now);
    this->table.OnWorkerSize({8'000, 8'000, 8});
    this->table.OnTaskList({}, this->now, this->now);
  }

  rpc::GangMember Spec(const std::string& job,
                       std::uint32_t first,
                       std::uint32_t count) const {
    rpc::GangMember spec;
    spec.set_job(job);
    spec.set_attempt(1);
    spec.set_members(2);
    spec.set_first_accelerator(first);
    spec.set_accelerators(count);
    spec.set_cores_milli(count * 1'000);
    spec.set_memory_mb(count * 1'000);
    spec.set_watcher(this->self.instance.value);
    spec.set_watcher_incarnation(this->self.incarnation);
    return spec;
  }

  rpc::Refusal Prepare(const rpc::GangMember& spec) {
    rpc::PrepareMemberRequest request;
    *request.mutable_peers() = FromEntry(this->self);
    *request.mutable_member() = spec;
    request.set_promise_ms(2'000);
    return this->table.Prepare(request, this->now).refusal();
  }

  rpc::Refusal Start(const rpc::GangMember& spec) {
    rpc::StartMemberRequest request;
    *request.mutable_peers() = FromEntry(this->self);
    *request.mutable_member() = spec;
    return this->table.Start(request, this->now, this->actions).refusal();
  }

  void Wait(std::int64_t duration_ms) {
    this->now = this->now.After(duration_ms);
    this->parts.GrantLease(this->self, this->now);
    this->actions.clear();
    this->table.Tick(this->now, this->actions);
  }

  template <typename Action>
  std::size_t Count() const {
    std::size_t count = 0;
    for (const auto& action : this->actions) {
      count += std::holds_alternative<Action>(action) ? 1 : 0;
    }
    return count;
  }

  Identity self = IdentityOf(0);
  Admission parts{this->self};
  GangTable table{this->self, GangTiming{}, TestMemberChart(), this->parts.gate,
                  this->parts.lease};
  Instant now{100'000};
  GangActions actions;
};

// Guards against a planner that places too much: each resource on its own.
TEST_CASE("holds.never_overcommit: what does not fit is refused locally") {
  OneAgent agent;
  CHECK(agent.Prepare(agent.Spec("a", 0, 4)) == rpc::REFUSAL_NONE);
  CHECK(agent.Prepare(agent.Spec("a", 0, 4)) == rpc::REFUSAL_NONE);
  CHECK(agent.Prepare(agent.Spec("b", 3, 2)) == rpc::REFUSAL_CELL_TAKEN);
  CHECK(agent.Prepare(agent.Spec("b", 7, 2)) == rpc::REFUSAL_CELL_TAKEN);
  CHECK(agent.Prepare(agent.Spec("b", 7, 0xffffffff)) ==
        rpc::REFUSAL_CELL_TAKEN);
  auto cores = agent.Spec("b", 4, 1);
  cores.set_cores_milli(4'001);
  CHECK(agent.Prepare(cores) == rpc::REFUSAL_CELL_TAKEN);
  auto memory = agent.Spec("b", 4, 1);
  memory.set_memory_mb(0xffffffff);
  CHECK(agent.Prepare(memory) == rpc::REFUSAL_CELL_TAKEN);
  CHECK(agent.Prepare(agent.Spec("b", 4, 4)) == rpc::REFUSAL_NONE);
}

// Guards against an agent that was replaced and does not know the tasks of its
// predecessor, which run until their leases end.
TEST_CASE("holds.never_overcommit: nothing fits while unknown tasks run") {
  OneAgent agent;
  TaskList tasks;
  tasks["earlier.1.0"].state = TaskState::kRunning;
  agent.table.OnTaskList(tasks, agent.now, agent.now);
  CHECK(agent.Prepare(agent.Spec("a", 0, 1)) == rpc::REFUSAL_CELL_TAKEN);
  tasks["earlier.1.0"].state = TaskState::kLapsed;
  agent.table.OnTaskList(tasks, agent.now, agent.now);
  CHECK(agent.Prepare(agent.Spec("a", 0, 1)) == rpc::REFUSAL_NONE);
}

// Guards against a cell that is given away while the task of an unanswered
// start may still appear at the worker.
TEST_CASE("holds.never_overcommit: an unanswered start keeps its cell") {
  OneAgent agent;
  const auto spec = agent.Spec("a", 0, 8);
  agent.Prepare(spec);
  REQUIRE(agent.Start(spec) == rpc::REFUSAL_NONE);
  agent.Wait(1'000);
  agent.table.OnStarted(KeyOf(spec), StartResult::kUnknown, agent.now);
  agent.Wait(100);
  CHECK(agent.Count<StopTask>() == 1);
  agent.table.OnTaskList({}, agent.now, agent.now);
  agent.Wait(0);
  CHECK(agent.Prepare(agent.Spec("b", 0, 8)) == rpc::REFUSAL_CELL_TAKEN);
  agent.Wait(4'000);
  agent.table.OnTaskList({}, agent.now, agent.now);
  agent.Wait(0);
  CHECK(agent.Prepare(agent.Spec("b", 0, 8)) == rpc::REFUSAL_NONE);
}

// Guards against a start after the promise has ended, when the cell may have
// been given to another gang, and against a freeze between the two messages.
TEST_CASE("a start after the promise or after a stop is refused") {
  OneAgent agent;
  const auto spec = agent.Spec("a", 0, 8);
  agent.Prepare(spec);
  agent.now = agent.now.After(2'000);
  agent.parts.GrantLease(agent.self, agent.now);
  CHECK(agent.Start(spec) == rpc::REFUSAL_NOT_PREPARED);
  agent.Wait(0);
  CHECK(agent.table.Empty());
  // A gang that was stopped is not prepared again by a message that is late.
  CHECK(agent.Prepare(spec) == rpc::REFUSAL_NONE);
  rpc::StopMemberRequest stop;
  *stop.mutable_peers() = FromEntry(agent.self);
  stop.set_job("a");
  stop.set_attempt(1);
  agent.table.Stop(stop, agent.now, agent.actions);
  CHECK(agent.Start(spec) == rpc::REFUSAL_NOT_PREPARED);
  CHECK(agent.Prepare(spec) == rpc::REFUSAL_UNKNOWN_GANG);
}

// Guards against a task that outlives its gang's watcher.
TEST_CASE(
    "holds.whole_gang: the lease is renewed only while the watcher is "
    "heard") {
  OneAgent agent;
  auto spec = agent.Spec("a", 0, 8);
  spec.set_member(1);
  spec.set_watcher("elsewhere");
  spec.set_watcher_incarnation(5);
  agent.Prepare(spec);
  REQUIRE(agent.Start(spec) == rpc::REFUSAL_NONE);
  agent.table.OnStarted(KeyOf(spec), StartResult::kStarted, agent.now);
  agent.Wait(1'000);
  CHECK(agent.Count<RenewTask>() == 1);
  // A reply that is read late tells when the watcher was heard.
  rpc::MemberAliveReply reply;
  *reply.mutable_peers() =
      PeersTo(IdentityOf(1), agent.self.instance.value, agent.self.incarnation);
  reply.mutable_peers()->set_sender_incarnation(5);
  const Instant sent_at = agent.now.After(-1'000);
  agent.now = agent.now.After(900);
  agent.table.OnAliveReply(KeyOf(spec), reply, sent_at, agent.now);
  agent.Wait(100);
  CHECK(agent.Count<RenewTask>() == 0);
  agent.Wait(2'900);
  CHECK(agent.Count<StopTask>() == 0);
  // The task has lapsed; hearing the watcher now does not bring it back.
  agent.now = agent.now.After(200);
  agent.table.OnAliveReply(KeyOf(spec), reply, agent.now, agent.now);
  agent.Wait(0);
  CHECK(agent.Count<RenewTask>() == 0);
  CHECK(agent.Count<StopTask>() == 1);
  // The worker may not have received the call.
  agent.Wait(1'000);
  CHECK(agent.Count<StopTask>() == 1);
}

// Guards against a watcher that waits for ever for a member that fell silent or
// never started, and against an end that is undone by a late heartbeat.
TEST_CASE("holds.whole_gang: the watcher stops a gang that is not whole") {
  OneAgent agent;
  GangWatcher watcher(agent.self, GangTiming{}, agent.Spec("a", 0, 4));
  const auto alive = [&](std::uint32_t member, rpc::GangPhase phase) {
    rpc::MemberAliveRequest request;
    request.set_member(member);
    request.set_phase(phase);
    return watcher.OnAlive(request, agent.now).stop();
  };
  alive(0, rpc::GANG_PHASE_RUNNING);
  SUBCASE("a member has not started") {
    agent.now = agent.now.After(1'900);
    CHECK_FALSE(alive(0, rpc::GANG_PHASE_RUNNING));
    CHECK_FALSE(alive(1, rpc::GANG_PHASE_STARTING));
    agent.now = agent.now.After(100);
    CHECK(alive(0, rpc::GANG_PHASE_RUNNING));
  }
  SUBCASE("a member is silent") {
    alive(1, rpc::GANG_PHASE_RUNNING);
    agent.now = agent.now.After(1'900);
    CHECK_FALSE(alive(0, rpc::GANG_PHASE_RUNNING));
    agent.now = agent.now.After(100);
    CHECK(alive(0, rpc::GANG_PHASE_RUNNING));
  }
  SUBCASE("a member ended and an older heartbeat follows") {
    alive(1, rpc::GANG_PHASE_SUCCEEDED);
    alive(1, rpc::GANG_PHASE_RUNNING);
    alive(0, rpc::GANG_PHASE_SUCCEEDED);
    watcher.Tick(agent.now, agent.actions);
    CHECK(watcher.Report().phase() == rpc::GANG_PHASE_SUCCEEDED);
  }
}

// Guards against an end that is reported while a member that was never heard
// may still start within its promise, or runs until its lease ends.
TEST_CASE("a gang ends only when no member can run any more") {
  OneAgent agent;
  GangWatcher watcher(agent.self, GangTiming{}, agent.Spec("a", 0, 4));
  watcher.ExtendPromise(agent.now.After(10'000));
  rpc::MemberAliveRequest request;
  request.set_phase(rpc::GANG_PHASE_FAILED);
  watcher.OnAlive(request, agent.now);
  watcher.Tick(agent.now.After(15'900), agent.actions);
  CHECK_FALSE(watcher.Ended());
  watcher.Tick(agent.now.After(16'000), agent.actions);
  CHECK(watcher.Ended());
}

// Guards against a gang that goes on for a watcher that was restarted and does
// not know it.
TEST_CASE("holds.whole_gang: another incarnation of the watcher stops it") {
  OneAgent agent;
  rpc::MemberAliveRequest alive;
  *alive.mutable_peers() =
      PeersTo(IdentityOf(1), agent.self.instance.value, agent.self.incarnation);
  alive.set_job("unknown");
  CHECK(agent.table.OnAlive(alive, agent.now).stop());
  OneAgent member;
  auto spec = member.Spec("a", 0, 8);
  spec.set_member(1);
  spec.set_watcher("elsewhere");
  spec.set_watcher_incarnation(5);
  member.Prepare(spec);
  member.Start(spec);
  member.table.OnStarted(KeyOf(spec), StartResult::kStarted, member.now);
  rpc::MemberAliveReply reply;
  Identity successor = IdentityOf(3);
  successor.incarnation = 6;
  *reply.mutable_peers() =
      PeersTo(successor, member.self.instance.value, member.self.incarnation);
  member.table.OnAliveReply(KeyOf(spec), reply, member.now, member.now);
  member.Wait(50);
  CHECK(member.Count<StopTask>() == 1);
}

// Guards against a checkpoint that is lost or given to another member.
TEST_CASE("a gang that stops with checkpoints reports one per member") {
  OneAgent agent;
  GangWatcher watcher(agent.self, GangTiming{}, agent.Spec("a", 0, 4));
  const auto alive = [&](std::uint32_t member, rpc::GangPhase phase) {
    rpc::MemberAliveRequest request;
    request.set_member(member);
    request.set_phase(phase);
    request.set_checkpoint("point-" + std::to_string(member));
    return watcher.OnAlive(request, agent.now);
  };
  for (const std::uint32_t member : {0U, 1U}) {
    CHECK_FALSE(alive(member, rpc::GANG_PHASE_RUNNING).stop());
  }
  watcher.Stop(true, agent.now);
  for (const std::uint32_t member : {0U, 1U}) {
    CHECK(alive(member, rpc::GANG_PHASE_STOPPING).checkpoint());
    CHECK(alive(member, rpc::GANG_PHASE_CHECKPOINTED).stop());
  }
  watcher.Tick(agent.now, agent.actions);
  CHECK(watcher.Report().phase() == rpc::GANG_PHASE_CHECKPOINTED);
  auto resumed = agent.Spec("a", 0, 4);
  resumed.set_member(1);
  resumed.set_checkpoint(watcher.Report().checkpoint());
  const GangMember member(TestMemberChart(), agent.self, GangTiming{}, resumed,
                          agent.now);
  CHECK(member.Spec().checkpoint() == "point-1");
}

// Guards against a failed worker that is not named, and a cause that is blamed
// on members which stopped because they were told to.
TEST_CASE("a failed gang names the workers that failed first") {
  OneAgent agent;
  GangWatcher watcher(agent.self, GangTiming{}, agent.Spec("a", 0, 4));
  rpc::MemberAliveRequest request;
  request.set_phase(rpc::GANG_PHASE_FAILED);
  request.set_worker("worker-bad");
  CHECK(watcher.OnAlive(request, agent.now).stop());
  request.set_member(1);
  request.set_worker("worker-good");
  watcher.OnAlive(request, agent.now);
  watcher.Tick(agent.now, agent.actions);
  const auto report = watcher.Report();
  CHECK(report.phase() == rpc::GANG_PHASE_FAILED);
  REQUIRE(report.failed_workers_size() == 1);
  CHECK(report.failed_workers(0) == "worker-bad");
  CHECK(report.failed_members(0) == 0);
}

}  // namespace
}  // namespace carobrill::agent
