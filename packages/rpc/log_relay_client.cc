#include "packages/rpc/log_relay_client.h"

#include <utility>

#include "packages/rpc/log_relay.grpc.pb.h"
#include "packages/rpc/unary_client.h"

namespace carobrill::rpc {

class LogRelayClient::Impl
    : public detail::UnaryClient<RelayRequest, RelayReply> {
 public:
  Impl(Task& owner, ChannelPool& channels)
      : UnaryClient(owner,
                    channels,
                    [](const auto& channel,
                       auto* context,
                       const auto& request,
                       auto* queue) {
                      return LogRelay::NewStub(channel)->AsyncRelay(
                          context, request, queue);
                    }) {}
};

LogRelayClient::LogRelayClient(Task& owner, ChannelPool& channels)
    : impl(std::make_unique<Impl>(owner, channels)) {}

LogRelayClient::~LogRelayClient() = default;

void LogRelayClient::Relay(const std::string& address,
                           const RelayRequest& request,
                           Instant deadline,
                           RpcCallback<RelayReply> callback) {
  this->impl->Send(address, request, deadline, std::move(callback));
}

}  // namespace carobrill::rpc
