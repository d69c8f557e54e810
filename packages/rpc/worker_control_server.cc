#include "packages/rpc/worker_control_server.h"

#include <future>
#include <optional>
#include <utility>

#include "packages/rpc/server_core.h"
#include "packages/rpc/worker_control.grpc.pb.h"

namespace carobrill::rpc {
namespace {

using State = std::shared_ptr<detail::ServerState<WorkerControlHandlers>>;

// A call waits on gRPC's own thread: an agent has a few planners at most, and
// the queue behind gRPC's callback interface polls too much (see the client).
class Service final : public WorkerControl::Service {
 public:
  explicit Service(State state) : state(std::move(state)) {}

  grpc::Status Exchange(grpc::ServerContext* /*context*/,
                        const ExchangeRequest* request,
                        ExchangeReply* reply) override {
    using Answer = std::optional<ExchangeReply>;
    auto promise = std::make_shared<std::promise<Answer>>();
    auto future = promise->get_future();
    Responder<ExchangeReply> respond(
        [promise](Answer answer) { promise->set_value(std::move(answer)); });
    const auto number = this->state->open.Add([respond] {
      ExchangeReply refused;
      refused.set_accepted(false);
      respond(std::move(refused));
    });
    this->state->owner.Post([state = this->state, request = *request,
                             respond = std::move(respond)]() mutable {
      if (!state->closed) {
        state->handlers.exchange(std::move(request), std::move(respond));
      }
    });
    Answer answer = future.get();
    this->state->open.Remove(number);
    if (!answer.has_value()) {
      return {grpc::StatusCode::UNAVAILABLE, "the call was given up"};
    }
    *reply = std::move(*answer);
    return grpc::Status::OK;
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
