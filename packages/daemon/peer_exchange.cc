#include "packages/daemon/peer_exchange.h"

#include <memory>
#include <optional>
#include <utility>

namespace carobrill::daemon {
namespace {

constexpr std::int64_t kDigestTimeoutMs = 1'000;
constexpr std::int64_t kFetchTimeoutMs = 10'000;
// Well below 4 MiB, the default size limit of a received gRPC message.
constexpr std::size_t kChunkBytes = 1024 * 1024;

Instant Now() {
  return BootClock{}.Now();
}

/// A state that is being received from a peer.
struct IncomingState {
  ledger::PeerReply state;
  bool complete = false;
};

void Append(const rpc::StateChunk& chunk, IncomingState& incoming) {
  incoming.state.lineage = chunk.lineage();
  incoming.state.snapshot += chunk.snapshot_part();
  for (const auto& record : chunk.records()) {
    incoming.state.records.push_back(
        {record.offset(), Instant{record.appended_at_ms()}, record.data()});
  }
  incoming.complete = chunk.last();
}

void StreamRecords(const ledger::PeerReply& state,
                   const rpc::StateStream& stream) {
  rpc::StateChunk chunk;
  chunk.set_lineage(state.lineage);
  std::size_t bytes = 0;
  for (const auto& record : state.records) {
    auto* out = chunk.add_records();
    out->set_offset(record.offset);
    out->set_appended_at_ms(record.appended_at.ms);
    out->set_data(record.data);
    bytes += record.data.size();
    if (bytes >= kChunkBytes) {
      stream.Write(std::exchange(chunk, {}));
      chunk.set_lineage(state.lineage);
      bytes = 0;
    }
  }
  chunk.set_last(true);
  stream.Write(std::move(chunk));
}

void StreamSnapshot(const ledger::PeerReply& state,
                    const rpc::StateStream& stream) {
  for (std::size_t begin = 0; begin < state.snapshot.size();
       begin += kChunkBytes) {
    rpc::StateChunk chunk;
    chunk.set_lineage(state.lineage);
    chunk.set_snapshot_part(state.snapshot.substr(begin, kChunkBytes));
    chunk.set_last(begin + kChunkBytes >= state.snapshot.size());
    stream.Write(std::move(chunk));
  }
}

}  // namespace

void StreamState(const ledger::PeerReply& state,
                 const rpc::StateStream& stream) {
  if (state.IsFull()) {
    StreamSnapshot(state, stream);
  } else {
    StreamRecords(state, stream);
  }
  stream.Finish();
}

PeerExchange::PeerExchange(std::vector<std::string> peers,
                           std::int64_t interval_ms,
                           membership::Directory& directory,
                           rpc::EntryClient& entries)
    : peers(std::move(peers)),
      interval_ms(interval_ms),
      directory(directory),
      entries(entries) {}

void PeerExchange::Tick(Instant now) {
  if (now < this->next_digest_at) {
    return;
  }
  this->next_digest_at = now.After(this->interval_ms);
  for (const auto& peer : this->peers) {
    if (this->directory.InitiatesDigestsTo(peer, now)) {
      this->SendDigest(peer, now);
    }
  }
}

void PeerExchange::FetchState(const ledger::PeerQuery& query,
                              ledger::PeerCallback callback) {
  if (this->peers.empty()) {
    callback(std::nullopt);
    return;
  }
  const std::string& peer =
      this->peers[this->next_fetch_peer++ % this->peers.size()];
  rpc::FetchStateRequest request;
  request.set_lineage(query.lineage);
  request.set_next_offset(query.next_offset);
  auto incoming = std::make_shared<IncomingState>();
  this->entries.FetchState(
      peer, request, Now().After(kFetchTimeoutMs),
      [incoming](const rpc::StateChunk& chunk) { Append(chunk, *incoming); },
      [incoming,
       callback = std::move(callback)](const rpc::RpcStreamStatus& end) {
        if (end.Ok() && incoming->complete) {
          callback(std::move(incoming->state));
        } else {
          callback(std::nullopt);
        }
      });
}

void PeerExchange::SendDigest(const std::string& peer, Instant now) {
  const membership::OutgoingDigest digest =
      this->directory.BuildDigest(peer, now);
  this->entries.ExchangeDigest(
      peer, digest.request, now.After(kDigestTimeoutMs),
      [this, peer](const rpc::RpcResult<rpc::DigestReply>& reply) {
        if (reply.Ok()) {
          this->directory.OnDigestReply(peer, reply.value, Now());
        }
      });
}

}  // namespace carobrill::daemon
