#include "packages/rpc/agent_server.h"

#include <utility>

#include "packages/rpc/control.grpc.pb.h"
#include "packages/rpc/server_core.h"

namespace carobrill::rpc {
namespace {

using State = std::shared_ptr<detail::ServerState<AgentHandlers>>;
using Context = grpc::CallbackServerContext;
using Reactor = grpc::ServerUnaryReactor;

class Service final : public Agent::CallbackService {
 public:
  explicit Service(State state) : state(std::move(state)) {}

  Reactor* Execute(Context* context,
                   const ExecuteRequest* request,
                   ExecuteReply* reply) override {
    return detail::Dispatch(this->state, &AgentHandlers::execute,
                            context->peer(), *request, reply);
  }

  Reactor* FenceClaim(Context* context,
                      const FenceClaimRequest* request,
                      FenceClaimReply* reply) override {
    return detail::Dispatch(this->state, &AgentHandlers::fence_claim,
                            context->peer(), *request, reply);
  }

  Reactor* PrepareMember(Context* context,
                         const PrepareMemberRequest* request,
                         MemberReply* reply) override {
    return detail::Dispatch(this->state, &AgentHandlers::prepare_member,
                            context->peer(), *request, reply);
  }

  Reactor* StartMember(Context* context,
                       const StartMemberRequest* request,
                       MemberReply* reply) override {
    return detail::Dispatch(this->state, &AgentHandlers::start_member,
                            context->peer(), *request, reply);
  }

  Reactor* StopMember(Context* context,
                      const StopMemberRequest* request,
                      MemberReply* reply) override {
    return detail::Dispatch(this->state, &AgentHandlers::stop_member,
                            context->peer(), *request, reply);
  }

  Reactor* MemberAlive(Context* context,
                       const MemberAliveRequest* request,
                       MemberAliveReply* reply) override {
    return detail::Dispatch(this->state, &AgentHandlers::member_alive,
                            context->peer(), *request, reply);
  }

  Reactor* Drain(Context* context,
                 const DrainRequest* request,
                 DrainReply* reply) override {
    return detail::Dispatch(this->state, &AgentHandlers::drain, context->peer(),
                            *request, reply);
  }

 private:
  State state;
};

}  // namespace

class AgentServer::Impl : public detail::ServerCore<Service, AgentHandlers> {
 public:
  using ServerCore::ServerCore;
};

AgentServer::AgentServer(Task& owner,
                         AgentHandlers handlers,
                         const RpcLimits& limits,
                         MetricsRegistry* metrics)
    : impl(
          std::make_unique<Impl>(owner, std::move(handlers), limits, metrics)) {
}

AgentServer::~AgentServer() = default;

Result<std::uint16_t> AgentServer::Listen(const std::string& address,
                                          std::uint16_t port) {
  return this->impl->Listen(address, port);
}

void AgentServer::Shutdown(Instant deadline, std::function<void()> done) {
  this->impl->Shutdown(deadline, std::move(done));
}

}  // namespace carobrill::rpc
