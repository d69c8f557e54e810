#include "packages/gateway/worker_link.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace carobrill::gateway {
namespace {

std::vector<workload::TaskOrder> MakeOrders() {
  workload::TaskOrder order;
  order.task = {JobId("j"), 0, 0, 0};
  order.run = 1;
  return {order};
}

/// A link whose exchanges are answered by the test.
class LinkFixture {
 public:
  LinkFixture() : task("test") {
    WorkerLinkCallbacks callbacks;
    callbacks.on_report = [this](const InstanceId&,
                                 const rpc::ExchangeReply& reply,
                                 Instant lease_expires_at) {
      this->reported_worker = reply.worker().id();
      this->lease_expires_at = lease_expires_at;
    };
    callbacks.on_orders_dropped = [](const InstanceId&) {};
    callbacks.on_process_changed = [](const InstanceId&, Instant) {
      return false;
    };
    this->task.Run([&] {
      this->link = std::make_unique<WorkerLink>(
          this->task, InstanceId("a"), "a", 1, this->settings,
          [this](const std::string&, const rpc::ExchangeRequest& request,
                 Instant, rpc::RpcCallback<rpc::ExchangeReply> callback) {
            this->request = request;
            this->callback = std::move(callback);
          },
          callbacks);
      this->link->SetLeaseLimit(BootClock{}.Now().After(60'000));
    });
  }
  ~LinkFixture() {
    this->task.Run([this] { this->link.reset(); });
  }

  /// Answers the open exchange; the link then sends the next one.
  void Report(const std::string& worker, std::uint64_t agent_incarnation) {
    this->task.Run([&] {
      rpc::RpcResult<rpc::ExchangeReply> reply;
      reply.value.set_accepted(true);
      reply.value.set_agent_incarnation(agent_incarnation);
      reply.value.mutable_worker()->set_id(worker);
      reply.value.set_agent_clock_ms(BootClock{}.Now().ms);
      const auto answer = std::exchange(this->callback, nullptr);
      answer(reply);
      this->link->ConfirmRole();
    });
  }

  WorkerLinkSettings settings;
  Task task;
  std::unique_ptr<WorkerLink> link;
  rpc::ExchangeRequest request;
  rpc::RpcCallback<rpc::ExchangeReply> callback;
  Instant lease_expires_at;
  std::string reported_worker;
};

TEST_CASE("a restarted agent is granted no lease before it knows its worker") {
  // Guards against leases that never expire after the worker is gone.
  LinkFixture fixture;
  fixture.Report("w", 1);
  CHECK(fixture.request.authority_until_agent_ms() > 0);
  fixture.Report("", 2);
  const Instant expiry = fixture.lease_expires_at;
  CHECK(fixture.request.authority_until_agent_ms() == 0);
  g_usleep(20'000);
  fixture.Report("", 2);
  CHECK(fixture.lease_expires_at == expiry);
  fixture.Report("w", 2);
  CHECK(fixture.request.authority_until_agent_ms() > 0);
}

TEST_CASE("the first report does not end a lease of an earlier planner") {
  // Guards against a task that is started elsewhere while its worker holds a
  // lease that the earlier planner granted just before.
  LinkFixture fixture;
  const Instant before = BootClock{}.Now();
  fixture.Report("", 1);
  CHECK(fixture.lease_expires_at >= before.After(fixture.settings.lease_ms));
}

TEST_CASE("a lease that new orders carry is covered by the last report") {
  // Guards against a planner that counts a worker as lost by an older lease
  // than the agent's latest one.
  LinkFixture fixture;
  fixture.Report("w", 1);
  // Longer than the margin that the planner adds to a lease.
  g_usleep(400'000);
  fixture.task.Run([&] { fixture.link->SetOrders(MakeOrders(), 0); });
  REQUIRE(fixture.request.orders_size() == 1);
  CHECK(fixture.request.authority_until_agent_ms() > 0);
  CHECK(fixture.request.authority_until_agent_ms() <=
        fixture.lease_expires_at.ms);
}

TEST_CASE("no worker is named before its orders are known") {
  // Guards against an agent that drops the runs of an earlier planner.
  LinkFixture fixture;
  fixture.Report("w", 1);
  CHECK(fixture.request.authority_until_agent_ms() > 0);
  CHECK(fixture.request.worker().id().empty());
  fixture.task.Run([&] { fixture.link->SetAcknowledgedEnd(5); });
  CHECK(fixture.request.worker().id().empty());
  SUBCASE("orders follow") {
    fixture.task.Run([&] { fixture.link->SetOrders(MakeOrders(), 5); });
    CHECK(fixture.request.orders_size() == 1);
  }
  SUBCASE("the worker has no orders") {
    fixture.task.Run([&] { fixture.link->SetOrders({}, 5); });
    CHECK(fixture.request.orders_size() == 0);
  }
  CHECK(fixture.request.worker().id() == "w");
  CHECK(fixture.request.acknowledged_end() == 5);
  fixture.Report("other", 1);
  CHECK(fixture.request.worker().id().empty());
}

TEST_CASE(
    "covers.agent_process: a late answer of an earlier process is ignored") {
  // Guards against runs that are given up because of an outdated report.
  LinkFixture fixture;
  fixture.Report("w1", 1);
  const auto late = fixture.callback;
  fixture.task.Run([&] { fixture.link->SetOrders({}, 1); });
  fixture.Report("w2", 2);
  fixture.task.Run([&] {
    rpc::RpcResult<rpc::ExchangeReply> reply;
    reply.value.set_accepted(true);
    reply.value.set_agent_incarnation(1);
    reply.value.mutable_worker()->set_id("w1");
    reply.value.set_agent_clock_ms(BootClock{}.Now().ms);
    late(reply);
  });
  CHECK(fixture.reported_worker == "w2");
}

TEST_CASE("an order carries what the run takes of the worker's capacity") {
  // Guards against an agent that cannot check a capacity that has shrunk.
  Task task("test");
  std::vector<rpc::ExchangeRequest> requests;
  std::vector<rpc::RpcCallback<rpc::ExchangeReply>> replies;
  std::unique_ptr<WorkerLink> link;
  WorkerLinkCallbacks callbacks;
  callbacks.on_report = [](const InstanceId&, const rpc::ExchangeReply&,
                           Instant) {};
  callbacks.on_process_changed = [](const InstanceId&, Instant) {
    return false;
  };
  task.Run([&] {
    link = std::make_unique<WorkerLink>(
        task, InstanceId("a"), "a", 1, WorkerLinkSettings{},
        [&](const std::string&, const rpc::ExchangeRequest& request, Instant,
            rpc::RpcCallback<rpc::ExchangeReply> callback) {
          requests.push_back(request);
          replies.push_back(std::move(callback));
        },
        callbacks);
    rpc::RpcResult<rpc::ExchangeReply> reply;
    reply.value.set_accepted(true);
    const auto answer_first = replies.front();
    answer_first(reply);
    link->ConfirmRole();
    workload::TaskOrder order;
    order.task = {JobId("j"), 0, 0, 0};
    order.run = 1;
    order.demand = {1'000, 2'000, 3};
    link->SetOrders({order}, 0);
    link.reset();
  });
  REQUIRE(!requests.empty());
  REQUIRE(requests.back().orders_size() == 1);
  CHECK(requests.back().orders(0).cpu_millis() == 1'000);
  CHECK(requests.back().orders(0).memory_mb() == 2'000);
  CHECK(requests.back().orders(0).accelerators() == 3);
}

}  // namespace
}  // namespace carobrill::gateway
