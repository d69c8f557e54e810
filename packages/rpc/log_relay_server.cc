#include "packages/rpc/log_relay_server.h"

#include <utility>

#include "packages/core/keyed_log.h"
#include "packages/rpc/log_relay.grpc.pb.h"
#include "packages/rpc/queued_method.h"
#include "packages/rpc/server_core.h"

namespace carobrill::rpc {
namespace {

using Method = detail::QueuedMethod<LogRelay::AsyncService,
                                    LogRelayHandlers,
                                    RelayRequest,
                                    RelayReply,
                                    &LogRelay::AsyncService::RequestRelay,
                                    &LogRelayHandlers::relay>;

/// Sent to the calls that have no reply when the server is destroyed.
RelayReply ShutdownReply() {
  RelayReply reply;
  reply.set_failure(static_cast<std::uint32_t>(KeyedLogFailure::kNoAnswer));
  return reply;
}

class Service final : public Method {
 public:
  explicit Service(std::shared_ptr<detail::ServerState<LogRelayHandlers>> state)
      : Method(std::move(state), ShutdownReply()) {}
};

}  // namespace

class LogRelayServer::Impl
    : public detail::ServerCore<Service, LogRelayHandlers> {
 public:
  using ServerCore::ServerCore;
};

LogRelayServer::LogRelayServer(Task& owner,
                               LogRelayHandlers handlers,
                               const RpcLimits& limits,
                               MetricsRegistry* metrics)
    : impl(
          std::make_unique<Impl>(owner, std::move(handlers), limits, metrics)) {
}

LogRelayServer::~LogRelayServer() = default;

Result<std::uint16_t> LogRelayServer::Listen(const std::string& address,
                                             std::uint16_t port) {
  return this->impl->Listen(address, port);
}

}  // namespace carobrill::rpc
