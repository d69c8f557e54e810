#ifndef PACKAGES_RPC_QUEUED_METHOD_H_
#define PACKAGES_RPC_QUEUED_METHOD_H_

#include <grpcpp/completion_queue.h>
#include <grpcpp/server_builder.h>
#include <grpcpp/server_context.h>
#include <grpcpp/support/async_unary_call.h>

#include <exception>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "packages/core/log.h"
#include "packages/rpc/rpc_types.h"
#include "packages/rpc/server_core.h"

namespace carobrill::rpc::detail {

/// Calls that gRPC can begin without waiting for the thread of the queue.
inline constexpr int kAwaitedCalls = 32;

/// Whether operations may still be started on a completion queue. gRPC ends the
/// process when one is started after the queue was shut down.
struct QueueGate {
  std::mutex mutex;
  bool open = true;
};

/// One call of a queued method. Only gRPC's operations keep it alive, since a
/// server shuts down once all its calls are destroyed.
template <typename Request, typename Reply>
class QueuedCall
    : public std::enable_shared_from_this<QueuedCall<Request, Reply>> {
 public:
  using OnArrived = std::function<void(const std::shared_ptr<QueuedCall>&)>;

  /// What the queue returns when an operation of the call has ended.
  struct Tag {
    std::shared_ptr<QueuedCall> call;
    void (QueuedCall::*on_event)(bool ok) = nullptr;
  };

  QueuedCall(std::shared_ptr<QueueGate> gate, OnArrived on_arrived)
      : gate(std::move(gate)), on_arrived(std::move(on_arrived)) {}

  /// Waits for a call; `request_call` takes the tag of its arrival. The gate
  /// must be locked and open.
  template <typename RequestCall>
  void Await(RequestCall request_call) {
    this->end_tag = {this->shared_from_this(), &QueuedCall::OnEnd};
    this->arrival_tag = {this->shared_from_this(), &QueuedCall::OnArrival};
    this->context.AsyncNotifyWhenDone(&this->end_tag);
    request_call(&this->context, &this->request, &this->writer,
                 &this->arrival_tag);
  }

  /// Sends the reply, or fails with UNAVAILABLE without one. Has no effect if
  /// the call has ended.
  void Answer(const std::optional<Reply>& answer) {
    const std::lock_guard lock(this->gate->mutex);
    if (!this->gate->open || std::exchange(this->ended, true)) {
      return;
    }
    this->finish_tag = {this->shared_from_this(), &QueuedCall::OnFinished};
    if (answer.has_value()) {
      this->writer.Finish(*answer, grpc::Status::OK, &this->finish_tag);
    } else {
      this->writer.FinishWithError(
          {grpc::StatusCode::UNAVAILABLE, "the call was given up"},
          &this->finish_tag);
    }
  }

  std::string Peer() const { return this->context.peer(); }

  Request TakeRequest() { return std::move(this->request); }

 private:
  // A tag keeps the call alive until its event.
  void OnArrival(bool ok) {
    const auto call = std::move(this->arrival_tag.call);
    if (ok) {
      this->on_arrived(call);
    } else {
      // The end of a call that did not arrive is not reported.
      this->end_tag.call.reset();
    }
  }

  void OnEnd(bool /*ok*/) {
    const auto call = std::move(this->end_tag.call);
    const std::lock_guard lock(this->gate->mutex);
    this->ended = true;
  }

  void OnFinished(bool /*ok*/) {
    const auto call = std::move(this->finish_tag.call);
  }

  std::shared_ptr<QueueGate> gate;
  OnArrived on_arrived;
  grpc::ServerContext context;
  Request request;
  grpc::ServerAsyncResponseWriter<Reply> writer{&this->context};
  Tag arrival_tag;
  Tag end_tag;
  Tag finish_tag;
  /// The call was answered, or its client has gone.
  bool ended = false;
};

/// Serves the only method of a gRPC service, with one thread. The handler, a
/// member of Handlers, runs on the owner's task. `kRequestCall` is a member of
/// the generated AsyncService. Used instead of gRPC's callback interface, whose
/// completion queue uses too much CPU for polling (see UnaryClient), and
/// instead of its synchronous interface, where each call takes a thread, even
/// after its client has gone.
template <typename AsyncService,
          typename Handlers,
          typename Request,
          typename Reply,
          auto kRequestCall,
          auto kHandler>
class QueuedMethod {
 public:
  /// `shutdown_reply` is sent to calls without a reply when the server is
  /// destroyed.
  QueuedMethod(std::shared_ptr<ServerState<Handlers>> state,
               Reply shutdown_reply)
      : state(std::move(state)), shutdown_reply(std::move(shutdown_reply)) {}

