#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/gateway/worker_link.h"
#include "packages/worker_agent/worker_agent.h"

namespace carobrill {
namespace {

using worker_agent::LeaseReply;
using worker_agent::LeaseRequest;
using worker_agent::OrderResult;
using worker_agent::StartReply;

constexpr std::int64_t kBornMs = 10;

/// How long the worker waits for a run to end before it answers.
constexpr std::int64_t kListWaitMs = 200;

/// A worker whose answers are scripted by the test.
struct ScriptedWorker {
  explicit ScriptedWorker(Task& task) : task(task) {}

  void Start(const worker_agent::StartOrder&,
             Instant,
             const std::function<void(StartReply)>& done) {
    ++this->starts;
    done({this->start_result, 1});
  }
  void Stop(const worker_agent::StopOrder&,
            Instant,
            const std::function<void(OrderResult)>& done) {
    ++this->stops;
    done(OrderResult::kDone);
  }
  void Throttle(const worker_agent::PaceOrder&,
                Instant,
                const std::function<void(OrderResult)>& done) const {
    done(OrderResult::kDone);
  }
  void RenewLeases(const LeaseRequest& request,
                   Instant,
                   const std::function<void(LeaseReply)>& done) {
    this->renewals += request.lease_until_worker_ms > 0 ? 1 : 0;
    const std::int64_t delay_ms = request.wait_ms > 0 ? kListWaitMs : 0;
    this->task.PostAt(BootClock{}.Now().After(delay_ms), [this, done] {
      LeaseReply reply;
      reply.worker_clock_ms = 1;
      reply.born_ms = kBornMs;
      reply.running = this->running;
      done(reply);
    });
  }

  Task& task;

  OrderResult start_result = OrderResult::kDone;
  std::vector<worker_agent::ListedRun> running;
  int starts = 0;
  int stops = 0;
  int renewals = 0;
};

/// An agent with its worker, and a planner's link to it. Another planner may
/// follow.
class TakeoverFixture {
 public:
  TakeoverFixture() : task("test"), worker(this->task) {
    this->task.Run([this] {
      worker_agent::WorkerAgentSettings settings;
      settings.instance = InstanceId("a");
      this->agent = std::make_unique<worker_agent::WorkerAgent<ScriptedWorker>>(
          this->task, this->worker, 1, settings, this->metrics);
      this->agent->Start();
      worker_agent::WorkerHeartbeat heartbeat;
      heartbeat.description.incarnation = {InstanceId("a"), WorkerId("w"),
                                           kBornMs};
      heartbeat.description.availability = workload::WorkerAvailability::kReady;
      heartbeat.description.capacity = {32'000, 128'000, 8};
      this->agent->OnHeartbeat(heartbeat, [](bool) {});
    });
    this->Connect(1);
  }
  ~TakeoverFixture() {
    this->task.Run([this] {
      this->link.reset();
      this->agent.reset();
    });
  }

  /// Lets the planner of an epoch reach the agent.
  void Connect(std::uint64_t epoch) {
    this->link = this->MakeLink("a", epoch);
    this->Settle();
    this->task.Run([this] { this->link->ConfirmRole(); });
    this->Settle();
  }

