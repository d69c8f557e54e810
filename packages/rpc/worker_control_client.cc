#include "packages/rpc/worker_control_client.h"

#include <utility>

#include "packages/rpc/unary_client.h"
#include "packages/rpc/worker_control.grpc.pb.h"

namespace carobrill::rpc {

class WorkerControlClient::Impl
    : public detail::UnaryClient<ExchangeRequest, ExchangeReply> {
 public:
  Impl(Task& owner, ChannelPool& channels)
      : UnaryClient(owner,
                    channels,
                    [](const auto& channel,
                       auto* context,
                       const auto& request,
                       auto* queue) {
                      return WorkerControl::NewStub(channel)->AsyncExchange(
                          context, request, queue);
                    }) {}
};

WorkerControlClient::WorkerControlClient(Task& owner, ChannelPool& channels)
    : impl(std::make_unique<Impl>(owner, channels)) {}

WorkerControlClient::~WorkerControlClient() = default;

void WorkerControlClient::Exchange(const std::string& address,
                                   const ExchangeRequest& request,
                                   Instant deadline,
                                   RpcCallback<ExchangeReply> callback) {
  this->impl->Send(address, request, deadline, std::move(callback));
}

}  // namespace carobrill::rpc
