#ifndef PACKAGES_RPC_BLOCKING_CALL_H_
#define PACKAGES_RPC_BLOCKING_CALL_H_

#include <grpcpp/support/status.h>

#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <utility>

#include "packages/rpc/rpc_types.h"
#include "packages/rpc/server_core.h"

namespace carobrill::rpc::detail {

/// Serves a call on gRPC's own thread: hands the request to `handle` on the
/// owner's task and waits for the answer. For services with few callers, since
/// the queue behind gRPC's callback interface polls too much (see UnaryClient).
/// `given_up` is the answer when the server ends.
template <typename Handlers, typename Request, typename Reply>
grpc::Status ServeBlocking(
    const std::shared_ptr<ServerState<Handlers>>& state,
    std::function<void(Request, Responder<Reply>)> Handlers::*handle,
    const Request& request,
    const Reply& given_up,
    Reply& reply) {
  using Answer = std::optional<Reply>;
  auto promise = std::make_shared<std::promise<Answer>>();
  auto future = promise->get_future();
  Responder<Reply> respond(
      [promise](Answer answer) { promise->set_value(std::move(answer)); });
  const auto number =
      state->open.Add([respond, given_up] { respond(given_up); });
  state->owner.Post(
      [state, handle, request, respond = std::move(respond)]() mutable {
        if (!state->closed) {
          (state->handlers.*handle)(std::move(request), std::move(respond));
        }
      });
  Answer answer = future.get();
  state->open.Remove(number);
  if (!answer.has_value()) {
    return {grpc::StatusCode::UNAVAILABLE, "the call was given up"};
  }
  reply = std::move(*answer);
  return grpc::Status::OK;
}

}  // namespace carobrill::rpc::detail

#endif  // PACKAGES_RPC_BLOCKING_CALL_H_
