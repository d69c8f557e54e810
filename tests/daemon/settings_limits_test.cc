#include "packages/daemon/settings_limits.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace carobrill::daemon {
namespace {

TEST_CASE("limits for clients fit the smallest gateway") {
  InstanceSettings instance;
  instance.memory_mb = 120;
  instance.max_descriptors = 3'075;
  const http::ClientLimits main = MainPortLimits(instance);
  const http::ClientLimits status = StatusPortLimits(instance);
  CHECK(main.max_held_bytes == std::size_t{15} << 20);
  CHECK(main.max_connections == 1'437);
  // A load balancer opens a few hundred connections from one address.
  CHECK(main.max_connections_per_address == 718);
  CHECK(status.max_held_bytes == main.max_held_bytes / 4);
  CHECK(main.max_connections + status.max_connections + 200 < 3'075);
  const rpc::RpcLimits rpc = RpcPortLimits(Role::kGateway, instance);
  CHECK(rpc.max_held_bytes == main.max_held_bytes / 2);
  CHECK(rpc.max_connections == 89);
  CHECK(rpc.max_connections_per_address == 44);
  // Some descriptors remain for the store and the workers.
  CHECK(main.max_connections + status.max_connections +
            3 * rpc.max_connections + 200 <
        2'400);
}

TEST_CASE("an entry has room for the announcements of 900 workers") {
  const rpc::RpcLimits limits = RpcPortLimits(Role::kEntry, {});
  CHECK(limits.max_connections >= 900);
  CHECK(limits.max_calls >= 2 * 900);
  // 16 KiB for each connection and 32 KiB for each call.
  CHECK(limits.max_held_bytes >= 900 * std::size_t{48} * 1024);
}

TEST_CASE("limits for clients follow the settings") {
  InstanceSettings instance;
  instance.memory_mb = 120;
  instance.max_descriptors = 3'075;
  instance.clients.max_held_kb = 10;
  instance.clients.max_connections = 20;
  instance.clients.max_connections_per_address = 15;
  instance.clients.max_head_bytes = 9'000;
  instance.clients.max_body_bytes = 2'000;
  instance.clients.max_head_ms = 1;
  instance.clients.max_body_ms = 2;
  instance.clients.max_response_ms = 3;
  instance.clients.max_calls = 5;
  instance.clients.max_calls_per_connection = 4;
  instance.clients.max_call_head_bytes = 10'000;
  instance.clients.max_empty_frames = 50;
  instance.clients.rpc_networks = {"10.0.0.0/8"};
  for (const http::ClientLimits& limits :
       {MainPortLimits(instance), StatusPortLimits(instance)}) {
    CHECK(limits.max_held_bytes == 10 * 1024);
    CHECK(limits.max_connections == 20);
    CHECK(limits.max_connections_per_address == 15);
    CHECK(limits.max_head_bytes == 9'000);
    CHECK(limits.max_body_bytes == 2'000);
    CHECK(limits.max_head_ms == 1);
    CHECK(limits.max_body_ms == 2);
    CHECK(limits.max_response_ms == 3);
  }
  const rpc::RpcLimits limits = RpcPortLimits(Role::kWorkerAgent, instance);
  CHECK(limits.max_held_bytes == 10 * 1024);
  CHECK(limits.max_connections == 16);
  CHECK(limits.max_calls == 5);
  CHECK(limits.max_calls_per_connection == 4);
  CHECK(limits.max_head_bytes == 10'000);
  CHECK(limits.max_empty_frames == 50);
  CHECK(limits.networks == std::vector<std::string>{"10.0.0.0/8"});
  CHECK(limits.max_head_ms == 1);
  CHECK(limits.max_request_ms == 2);
  CHECK(limits.max_reply_ms == 3);
}

TEST_CASE("one gRPC connection has no more calls than its port") {
  InstanceSettings instance;
  instance.clients.max_calls = 5;
  CHECK(RpcPortLimits(Role::kAgent, instance).max_calls_per_connection == 5);
  instance.clients.max_calls_per_connection = 6;
  CHECK(RpcPortLimits(Role::kAgent, instance).max_calls_per_connection == 5);
}

TEST_CASE("an instance of unknown size has limits too") {
  const http::ClientLimits limits = MainPortLimits({});
  CHECK(limits.max_held_bytes == std::size_t{64} << 20);
  CHECK(limits.max_connections == 1'948);
}

TEST_CASE("calls of peers stay within a share of the connections") {
  // Guards against a gateway with few connections that opens 96 more to the
  // store for clients of its gRPC port.
  Settings settings;
  settings.instance.max_descriptors = 3'075;
  CHECK(PeerCallLimitsOf(settings).max_calls == 96);
  CHECK(PeerCallLimitsOf(settings).max_waits == 32);
  settings.instance.clients.max_connections = 100;
  CHECK(PeerCallLimitsOf(settings).max_calls == 25);
  CHECK(PeerCallLimitsOf(settings).max_waits == 8);
  settings.instance.clients.max_connections = 1;
  CHECK(PeerCallLimitsOf(settings).max_calls == 1);
  CHECK(PeerCallLimitsOf(settings).max_waits == 0);
  settings.gateway.max_peer_calls = 10;
  settings.gateway.max_peer_waits = 10;
  settings.instance.clients.max_connections = 100;
  CHECK(PeerCallLimitsOf(settings).max_calls == 10);
  CHECK(PeerCallLimitsOf(settings).max_waits == 10);
}

}  // namespace
}  // namespace carobrill::daemon
