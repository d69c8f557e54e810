#ifndef PACKAGES_RPC_LOG_RELAY_CLIENT_H_
#define PACKAGES_RPC_LOG_RELAY_CLIENT_H_

#include <memory>
#include <string>

#include "packages/core/task.h"
#include "packages/core/time.h"
#include "packages/rpc/channel_pool.h"
#include "packages/rpc/log_relay.pb.h"
#include "packages/rpc/rpc_types.h"

namespace carobrill::rpc {

/// Calls other gateways by address ("ip:port"). Callbacks run on the
/// owner's task. A call is sent at most once.
class LogRelayClient {
 public:
  /// `owner` and `channels` must outlive the client.
  LogRelayClient(Task& owner, ChannelPool& channels);

  /// Cancels the calls in flight; their callbacks do not run.
  ~LogRelayClient();

  LogRelayClient(const LogRelayClient&) = delete;
  LogRelayClient& operator=(const LogRelayClient&) = delete;

  /// Asks the peer to execute one log call; fails at `deadline` (boot clock).
  void Relay(const std::string& address,
             const RelayRequest& request,
             Instant deadline,
             RpcCallback<RelayReply> callback);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace carobrill::rpc

#endif  // PACKAGES_RPC_LOG_RELAY_CLIENT_H_
