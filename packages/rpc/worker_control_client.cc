#include "packages/rpc/worker_control_client.h"

#include <grpcpp/completion_queue.h>
#include <grpcpp/support/async_unary_call.h>

#include <thread>
#include <utility>

#include "packages/rpc/client_core.h"
#include "packages/rpc/worker_control.grpc.pb.h"

namespace carobrill::rpc {
namespace {

struct Call {
  grpc::ClientContext context;
  std::unique_ptr<WorkerControl::Stub> stub;
  std::unique_ptr<grpc::ClientAsyncResponseReader<ExchangeReply>> reader;
  grpc::Status status;
  RpcReply<ExchangeReply> reply;
  RpcCallback<ExchangeReply> callback;
  std::uint64_t number = 0;
};

}  // namespace

// Uses a completion queue of its own: the queue behind gRPC's callback
// interface polls with several threads, which took 0.1 of a core per process
// under the platform's processor accounting.
class WorkerControlClient::Impl {
 public:
  Impl(Task& owner, ChannelPool& channels)
      : channels(channels),
        state(std::make_shared<detail::ClientState>(owner)),
        poller([this] { this->Poll(); }) {}

  ~Impl() {
    if (this->state->owner.OnOwnThread()) {
      this->state->closed = true;
    } else {
      this->state->owner.Run([this] { this->state->closed = true; });
    }
    this->state->pending.CancelAll();
    this->queue.Shutdown();
    this->poller.join();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Exchange(const std::string& address,
                const ExchangeRequest& request,
                Instant deadline,
                RpcCallback<ExchangeReply> callback) {
    auto call = std::make_shared<Call>();
    call->callback = std::move(callback);
    call->stub = WorkerControl::NewStub(this->channels.Get(address));
    detail::Prepare(call->context, deadline);
    call->number = this->state->pending.Add(
        std::shared_ptr<grpc::ClientContext>(call, &call->context));
    call->reader =
        call->stub->AsyncExchange(&call->context, request, &this->queue);
    // The queue's tag owns the call until it comes back.
    call->reader->Finish(&call->reply.value, &call->status,
                         new std::shared_ptr<Call>(call));
  }

 private:
  void Poll() {
    void* tag = nullptr;
    bool ok = false;
    while (this->queue.Next(&tag, &ok)) {
      const std::unique_ptr<std::shared_ptr<Call>> owned(
          static_cast<std::shared_ptr<Call>*>(tag));
      const std::shared_ptr<Call> call = *owned;
      this->state->pending.Remove(call->number);
      call->reply.failure = detail::FailureOf(call->status, call->context);
      call->reply.detail = call->status.error_message();
      detail::ClientState::Post(
          this->state, [call] { call->callback(std::move(call->reply)); });
    }
  }

  ChannelPool& channels;
  std::shared_ptr<detail::ClientState> state;
  grpc::CompletionQueue queue;
  std::thread poller;
};

WorkerControlClient::WorkerControlClient(Task& owner, ChannelPool& channels)
    : impl(std::make_unique<Impl>(owner, channels)) {}

WorkerControlClient::~WorkerControlClient() = default;

void WorkerControlClient::Exchange(const std::string& address,
                                   const ExchangeRequest& request,
                                   Instant deadline,
                                   RpcCallback<ExchangeReply> callback) {
  this->impl->Exchange(address, request, deadline, std::move(callback));
}

}  // namespace carobrill::rpc
