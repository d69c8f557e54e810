#include "packages/gateway/worker_link.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace carobrill::gateway {
namespace {

TEST_CASE("an order carries what the run takes of the worker's capacity") {
  // Guards against an agent that cannot check a capacity that has shrunk.
  Task task("test");
  std::vector<rpc::ExchangeRequest> requests;
  std::vector<rpc::RpcCallback<rpc::ExchangeReply>> replies;
  std::unique_ptr<WorkerLink> link;
  WorkerLinkCallbacks callbacks;
  callbacks.on_report = [](const InstanceId&, const rpc::ExchangeReply&,
                           Instant) {};
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
