#include "packages/daemon/settings_limits.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace carobrill::daemon {
namespace {

/// Used where the size of the instance is unknown.
constexpr double kDefaultMemoryMb = 512;
constexpr std::int64_t kDefaultDescriptors = 4'096;

/// Held data takes up to three times its size while buffers grow, and the
/// process itself needs 25 MB to 60 MB of the 120 MB of the smallest gateway.
constexpr double kMemoryShare = 8;
constexpr double kBytesPerMb = 1024 * 1024;

/// The platform reserves 200 descriptors for files. Half of the others remain
/// for the store, the agents and the status ports.
constexpr std::int64_t kReservedDescriptors = 200;
constexpr std::int64_t kDescriptorShare = 2;
constexpr std::int64_t kMinConnections = 64;

/// Share of the status ports in the limits of the main port. Ports have limits
/// of their own, so that a flood of one does not close connections of another.
constexpr std::size_t kStatusShare = 4;

/// Limits of a gRPC port, where they differ between the roles.
struct RpcPortSize {
  /// Share of the held data of the main port, in percent.
  std::size_t held_percent = 0;
  /// Connections of the main port for each one of the gRPC port.
  std::size_t connection_share = 0;
  std::size_t max_calls = 0;
  std::size_t max_calls_per_connection = 0;
};

constexpr std::size_t kPercent = 100;
constexpr std::size_t kMinRpcConnections = 16;
constexpr std::size_t kDescriptorsPerRpcConnection = 3;

// Gateways and worker agents are called by gateways only. An agent gets the
// requests for its endpoint from a few entries; an entry gets the announcements
// of all agents, one call for each.
constexpr RpcPortSize RpcPortSizeOf(Role role) {
  switch (role) {
    case Role::kGateway:
    case Role::kWorkerAgent:
      return {50, 16, 128, 32};
    case Role::kAgent:
      return {200, 16, 1'024, 1'024};
    case Role::kEntry:
      return {100, 2, 2'048, 32};
  }
  return {};
}

/// Connections of the main port for each call of a peer, which takes a
/// connection to the store.
constexpr std::size_t kPeerCallShare = 4;

std::size_t OrDerived(std::int64_t setting, std::int64_t derived) {
  return static_cast<std::size_t>(setting != 0 ? setting : derived);
}

http::ClientLimits CommonLimits(const ClientSettings& clients) {
  http::ClientLimits limits;
  limits.max_head_bytes = static_cast<std::size_t>(clients.max_head_bytes);
  limits.max_body_bytes = static_cast<std::size_t>(clients.max_body_bytes);
  limits.max_head_ms = clients.max_head_ms;
  limits.max_body_ms = clients.max_body_ms;
  limits.max_response_ms = clients.max_response_ms;
  return limits;
}

http::ClientLimits LimitsOf(const InstanceSettings& instance,
                            std::size_t share) {
  const ClientSettings& clients = instance.clients;
  const double memory_mb =
      instance.memory_mb > 0 ? instance.memory_mb : kDefaultMemoryMb;
  const std::int64_t descriptors = instance.max_descriptors > 0
                                       ? instance.max_descriptors
                                       : kDefaultDescriptors;
  http::ClientLimits limits = CommonLimits(clients);
  limits.max_held_bytes = OrDerived(
      clients.max_held_kb * 1024,
      static_cast<std::int64_t>(memory_mb * kBytesPerMb / kMemoryShare) /
          static_cast<std::int64_t>(share));
  limits.max_connections = OrDerived(
      clients.max_connections,
      std::max(kMinConnections, (descriptors - kReservedDescriptors) /
                                    kDescriptorShare /
                                    static_cast<std::int64_t>(share)));
  limits.max_connections_per_address =
      OrDerived(clients.max_connections_per_address,
                static_cast<std::int64_t>(limits.max_connections / 2));
  return limits;
}

}  // namespace

http::ClientLimits MainPortLimits(const InstanceSettings& instance) {
  return LimitsOf(instance, 1);
}

http::ClientLimits StatusPortLimits(const InstanceSettings& instance) {
  return LimitsOf(instance, kStatusShare);
}

// A limit that was set applies to each port: the held data, and the connections
// by the descriptors that they take.
rpc::RpcLimits RpcPortLimits(Role role, const InstanceSettings& instance) {
  const http::ClientLimits main = MainPortLimits(instance);
  const RpcPortSize size = RpcPortSizeOf(role);
  rpc::RpcLimits limits;
  limits.max_held_bytes =
      instance.clients.max_held_kb != 0
          ? main.max_held_bytes
          : main.max_held_bytes * size.held_percent / kPercent;
  const std::size_t share =
      instance.clients.max_connections != 0
          ? std::max(size.connection_share, kDescriptorsPerRpcConnection)
          : size.connection_share;
  limits.max_connections =
      std::max(kMinRpcConnections, main.max_connections / share);
  limits.max_connections_per_address = std::max(
      kMinRpcConnections / 2, main.max_connections_per_address / share);
  limits.max_calls = OrDerived(instance.clients.max_calls,
                               static_cast<std::int64_t>(size.max_calls));
  limits.max_calls_per_connection = std::min(
      OrDerived(instance.clients.max_calls_per_connection,
                static_cast<std::int64_t>(size.max_calls_per_connection)),
      limits.max_calls);
  limits.max_head_bytes =
      static_cast<std::size_t>(instance.clients.max_call_head_bytes);
  limits.max_empty_frames =
      static_cast<std::size_t>(instance.clients.max_empty_frames);
  limits.networks = instance.clients.rpc_networks;
  limits.max_head_ms = main.max_head_ms;
  limits.max_request_ms = main.max_body_ms;
  limits.max_reply_ms = main.max_response_ms;
  return limits;
}

// A limit for connections also bounds the descriptors that callers take without
// one: any client of the gRPC port may cause calls of the store.
PeerCallLimits PeerCallLimitsOf(const Settings& settings) {
  const auto max_calls =
      static_cast<std::size_t>(settings.gateway.max_peer_calls);
  const auto max_waits =
      static_cast<std::size_t>(settings.gateway.max_peer_waits);
  const std::size_t connections =
      MainPortLimits(settings.instance).max_connections;
  PeerCallLimits limits;
  limits.max_calls = std::min(
      max_calls, std::max<std::size_t>(1, connections / kPeerCallShare));
  limits.max_waits = max_waits * limits.max_calls / max_calls;
  return limits;
}

}  // namespace carobrill::daemon
