#ifndef PACKAGES_RPC_LOG_RELAY_SERVER_H_
#define PACKAGES_RPC_LOG_RELAY_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "packages/core/metrics.h"
#include "packages/core/result.h"
#include "packages/core/task.h"
#include "packages/rpc/log_relay.pb.h"
#include "packages/rpc/rpc_limits.h"
#include "packages/rpc/rpc_types.h"

namespace carobrill::rpc {

/// Handler for the calls of peer gateways; runs on the owner's task.
struct LogRelayHandlers {
  std::function<void(RelayRequest, Responder<RelayReply>)> relay;
};

/// Serves the gRPC service LogRelay.
class LogRelayServer {
 public:
  /// `owner` must outlive the server, and `metrics` as well unless it is null.
  LogRelayServer(Task& owner,
                 LogRelayHandlers handlers,
                 const RpcLimits& limits = {},
                 MetricsRegistry* metrics = nullptr);

  /// Ends the calls in flight. No handler runs afterwards.
  ~LogRelayServer();

  LogRelayServer(const LogRelayServer&) = delete;
  LogRelayServer& operator=(const LogRelayServer&) = delete;

  /// Listens on an IP address; port 0 selects a free one. Returns the port.
  /// Fails with RpcListenError.
  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace carobrill::rpc

#endif  // PACKAGES_RPC_LOG_RELAY_SERVER_H_
