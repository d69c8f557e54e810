#ifndef PACKAGES_RPC_CLIENT_CORE_H_
#define PACKAGES_RPC_CLIENT_CORE_H_

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <grpcpp/support/client_callback.h>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "packages/core/task.h"
#include "packages/rpc/channel_pool.h"
#include "packages/rpc/rpc_types.h"

namespace carobrill::rpc::detail {

/// Maps the status of a call to a failure; `context` is the context of the
/// call.
RpcFailure FailureFromStatus(const grpc::Status& status,
                             const grpc::ClientContext& context);

/// Sets the deadline and disables wait-for-ready, so that a call to a peer that
/// refuses connections fails at once.
void ConfigureContext(grpc::ClientContext& context, Instant deadline);

/// The unfinished calls of a client. Thread-safe.
class PendingCalls {
 public:
  std::uint64_t Add(std::shared_ptr<grpc::ClientContext> context);
  void Remove(std::uint64_t call_id);
  void CancelAll();

 private:
  std::mutex mutex;
  std::uint64_t last_id = 0;
  std::map<std::uint64_t, std::shared_ptr<grpc::ClientContext>> contexts;
};

/// State shared by a client and its calls.
struct ClientState {
  explicit ClientState(Task& owner) : owner(owner) {}

  Task& owner;
  std::atomic<bool> closed = false;
  PendingCalls pending;

  /// Runs `message` on the owner's task unless the client is destroyed by then.
  static void Post(const std::shared_ptr<ClientState>& state,
                   std::function<void()> message);
};

/// Sends the unary calls of one gRPC service.
template <typename Service>
class ClientCore {
 public:
  using Stub = typename Service::Stub;

  ClientCore(Task& owner, ChannelPool& channels)
      : channels(channels), state(std::make_shared<ClientState>(owner)) {}

  // Callbacks refer to objects of the owner, so `closed` is set on its thread.
  ~ClientCore() {
    if (this->state->owner.OnOwnThread()) {
      this->state->closed = true;
    } else {
      this->state->owner.Run([this] { this->state->closed = true; });
    }
    this->state->pending.CancelAll();
  }

  ClientCore(const ClientCore&) = delete;
  ClientCore& operator=(const ClientCore&) = delete;

  std::unique_ptr<Stub> MakeStub(const std::string& address) {
    return Service::NewStub(this->channels.Get(address));
  }

  const std::shared_ptr<ClientState>& State() const { return this->state; }

  /// Sends a unary call. `method` starts it on a stub, with the arguments
  /// (async stub, context, request, reply, completion).
  template <typename Request, typename Reply, typename Method>
  void Call(const std::string& address,
            const Request& request,
            Instant deadline,
            RpcCallback<Reply> callback,
            Method method) {
    struct Unary {
      grpc::ClientContext context;
      std::unique_ptr<Stub> stub;
      Request request;
      RpcResult<Reply> reply;
      RpcCallback<Reply> callback;
    };
    auto call = std::make_shared<Unary>();
    call->stub = this->MakeStub(address);
    call->request = request;
    call->callback = std::move(callback);
    ConfigureContext(call->context, deadline);
    const auto call_id = this->state->pending.Add(
        std::shared_ptr<grpc::ClientContext>(call, &call->context));
    method(*call->stub->async(), &call->context, &call->request,
           &call->reply.value,
           [state = this->state, call, call_id](grpc::Status status) {
             state->pending.Remove(call_id);
             call->reply.failure = FailureFromStatus(status, call->context);
             call->reply.detail = status.error_message();
             ClientState::Post(
                 state, [call] { call->callback(std::move(call->reply)); });
           });
  }

 private:
  ChannelPool& channels;
  std::shared_ptr<ClientState> state;
};

}  // namespace carobrill::rpc::detail

#endif  // PACKAGES_RPC_CLIENT_CORE_H_
