#include "packages/rpc/agent_client.h"

#include <utility>

#include "packages/rpc/client_core.h"
#include "packages/rpc/control.grpc.pb.h"

namespace carobrill::rpc {

class AgentClient::Impl : public detail::ClientCore<Agent> {
 public:
  using ClientCore::ClientCore;
};

AgentClient::AgentClient(Task& owner, ChannelPool& channels)
    : impl(std::make_unique<Impl>(owner, channels)) {}

AgentClient::~AgentClient() = default;

void AgentClient::Execute(const std::string& address,
                          const ExecuteRequest& request,
                          Instant deadline,
                          RpcCallback<ExecuteReply> callback) {
  this->impl->Call<ExecuteRequest, ExecuteReply>(
      address, request, deadline, std::move(callback),
      [](auto& stub, auto... arguments) { stub.Execute(arguments...); });
}

void AgentClient::FenceClaim(const std::string& address,
                             const FenceClaimRequest& request,
                             Instant deadline,
                             RpcCallback<FenceClaimReply> callback) {
  this->impl->Call<FenceClaimRequest, FenceClaimReply>(
      address, request, deadline, std::move(callback),
      [](auto& stub, auto... arguments) { stub.FenceClaim(arguments...); });
}

void AgentClient::PrepareMember(const std::string& address,
                                const PrepareMemberRequest& request,
                                Instant deadline,
                                RpcCallback<MemberReply> callback) {
  this->impl->Call<PrepareMemberRequest, MemberReply>(
      address, request, deadline, std::move(callback),
      [](auto& stub, auto... arguments) { stub.PrepareMember(arguments...); });
}

void AgentClient::StartMember(const std::string& address,
                              const StartMemberRequest& request,
                              Instant deadline,
                              RpcCallback<MemberReply> callback) {
  this->impl->Call<StartMemberRequest, MemberReply>(
      address, request, deadline, std::move(callback),
      [](auto& stub, auto... arguments) { stub.StartMember(arguments...); });
}

void AgentClient::StopMember(const std::string& address,
                             const StopMemberRequest& request,
                             Instant deadline,
                             RpcCallback<MemberReply> callback) {
  this->impl->Call<StopMemberRequest, MemberReply>(
      address, request, deadline, std::move(callback),
      [](auto& stub, auto... arguments) { stub.StopMember(arguments...); });
}

void AgentClient::MemberAlive(const std::string& address,
                              const MemberAliveRequest& request,
                              Instant deadline,
                              RpcCallback<MemberAliveReply> callback) {
  this->impl->Call<MemberAliveRequest, MemberAliveReply>(
      address, request, deadline, std::move(callback),
      [](auto& stub, auto... arguments) { stub.MemberAlive(arguments...); });
}

void AgentClient::Drain(const std::string& address,
                        const DrainRequest& request,
                        Instant deadline,
                        RpcCallback<DrainReply> callback) {
  this->impl->Call<DrainRequest, DrainReply>(
      address, request, deadline, std::move(callback),
      [](auto& stub, auto... arguments) { stub.Drain(arguments...); });
}

}  // namespace carobrill::rpc
