#include "packages/rpc/worker_control_server.h"

#include <utility>

#include "packages/rpc/queued_method.h"
#include "packages/rpc/server_core.h"
#include "packages/rpc/worker_control.grpc.pb.h"

namespace carobrill::rpc {
namespace {

using Method =
    detail::QueuedMethod<WorkerControl::AsyncService,
                         WorkerControlHandlers,
                         ExchangeRequest,
                         ExchangeReply,
                         &WorkerControl::AsyncService::RequestExchange,
                         &WorkerControlHandlers::exchange>;

/// Sent to the calls that have no reply when the server is destroyed.
ExchangeReply ShutdownReply() {
  ExchangeReply reply;
  reply.set_accepted(false);
  return reply;
}

class Service final : public Method {
 public:
  explicit Service(
      std::shared_ptr<detail::ServerState<WorkerControlHandlers>> state)
      : Method(std::move(state), ShutdownReply()) {}
};

}  // namespace

class WorkerControlServer::Impl
    : public detail::ServerCore<Service, WorkerControlHandlers> {
 public:
  using ServerCore::ServerCore;
};

WorkerControlServer::WorkerControlServer(Task& owner,
                                         WorkerControlHandlers handlers,
                                         const RpcLimits& limits,
                                         MetricsRegistry* metrics)
    : impl(
          std::make_unique<Impl>(owner, std::move(handlers), limits, metrics)) {
}

WorkerControlServer::~WorkerControlServer() = default;

Result<std::uint16_t> WorkerControlServer::Listen(const std::string& address,
                                                  std::uint16_t port) {
  return this->impl->Listen(address, port);
}

}  // namespace carobrill::rpc
