#include "packages/rpc/log_relay_server.h"

#include <utility>

#include "packages/core/keyed_log.h"
#include "packages/rpc/blocking_call.h"
#include "packages/rpc/log_relay.grpc.pb.h"

namespace carobrill::rpc {
namespace {

using State = std::shared_ptr<detail::ServerState<LogRelayHandlers>>;

class Service final : public LogRelay::Service {
 public:
  explicit Service(State state) : state(std::move(state)) {}

  grpc::Status Relay(grpc::ServerContext* /*context*/,
                     const RelayRequest* request,
                     RelayReply* reply) override {
    RelayReply shutdown_reply;
    shutdown_reply.set_failure(
        static_cast<std::uint32_t>(KeyedLogFailure::kNoAnswer));
    return detail::ServeBlocking(this->state, &LogRelayHandlers::relay,
                                 *request, shutdown_reply, *reply);
  }

 private:
  State state;
};

}  // namespace

class LogRelayServer::Impl
    : public detail::ServerCore<Service, LogRelayHandlers> {
 public:
  using ServerCore::ServerCore;
};

LogRelayServer::LogRelayServer(Task& owner, LogRelayHandlers handlers)
    : impl(std::make_unique<Impl>(owner, std::move(handlers))) {}

LogRelayServer::~LogRelayServer() = default;

Result<std::uint16_t> LogRelayServer::Listen(const std::string& address,
                                             std::uint16_t port) {
  return this->impl->Listen(address, port);
}

}  // namespace carobrill::rpc
