#ifndef PACKAGES_RPC_UNARY_CLIENT_H_
#define PACKAGES_RPC_UNARY_CLIENT_H_

#include <grpcpp/completion_queue.h>
#include <grpcpp/support/async_unary_call.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "packages/core/task.h"
#include "packages/rpc/channel_pool.h"
#include "packages/rpc/client_core.h"
#include "packages/rpc/rpc_types.h"

namespace carobrill::rpc::detail {

/// Client for one unary method. Uses its own completion queue with one thread,
/// because the queue behind gRPC's callback interface polls with several
/// threads, which cost 0.1 of a core per process in the platform's CPU
/// accounting.
template <typename Request, typename Reply>
class UnaryClient {
 public:
  using Reader = std::unique_ptr<grpc::ClientAsyncResponseReader<Reply>>;
  using StartCall =
      std::function<Reader(const std::shared_ptr<grpc::Channel>& channel,
                           grpc::ClientContext* context,
                           const Request& request,
                           grpc::CompletionQueue* queue)>;

  /// `start_call` starts a call of the method; `owner` and `channels` must
  /// outlive the client.
  UnaryClient(Task& owner, ChannelPool& channels, StartCall start_call)
      : channels(channels),
        start_call(std::move(start_call)),
        state(std::make_shared<ClientState>(owner)),
        poller([this] { this->Poll(); }) {}

  /// Cancels the calls in flight; their callbacks do not run.
  ~UnaryClient() {
    if (this->state->owner.OnOwnThread()) {
      this->state->closed = true;
    } else {
      this->state->owner.Run([this] { this->state->closed = true; });
    }
    this->state->pending.CancelAll();
    this->queue.Shutdown();
    this->poller.join();
  }

  UnaryClient(const UnaryClient&) = delete;
  UnaryClient& operator=(const UnaryClient&) = delete;

  /// Sends one call; fails at `deadline` (boot clock).
  void Send(const std::string& address,
            const Request& request,
            Instant deadline,
            RpcCallback<Reply> callback) {
    auto call = std::make_shared<Call>();
    call->callback = std::move(callback);
    ConfigureContext(call->context, deadline);
    call->call_id = this->state->pending.Add(
        std::shared_ptr<grpc::ClientContext>(call, &call->context));
    call->reader = this->start_call(this->channels.Get(address), &call->context,
                                    request, &this->queue);
    // The completion-queue tag owns the call until the queue returns it.
    call->reader->Finish(&call->reply.value, &call->status,
                         new std::shared_ptr<Call>(call));
  }

 private:
  struct Call {
    grpc::ClientContext context;
    Reader reader;
    grpc::Status status;
    RpcResult<Reply> reply;
    RpcCallback<Reply> callback;
    std::uint64_t call_id = 0;
  };

  void Poll() {
    void* tag = nullptr;
    bool ok = false;
    while (this->queue.Next(&tag, &ok)) {
      const std::unique_ptr<std::shared_ptr<Call>> owned(
          static_cast<std::shared_ptr<Call>*>(tag));
      const std::shared_ptr<Call> call = *owned;
      this->state->pending.Remove(call->call_id);
      call->reply.failure = FailureFromStatus(call->status, call->context);
      call->reply.detail = call->status.error_message();
      ClientState::Post(this->state,
                        [call] { call->callback(std::move(call->reply)); });
    }
  }

  ChannelPool& channels;
  StartCall start_call;
  std::shared_ptr<ClientState> state;
  grpc::CompletionQueue queue;
  std::thread poller;
};

}  // namespace carobrill::rpc::detail

#endif  // PACKAGES_RPC_UNARY_CLIENT_H_
