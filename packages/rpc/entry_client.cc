#include "packages/rpc/entry_client.h"

#include <utility>

#include "packages/rpc/client_core.h"
#include "packages/rpc/control.grpc.pb.h"

namespace carobrill::rpc {
namespace {

/// One FetchState call; deletes itself in OnDone.
class FetchStateCall : public grpc::ClientReadReactor<StateChunk> {
 public:
  FetchStateCall(std::shared_ptr<detail::ClientState> state,
                 std::function<void(StateChunk)> on_chunk,
                 std::function<void(RpcStreamStatus)> on_end)
      : state(std::move(state)),
        on_chunk(std::move(on_chunk)),
        on_end(std::move(on_end)) {}

  void Start(std::unique_ptr<Entry::Stub> entry_stub,
             const FetchStateRequest& fetch,
             Instant deadline) {
    this->stub = std::move(entry_stub);
    this->request = fetch;
    detail::ConfigureContext(*this->context, deadline);
    this->call_id = this->state->pending.Add(this->context);
    this->stub->async()->FetchState(this->context.get(), &this->request, this);
    this->StartRead(&this->chunk);
    this->StartCall();
  }

  void OnReadDone(bool ok) override {
    if (!ok) {
      return;
    }
    detail::ClientState::Post(
        this->state, [deliver = this->on_chunk, read = std::move(this->chunk)] {
          deliver(read);
        });
    this->chunk.Clear();
    this->StartRead(&this->chunk);
  }

  void OnDone(const grpc::Status& status) override {
    this->state->pending.Remove(this->call_id);
    const RpcStreamStatus end{detail::FailureFromStatus(status, *this->context),
                              status.error_message()};
    detail::ClientState::Post(this->state, [deliver = std::move(this->on_end),
                                            end] { deliver(end); });
    delete this;
  }

 private:
  std::shared_ptr<detail::ClientState> state;
  std::function<void(StateChunk)> on_chunk;
  std::function<void(RpcStreamStatus)> on_end;
  std::unique_ptr<Entry::Stub> stub;
  std::shared_ptr<grpc::ClientContext> context =
      std::make_shared<grpc::ClientContext>();
  FetchStateRequest request;
  StateChunk chunk;
  std::uint64_t call_id = 0;
};

}  // namespace

class EntryClient::Impl : public detail::ClientCore<Entry> {
 public:
  using ClientCore::ClientCore;
};

EntryClient::EntryClient(Task& owner, ChannelPool& channels)
    : impl(std::make_unique<Impl>(owner, channels)) {}

EntryClient::~EntryClient() = default;

void EntryClient::Announce(const std::string& address,
                           const AnnounceRequest& request,
                           Instant deadline,
                           RpcCallback<AnnounceReply> callback) {
  this->impl->Call<AnnounceRequest, AnnounceReply>(
      address, request, deadline, std::move(callback),
      [](auto& stub, auto... arguments) { stub.Announce(arguments...); });
}

void EntryClient::ReportGang(const std::string& address,
                             const ReportGangRequest& request,
                             Instant deadline,
                             RpcCallback<ReportGangReply> callback) {
  this->impl->Call<ReportGangRequest, ReportGangReply>(
      address, request, deadline, std::move(callback),
      [](auto& stub, auto... arguments) { stub.ReportGang(arguments...); });
}

void EntryClient::ExchangeDigest(const std::string& address,
                                 const DigestRequest& request,
                                 Instant deadline,
                                 RpcCallback<DigestReply> callback) {
  this->impl->Call<DigestRequest, DigestReply>(
      address, request, deadline, std::move(callback),
      [](auto& stub, auto... arguments) { stub.ExchangeDigest(arguments...); });
}

void EntryClient::FetchState(const std::string& address,
                             const FetchStateRequest& request,
                             Instant deadline,
                             std::function<void(StateChunk)> on_chunk,
                             std::function<void(RpcStreamStatus)> on_end) {
  auto* call = new FetchStateCall(this->impl->State(), std::move(on_chunk),
                                  std::move(on_end));
  call->Start(this->impl->MakeStub(address), request, deadline);
}

}  // namespace carobrill::rpc