  /// Returns a link that takes the agent's address for that of `name`.
  std::unique_ptr<gateway::WorkerLink> MakeLink(const std::string& name,
                                                std::uint64_t epoch) {
    gateway::WorkerLinkCallbacks callbacks;
    callbacks.on_report = [this](const InstanceId& agent,
                                 const rpc::ExchangeReply& reply, Instant) {
      this->reports[agent.value] = reply;
    };
    callbacks.on_unreachable = [this](const InstanceId& agent) {
      this->unreachable.insert(agent.value);
    };
    callbacks.on_orders_dropped = [](const InstanceId&) {};
    callbacks.on_process_changed = [](const InstanceId&, Instant) {
      return false;
    };
    callbacks.on_superseded = [](std::uint64_t) {};
    std::unique_ptr<gateway::WorkerLink> made;
    this->task.Run([&, this] {
      made = std::make_unique<gateway::WorkerLink>(
          this->task, InstanceId(name), "address", epoch,
          gateway::WorkerLinkSettings{},
          [this](const std::string&, const rpc::ExchangeRequest& request,
                 Instant, const rpc::RpcCallback<rpc::ExchangeReply>& done) {
            this->Exchange(request, done);
          },
          callbacks);
      made->SetLeaseLimit(BootClock{}.Now().After(60'000));
    });
    return made;
  }

  void Order() {
    this->task.Run([this] {
      workload::TaskOrder order;
      order.task = this->key;
      order.run = 1;
      this->link->SetOrders({order}, 0);
    });
    this->Settle();
  }

  /// Waits until the messages between link, agent and worker have arrived.
  void Settle() { g_usleep(50'000); }

  const workload::TaskKey key{JobId("0123456789abcdef"), 0, 0, 0};
  Task task;
  ScriptedWorker worker;
  MetricsRegistry metrics;
  std::unique_ptr<worker_agent::WorkerAgent<ScriptedWorker>> agent;
  std::unique_ptr<gateway::WorkerLink> link;
  /// The last report about each agent.
  std::map<std::string, rpc::ExchangeReply> reports;
  /// Agents that could not be reached at some time.
  std::set<std::string> unreachable;

 private:
  void Exchange(const rpc::ExchangeRequest& request,
                const rpc::RpcCallback<rpc::ExchangeReply>& done) {
    this->task.Post([this, request, done] {
      this->agent->OnExchange(
          request, rpc::Responder<rpc::ExchangeReply>(
                       [this, done](std::optional<rpc::ExchangeReply> reply) {
                         // Empty when the agent is destroyed.
                         if (reply.has_value()) {
                           this->task.Post([done, reply] {
                             done({rpc::RpcFailure::kNone, {}, *reply});
                           });
                         }
                       }));
    });
  }
};

TEST_CASE("a start that was not answered is stopped after a takeover, too") {
  // Guards against a late start of a run that the next planner was refused.
  TakeoverFixture fixture;
  fixture.worker.start_result = OrderResult::kNoAnswer;
  fixture.Order();
  REQUIRE(fixture.worker.starts > 0);
  fixture.worker.start_result = OrderResult::kUnhealthy;
  fixture.Connect(2);
  fixture.Order();
  constexpr gulong kRetryUs = 300'000;
  g_usleep(kRetryUs);
  CHECK(fixture.worker.stops == 1);
}

TEST_CASE("a worker's runs go on until a new planner has sent its orders") {
  // Guards against work that is stopped because a planner is slow to plan.
  TakeoverFixture fixture;
  fixture.Order();
  REQUIRE(fixture.worker.starts == 1);
  fixture.worker.running.push_back({fixture.key, 1, 10, {}, 0});
  fixture.Connect(2);
  constexpr gulong kLongerThanGraceUs = 1'300'000;
  g_usleep(kLongerThanGraceUs);
  CHECK(fixture.worker.stops == 0);
  CHECK(fixture.worker.starts == 1);
}

TEST_CASE("the first lease is renewed before the planner has sent its orders") {
  // Guards against leases that end while a new planner is slow to plan.
  TakeoverFixture fixture;
  CHECK(fixture.reports["a"].worker().id() == "w");
  CHECK(fixture.worker.renewals == 1);
}

TEST_CASE("an agent follows a link that replaces another one") {
  // Guards against orders and leases that an agent takes for outdated after its
  // address was removed and registered again.
  TakeoverFixture fixture;
  constexpr int kExchanges = 20;
  for (int i = 0; i < kExchanges; ++i) {
    fixture.task.Run([&] {
      fixture.link->SetAcknowledgedEnd(static_cast<std::uint64_t>(i) + 1);
    });
  }
  fixture.Settle();
  fixture.Connect(1);
  fixture.Order();
  CHECK(fixture.worker.starts == 1);
}

TEST_CASE("an agent does not answer for one that had its address before") {
  // Guards against a planner that takes the worker of one agent for a new
  // incarnation of the worker of another, and gives up the runs of that one.
  TakeoverFixture fixture;
  fixture.Order();
  REQUIRE(fixture.worker.starts == 1);
  fixture.worker.running.push_back({fixture.key, 1, 10, {}, 0});
  auto other = fixture.MakeLink("b", 1);
  constexpr gulong kLongerThanGraceUs = 1'500'000;
  g_usleep(kLongerThanGraceUs);
  fixture.task.Run([&] { other->SetOrders({}, 0); });
  g_usleep(kLongerThanGraceUs);
  CHECK(fixture.unreachable == std::set<std::string>{"b"});
  CHECK(!fixture.reports.contains("b"));
  CHECK(fixture.worker.stops == 0);
  fixture.task.Run([&] { other.reset(); });
}

}  // namespace
}  // namespace carobrill
