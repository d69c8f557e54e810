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

/// Serves a call on a gRPC thread: posts the request to `handler` on the
/// owner's task and blocks until the reply. Suited only to services with few
/// clients. Used instead of gRPC's callback interface, whose completion queue
/// uses too much CPU for polling (see UnaryClient). `shutdown_reply` is sent
/// when the server is destroyed before a reply.
template <typename Handlers, typename Request, typename Reply>
grpc::Status ServeBlocking(
    const std::shared_ptr<ServerState<Handlers>>& state,
    std::function<void(Request, Responder<Reply>)> Handlers::*handler,
    const Request& request,
    const Reply& shutdown_reply,
    Reply& reply) {
  using Answer = std::optional<Reply>;
  auto promise = std::make_shared<std::promise<Answer>>();
  auto future = promise->get_future();
  Responder<Reply> respond(
      [promise](Answer answer) { promise->set_value(std::move(answer)); });
  const auto call_id = state->open_calls.Add(
      [respond, shutdown_reply] { respond(shutdown_reply); });
  state->owner.Post(
      [state, handler, request, respond = std::move(respond)]() mutable {
        if (!state->closed) {
          (state->handlers.*handler)(std::move(request), std::move(respond));
        }
      });
  Answer answer = future.get();
  state->open_calls.Remove(call_id);
  if (!answer.has_value()) {
    return {grpc::StatusCode::UNAVAILABLE, "the call was given up"};
  }
  reply = std::move(*answer);
  return grpc::Status::OK;
}

}  // namespace carobrill::rpc::detail

#endif  // PACKAGES_RPC_BLOCKING_CALL_H_
