#include "packages/rpc/worker_control_server.h"

#include <utility>

#include "packages/rpc/server_core.h"
#include "packages/rpc/worker_control.grpc.pb.h"

namespace carobrill::rpc {
namespace {

using State = std::shared_ptr<detail::ServerState<WorkerControlHandlers>>;

class Service final : public WorkerControl::CallbackService {
 public:
  explicit Service(State state) : state(std::move(state)) {}

  grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* /*context*/,
                                     const ExchangeRequest* request,
                                     ExchangeReply* reply) override {
    return detail::Dispatch(this->state, &WorkerControlHandlers::exchange,
                            *request, reply);
  }

 private:
  State state;
};

}  // namespace

class WorkerControlServer::Impl
    : public detail::ServerCore<Service, WorkerControlHandlers> {
 public:
  using ServerCore::ServerCore;
};

WorkerControlServer::WorkerControlServer(Task& owner,
                                         WorkerControlHandlers handlers)
    : impl(std::make_unique<Impl>(owner, std::move(handlers))) {}

WorkerControlServer::~WorkerControlServer() = default;

Result<std::uint16_t> WorkerControlServer::Listen(const std::string& address,
                                                  std::uint16_t port) {
  return this->impl->Listen(address, port);
}

}  // namespace carobrill::rpc
