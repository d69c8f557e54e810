#ifndef PACKAGES_RPC_AGENT_CLIENT_H_
#define PACKAGES_RPC_AGENT_CLIENT_H_

#include <memory>
#include <string>

#include "packages/core/task.h"
#include "packages/core/time.h"
#include "packages/rpc/channel_pool.h"
#include "packages/rpc/control.pb.h"
#include "packages/rpc/rpc_types.h"

namespace carobrill::rpc {

/// Calls agents by address ("ip:port"). Safe from any thread; callbacks
/// run on the owner's task. A call is sent at most once.
class AgentClient {
 public:
  /// `owner` and `channels` must outlive the client.
  AgentClient(Task& owner, ChannelPool& channels);

  /// Cancels the calls in flight; their callbacks do not run.
  ~AgentClient();

  AgentClient(const AgentClient&) = delete;
  AgentClient& operator=(const AgentClient&) = delete;

  void Execute(const std::string& address,
               const ExecuteRequest& request,
               Instant deadline,
               RpcCallback<ExecuteReply> callback);
  void FenceClaim(const std::string& address,
                  const FenceClaimRequest& request,
                  Instant deadline,
                  RpcCallback<FenceClaimReply> callback);
  void PrepareMember(const std::string& address,
                     const PrepareMemberRequest& request,
                     Instant deadline,
                     RpcCallback<MemberReply> callback);
  void StartMember(const std::string& address,
                   const StartMemberRequest& request,
                   Instant deadline,
                   RpcCallback<MemberReply> callback);
  void StopMember(const std::string& address,
                  const StopMemberRequest& request,
                  Instant deadline,
                  RpcCallback<MemberReply> callback);
  void MemberAlive(const std::string& address,
                   const MemberAliveRequest& request,
                   Instant deadline,
                   RpcCallback<MemberAliveReply> callback);
  void Drain(const std::string& address,
             const DrainRequest& request,
             Instant deadline,
             RpcCallback<DrainReply> callback);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace carobrill::rpc

#endif  // PACKAGES_RPC_AGENT_CLIENT_H_
