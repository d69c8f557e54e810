#ifndef PACKAGES_RPC_SERVER_CORE_H_
#define PACKAGES_RPC_SERVER_CORE_H_

#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <grpcpp/server_posix.h>
#include <grpcpp/support/server_callback.h>

#include <atomic>
#include <chrono>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "packages/core/log.h"
#include "packages/core/result.h"
#include "packages/core/task.h"
#include "packages/rpc/grpc_limits.h"
#include "packages/rpc/guarded_listener.h"
#include "packages/rpc/rpc_limits.h"
#include "packages/rpc/rpc_types.h"

namespace carobrill::rpc::detail {

/// The unfinished calls of a server. Thread-safe.
class OpenCalls {
 public:
  /// Registers a function that ends a call. Returns the id to pass to Remove.
  std::uint64_t Add(std::function<void()> cancel) {
    const std::lock_guard lock(this->mutex);
    this->cancels.emplace(++this->last_id, std::move(cancel));
    return this->last_id;
  }

  void Remove(std::uint64_t call_id) {
    const std::lock_guard lock(this->mutex);
    this->cancels.erase(call_id);
  }

  void CancelAll() {
    std::map<std::uint64_t, std::function<void()>> calls;
    {
      const std::lock_guard lock(this->mutex);
      calls.swap(this->cancels);
    }
    for (const auto& [call_id, cancel] : calls) {
      cancel();
    }
  }

 private:
  std::mutex mutex;
  std::uint64_t last_id = 0;
  std::map<std::uint64_t, std::function<void()>> cancels;
};

/// State shared by a server, its gRPC service and its calls.
template <typename Handlers>
struct ServerState {
  ServerState(Task& owner, Handlers handlers)
      : owner(owner), handlers(std::move(handlers)) {}

  Task& owner;
  Handlers handlers;
  std::atomic<bool> closed = false;
  OpenCalls open_calls;
  /// Used only on the owner's task, and not once `closed` is set.
  GuardedListener* listener = nullptr;
};

/// Replies up to this size, in bytes, are part of the memory that each call is
/// accounted with.
inline constexpr std::size_t kSmallReplyBytes = 4 * 1024;

/// Accounts for a reply to `peer`, which the server holds until the client
/// reads it.
template <typename Handlers>
void AccountReply(const std::shared_ptr<ServerState<Handlers>>& state,
                  const std::string& peer,
                  std::size_t bytes) {
  if (bytes <= kSmallReplyBytes) {
    return;
  }
  const auto account = [state, peer, bytes] {
    if (!state->closed) {
      state->listener->OnReply(peer, bytes);
    }
  };
  state->owner.OnOwnThread() ? account() : state->owner.Post(account);
}

/// One unary call; holds a reference to itself until OnDone.
template <typename Reply>
class UnaryCall : public grpc::ServerUnaryReactor {
 public:
  static std::shared_ptr<UnaryCall> Make(Reply* reply) {
    auto call = std::make_shared<UnaryCall>(reply);
    call->self = call;
    return call;
  }

  explicit UnaryCall(Reply* reply) : reply(reply) {}

  void Answer(std::optional<Reply> answer) {
    if (this->ended.exchange(true)) {
      return;
    }
    if (!answer.has_value()) {
      this->Finish({grpc::StatusCode::UNAVAILABLE, "the call was given up"});
      return;
    }
    this->on_reply(answer->ByteSizeLong());
    *this->reply = std::move(*answer);
    this->Finish(grpc::Status::OK);
  }

  void End(grpc::Status status) {
    if (!this->ended.exchange(true)) {
      this->Finish(std::move(status));
    }
  }

  // A call that the client has cancelled must finish here; otherwise a shutdown
  // of the server would wait for the owner's reply.
  void OnCancel() override {
    this->End({grpc::StatusCode::CANCELLED, "the caller has gone"});
  }

  void OnDone() override {
    this->on_done();
    const auto keep_alive = std::move(this->self);
  }

  std::function<void()> on_done = [] {};
  /// Called with the size of the reply, in bytes.
  std::function<void(std::size_t bytes)> on_reply = [](std::size_t) {};

