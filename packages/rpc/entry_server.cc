#include "packages/rpc/entry_server.h"

#include <deque>
#include <mutex>
#include <utility>

#include "packages/rpc/control.grpc.pb.h"
#include "packages/rpc/server_core.h"

namespace carobrill::rpc {
namespace {

using State = std::shared_ptr<detail::ServerState<EntryHandlers>>;
using Context = grpc::CallbackServerContext;
using Reactor = grpc::ServerUnaryReactor;

/// One FetchState call; holds a reference to itself until OnDone.
class FetchStateCall : public grpc::ServerWriteReactor<StateChunk> {
 public:
  static std::shared_ptr<FetchStateCall> Make() {
    auto call = std::make_shared<FetchStateCall>();
    call->self = call;
    return call;
  }

  void Write(StateChunk chunk) {
    const std::lock_guard lock(this->mutex);
    if (this->end.has_value()) {
      return;
    }
    this->on_reply(chunk.ByteSizeLong());
    this->queue.push_back(std::move(chunk));
    this->AdvanceLocked();
  }

  /// Ends the call after the queued chunks, or at once for an error.
  void End(grpc::Status status) {
    const std::lock_guard lock(this->mutex);
    if (this->end.has_value()) {
      return;
    }
    if (!status.ok()) {
      this->queue.clear();
    }
    this->end = std::move(status);
    this->AdvanceLocked();
  }

  void OnWriteDone(bool ok) override {
    const std::lock_guard lock(this->mutex);
    this->writing = false;
    if (!ok) {
      this->queue.clear();
      this->end = grpc::Status(grpc::StatusCode::CANCELLED, "write failed");
    }
    this->AdvanceLocked();
  }

  void OnCancel() override {
    this->End({grpc::StatusCode::CANCELLED, "the caller has gone"});
  }

  void OnDone() override {
    this->on_done();
    const auto keep_alive = std::move(this->self);
  }

  std::function<void()> on_done = [] {};
  /// Called with the size of each chunk, in bytes.
  std::function<void(std::size_t bytes)> on_reply = [](std::size_t) {};

 private:
  // Starts the next write or finishes the call. gRPC allows one write at a time
  // and none after Finish. The mutex must be held.
  void AdvanceLocked() {
    if (this->writing || this->finished) {
      return;
    }
    if (!this->queue.empty()) {
      this->current = std::move(this->queue.front());
      this->queue.pop_front();
      this->writing = true;
      this->StartWrite(&this->current);
    } else if (this->end.has_value()) {
      this->finished = true;
      this->Finish(*this->end);
    }
  }

  std::mutex mutex;
  std::deque<StateChunk> queue;
  StateChunk current;
  bool writing = false;
  bool finished = false;
  std::optional<grpc::Status> end;
  std::shared_ptr<FetchStateCall> self;
};

StateStream MakeStateStream(const std::shared_ptr<FetchStateCall>& call) {
  return StateStream(StateStream::Sink{
      [call](StateChunk chunk) { call->Write(std::move(chunk)); },
      [call](bool complete) {
        call->End(complete ? grpc::Status::OK
                           : grpc::Status(grpc::StatusCode::UNAVAILABLE,
                                          "the call was given up"));
      }});
}

class Service final : public Entry::CallbackService {
 public:
  explicit Service(State state) : state(std::move(state)) {}

  Reactor* Announce(Context* context,
                    const AnnounceRequest* request,
                    AnnounceReply* reply) override {
    return detail::Dispatch(this->state, &EntryHandlers::announce,
                            context->peer(), *request, reply);
  }

  Reactor* ReportGang(Context* context,
                      const ReportGangRequest* request,
                      ReportGangReply* reply) override {
    return detail::Dispatch(this->state, &EntryHandlers::report_gang,
                            context->peer(), *request, reply);
  }

  Reactor* ExchangeDigest(Context* context,
                          const DigestRequest* request,
                          DigestReply* reply) override {
    return detail::Dispatch(this->state, &EntryHandlers::exchange_digest,
                            context->peer(), *request, reply);
  }

  grpc::ServerWriteReactor<StateChunk>* FetchState(
      Context* context,
      const FetchStateRequest* request) override {
    auto call = FetchStateCall::Make();
    if (!this->state->handlers.fetch_state) {
      call->End({grpc::StatusCode::UNIMPLEMENTED, "no handler"});
      return call.get();
    }
    const auto call_id = this->state->open_calls.Add([call] {
      call->End({grpc::StatusCode::UNAVAILABLE, "the server has closed"});
    });
    call->on_done = [state = this->state, call_id] {
      state->open_calls.Remove(call_id);
    };
    call->on_reply = [state = this->state,
                      peer = context->peer()](std::size_t bytes) {
      detail::AccountReply(state, peer, bytes);
    };
    this->state->owner.Post([state = this->state, request = *request,
                             stream = MakeStateStream(call)] {
      if (!state->closed) {
        state->handlers.fetch_state(request, stream);
      }
    });
    return call.get();
  }

 private:
  State state;
};

}  // namespace

class EntryServer::Impl : public detail::ServerCore<Service, EntryHandlers> {
 public:
  using ServerCore::ServerCore;
};

EntryServer::EntryServer(Task& owner,
                         EntryHandlers handlers,
                         const RpcLimits& limits,
                         MetricsRegistry* metrics)
    : impl(
          std::make_unique<Impl>(owner, std::move(handlers), limits, metrics)) {
}

EntryServer::~EntryServer() = default;

Result<std::uint16_t> EntryServer::Listen(const std::string& address,
                                          std::uint16_t port) {
  return this->impl->Listen(address, port);
}

void EntryServer::Shutdown(Instant deadline, std::function<void()> done) {
  this->impl->Shutdown(deadline, std::move(done));
}

}  // namespace carobrill::rpc
