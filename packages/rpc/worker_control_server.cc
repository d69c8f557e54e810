#include "packages/rpc/worker_control_server.h"

#include <utility>

#include "packages/rpc/blocking_call.h"
#include "packages/rpc/worker_control.grpc.pb.h"

namespace carobrill::rpc {
namespace {

using State = std::shared_ptr<detail::ServerState<WorkerControlHandlers>>;

class Service final : public WorkerControl::Service {
 public:
  explicit Service(State state) : state(std::move(state)) {}

  grpc::Status Exchange(grpc::ServerContext* /*context*/,
                        const ExchangeRequest* request,
                        ExchangeReply* reply) override {
    ExchangeReply shutdown_reply;
    shutdown_reply.set_accepted(false);
    return detail::ServeBlocking(this->state, &WorkerControlHandlers::exchange,
                                 *request, shutdown_reply, *reply);
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