 private:
  Reply* reply;
  std::atomic<bool> ended = false;
  std::shared_ptr<UnaryCall> self;
};

/// Posts a call to the owner's task, where `handler`, a member of Handlers,
/// runs.
template <typename Handlers, typename Request, typename Reply>
grpc::ServerUnaryReactor* Dispatch(
    const std::shared_ptr<ServerState<Handlers>>& state,
    std::function<void(Request, Responder<Reply>)> Handlers::*handler,
    const std::string& peer,
    const Request& request,
    Reply* reply) {
  auto call = UnaryCall<Reply>::Make(reply);
  if (!(state->handlers.*handler)) {
    call->End({grpc::StatusCode::UNIMPLEMENTED, "no handler"});
    return call.get();
  }
  const auto call_id =
      state->open_calls.Add([call] { call->Answer(std::nullopt); });
  call->on_done = [state, call_id] { state->open_calls.Remove(call_id); };
  call->on_reply = [state, peer](std::size_t bytes) {
    AccountReply(state, peer, bytes);
  };
  Responder<Reply> respond(
      [call](std::optional<Reply> answer) { call->Answer(std::move(answer)); });
  state->owner.Post([state, handler, request,
                     respond = std::move(respond)]() mutable {
    if (state->closed) {
      return;
    }
    // One call that cannot be handled must not end the process. A responder
    // without a reply ends the call.
    try {
      (state->handlers.*handler)(std::move(request), std::move(respond));
    } catch (const std::exception& error) {
      Log(LogLevel::kError, "call handler failed", {{"reason", error.what()}});
    }
  });
  return call.get();
}

/// A service that handles its calls on a thread of its own.
template <typename T>
concept QueuedService = requires(T& service, grpc::ServerBuilder& builder) {
  service.Register(builder);
  service.Start();
  service.Stop();
};

/// A gRPC server for one service, with limits for its clients and graceful
/// shutdown.
template <typename Service, typename Handlers>
class ServerCore {
 public:
  /// `metrics` may be null; otherwise it must outlive the server.
  ServerCore(Task& owner,
             Handlers handlers,
             const RpcLimits& limits,
             MetricsRegistry* metrics)
      : state(std::make_shared<ServerState<Handlers>>(owner,
                                                      std::move(handlers))),
        service(this->state),
        limits(limits),
        listener(owner, limits, metrics) {
    this->state->listener = &this->listener;
  }

  // Handlers refer to objects of the owner, so `closed` is set on its thread.
  // No connection may be passed on to a server that shuts down.
  ~ServerCore() {
    this->state->owner.Run([this] {
      this->state->closed = true;
      this->listener.StopListening();
    });
    this->state->open_calls.CancelAll();
    if (this->shutdown_thread.joinable()) {
      this->shutdown_thread.join();
    } else if (this->server != nullptr) {
      this->server->Shutdown(std::chrono::system_clock::now());
    }
    if constexpr (QueuedService<Service>) {
      this->service.Stop();
    }
  }

  ServerCore(const ServerCore&) = delete;
  ServerCore& operator=(const ServerCore&) = delete;

  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port) {
    grpc::ServerBuilder builder;
    if constexpr (QueuedService<Service>) {
      this->service.Register(builder);
    } else {
      builder.RegisterService(&this->service);
    }
    builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
    builder.SetMaxSendMessageSize(kMaxMessageBytes);
    builder.AddChannelArgument(
        GRPC_ARG_MAX_CONCURRENT_STREAMS,
        static_cast<int>(this->limits.max_calls_per_connection));
    builder.AddChannelArgument(
        GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
        kMinPingIntervalMs);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    this->server = builder.BuildAndStart();
    if (this->server == nullptr) {
      return Fail(RpcListenError{address, port, "cannot start the server"});
    }
    if constexpr (QueuedService<Service>) {
      this->service.Start();
    }
    return this->listener.Listen(address, port, [this](int descriptor) {
      grpc::AddInsecureChannelFromFd(this->server.get(), descriptor);
    });
  }

  // gRPC's Shutdown blocks until all calls have ended, which requires the
  // owner's task to run. So it is called on a separate thread.
  void Shutdown(Instant deadline, std::function<void()> done) {
    if (this->server == nullptr || this->shutdown_thread.joinable()) {
      this->state->owner.Post(std::move(done));
      return;
    }
    this->listener.StopListening();
    this->shutdown_thread =
        std::thread([this, deadline, done = std::move(done)] {
          const auto remaining = std::chrono::milliseconds(
              deadline.RemainingMs(BootClock{}.Now()));
          this->server->Shutdown(std::chrono::system_clock::now() + remaining);
          this->state->owner.Post(
              [state = this->state, done] { state->closed ? void() : done(); });
        });
  }

 private:
  std::shared_ptr<ServerState<Handlers>> state;
  Service service;
  RpcLimits limits;
  GuardedListener listener;
  std::unique_ptr<grpc::Server> server;
  std::thread shutdown_thread;
};

}  // namespace carobrill::rpc::detail

#endif  // PACKAGES_RPC_SERVER_CORE_H_