  ~QueuedMethod() { this->Stop(); }

  QueuedMethod(const QueuedMethod&) = delete;
  QueuedMethod& operator=(const QueuedMethod&) = delete;

  void Register(grpc::ServerBuilder& builder) {
    builder.RegisterService(&this->service);
    this->queue = builder.AddCompletionQueue();
  }

  /// Begins to serve, after the server was started.
  void Start() {
    for (int i = 0; i < kAwaitedCalls; ++i) {
      this->AwaitCall();
    }
    this->poller = std::thread([this] { this->Poll(); });
  }

  /// Must be called after the server was shut down.
  void Stop() {
    {
      const std::lock_guard lock(this->gate->mutex);
      if (!std::exchange(this->gate->open, false)) {
        return;
      }
    }
    if (this->queue != nullptr) {
      this->queue->Shutdown();
    }
    if (this->poller.joinable()) {
      this->poller.join();
    }
  }

 private:
  using Call = QueuedCall<Request, Reply>;

  void AwaitCall() {
    const std::lock_guard lock(this->gate->mutex);
    if (!this->gate->open) {
      return;
    }
    auto call = std::make_shared<Call>(
        this->gate, [this](const std::shared_ptr<Call>& arrived) {
          this->AwaitCall();
          this->Serve(arrived);
        });
    call->Await([this](auto* context, auto* request, auto* writer, void* tag) {
      (this->service.*kRequestCall)(context, request, writer, this->queue.get(),
                                    this->queue.get(), tag);
    });
  }

  void Serve(const std::shared_ptr<Call>& call) {
    const std::weak_ptr<Call> reference = call;
    const auto call_id =
        this->state->open_calls.Add([reference, reply = this->shutdown_reply] {
          if (const auto open = reference.lock()) {
            open->Answer(reply);
          }
        });
    Responder<Reply> respond([state = this->state, reference,
                              call_id](const std::optional<Reply>& answer) {
      state->open_calls.Remove(call_id);
      const auto open = reference.lock();
      if (open == nullptr) {
        return;
      }
      if (answer.has_value()) {
        AccountReply(state, open->Peer(), answer->ByteSizeLong());
      }
      open->Answer(answer);
    });
    this->state->owner.Post([state = this->state, reference,
                             request = call->TakeRequest(),
                             respond = std::move(respond)]() mutable {
      // The client may have gone.
      if (state->closed || reference.expired()) {
        return;
      }
      // One call that cannot be handled must not end the process. A responder
      // without a reply ends the call.
      try {
        (state->handlers.*kHandler)(std::move(request), std::move(respond));
      } catch (const std::exception& error) {
        Log(LogLevel::kError, "call handler failed",
            {{"reason", error.what()}});
      }
    });
  }

  void Poll() {
    void* event = nullptr;
    bool ok = false;
    while (this->queue->Next(&event, &ok)) {
      const auto* tag = static_cast<const typename Call::Tag*>(event);
      // The event clears the tag.
      const std::shared_ptr<Call> call = tag->call;
      ((*call).*(tag->on_event))(ok);
    }
  }

  std::shared_ptr<ServerState<Handlers>> state;
  Reply shutdown_reply;
  AsyncService service;
  std::shared_ptr<QueueGate> gate = std::make_shared<QueueGate>();
  std::unique_ptr<grpc::ServerCompletionQueue> queue;
  std::thread poller;
};

}  // namespace carobrill::rpc::detail

#endif  // PACKAGES_RPC_QUEUED_METHOD_H_
