#include "packages/rpc/client_core.h"

namespace carobrill::rpc::detail {
namespace {

// The peer is the channel's target, without a scheme, until gRPC assigns the
// call to a connection. Before any byte is sent, it becomes the address of the
// connection with its scheme, for example "ipv4:".
bool WasAssignedToConnection(const grpc::ClientContext& context) {
  const std::string peer = context.peer();
  return peer.starts_with("ipv4:") || peer.starts_with("ipv6:") ||
         peer.starts_with("unix:");
}

}  // namespace

// Retries are disabled, so a call that was not assigned to a connection was
// never sent. An assigned call may have been delivered, whatever its status.
RpcFailure FailureFromStatus(const grpc::Status& status,
                             const grpc::ClientContext& context) {
  switch (status.error_code()) {
    case grpc::StatusCode::OK:
      return RpcFailure::kNone;
    case grpc::StatusCode::DEADLINE_EXCEEDED:
      return RpcFailure::kTimeout;
    case grpc::StatusCode::CANCELLED:
      return RpcFailure::kCancelled;
    case grpc::StatusCode::UNAVAILABLE:
      return WasAssignedToConnection(context) ? RpcFailure::kInternal
                                              : RpcFailure::kUnreachable;
    default:
      return RpcFailure::kInternal;
  }
}

void ConfigureContext(grpc::ClientContext& context, Instant deadline) {
  const auto remaining =
      std::chrono::milliseconds(deadline.RemainingMs(BootClock{}.Now()));
  context.set_deadline(std::chrono::system_clock::now() + remaining);
  context.set_wait_for_ready(false);
}

std::uint64_t PendingCalls::Add(std::shared_ptr<grpc::ClientContext> context) {
  const std::lock_guard lock(this->mutex);
  this->contexts.emplace(++this->last_id, std::move(context));
  return this->last_id;
}

void PendingCalls::Remove(std::uint64_t call_id) {
  const std::lock_guard lock(this->mutex);
  this->contexts.erase(call_id);
}

// A cancelled call may complete on this thread and call Remove, so the lock is
// not held while calls are cancelled.
void PendingCalls::CancelAll() {
  std::map<std::uint64_t, std::shared_ptr<grpc::ClientContext>> calls;
  {
    const std::lock_guard lock(this->mutex);
    calls.swap(this->contexts);
  }
  for (const auto& [call_id, context] : calls) {
    context->TryCancel();
  }
}

void ClientState::Post(const std::shared_ptr<ClientState>& state,
                       std::function<void()> message) {
  if (state->closed) {
    return;
  }
  state->owner.Post([state, message = std::move(message)] {
    if (!state->closed) {
      message();
    }
  });
}

}  // namespace carobrill::rpc::detail
