#ifndef PACKAGES_RPC_AGENT_SERVER_H_
#define PACKAGES_RPC_AGENT_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "packages/core/metrics.h"
#include "packages/core/result.h"
#include "packages/core/task.h"
#include "packages/rpc/control.pb.h"
#include "packages/rpc/rpc_limits.h"
#include "packages/rpc/rpc_types.h"

namespace carobrill::rpc {

/// Handlers for the calls of the service Agent; all run on the owner's task.
struct AgentHandlers {
  std::function<void(ExecuteRequest, Responder<ExecuteReply>)> execute;
  std::function<void(FenceClaimRequest, Responder<FenceClaimReply>)>
      fence_claim;
  std::function<void(PrepareMemberRequest, Responder<MemberReply>)>
      prepare_member;
  std::function<void(StartMemberRequest, Responder<MemberReply>)> start_member;
  std::function<void(StopMemberRequest, Responder<MemberReply>)> stop_member;
  std::function<void(MemberAliveRequest, Responder<MemberAliveReply>)>
      member_alive;
  std::function<void(DrainRequest, Responder<DrainReply>)> drain;
};

/// Serves the gRPC service Agent. A call without a handler fails with
/// UNIMPLEMENTED.
class AgentServer {
 public:
  /// `owner` must outlive the server, and `metrics` as well unless it is null.
  AgentServer(Task& owner,
              AgentHandlers handlers,
              const RpcLimits& limits = {},
              MetricsRegistry* metrics = nullptr);

  /// Ends the calls in flight. No handler runs afterwards.
  ~AgentServer();

  AgentServer(const AgentServer&) = delete;
  AgentServer& operator=(const AgentServer&) = delete;

  /// Listens on an IP address; port 0 selects a free one. Returns the port.
  /// Fails with RpcListenError.
  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

  /// Refuses new calls, lets the calls in flight finish until `deadline` (boot
  /// clock) and then cancels them. `done` runs on the owner's task.
  void Shutdown(Instant deadline, std::function<void()> done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace carobrill::rpc

#endif  // PACKAGES_RPC_AGENT_SERVER_H_
