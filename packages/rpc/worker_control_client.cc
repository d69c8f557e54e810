#include "packages/rpc/worker_control_client.h"

#include <utility>

#include "packages/rpc/client_core.h"
#include "packages/rpc/worker_control.grpc.pb.h"

namespace carobrill::rpc {

class WorkerControlClient::Impl : public detail::ClientCore<WorkerControl> {
 public:
  using ClientCore::ClientCore;
};

WorkerControlClient::WorkerControlClient(Task& owner, ChannelPool& channels)
    : impl(std::make_unique<Impl>(owner, channels)) {}

WorkerControlClient::~WorkerControlClient() = default;

void WorkerControlClient::Exchange(const std::string& address,
                                   const ExchangeRequest& request,
                                   Instant deadline,
                                   RpcCallback<ExchangeReply> callback) {
  this->impl->Call<ExchangeRequest, ExchangeReply>(
      address, request, deadline, std::move(callback),
      [](auto& stub, auto... arguments) { stub.Exchange(arguments...); });
}

}  // namespace carobrill::rpc
