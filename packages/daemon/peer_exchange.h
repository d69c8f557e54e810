#ifndef PACKAGES_DAEMON_PEER_EXCHANGE_H_
#define PACKAGES_DAEMON_PEER_EXCHANGE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "packages/core/time.h"
#include "packages/ledger/log_session.h"
#include "packages/ledger/peer_sync.h"
#include "packages/membership/directory.h"
#include "packages/rpc/entry_client.h"
#include "packages/rpc/state_stream.h"

namespace carobrill::daemon {

/// Streams `state` to a peer in chunks that fit into a gRPC message.
void StreamState(const ledger::PeerReply& state,
                 const rpc::StateStream& stream);

/// Exchanges digests with the peer entries and fetches state from them. Used on
/// the entry's task only.
class PeerExchange {
 public:
  /// `peers` are gRPC addresses. `directory` and `entries` must outlive this
  /// object.
  PeerExchange(std::vector<std::string> peers,
               std::int64_t interval_ms,
               membership::Directory& directory,
               rpc::EntryClient& entries);

  /// Sends the digests that are due.
  void Tick(Instant now);

  /// Makes the digests due at the next tick, after an urgent change.
  void MakeDigestsDue() { this->next_digest_at = Instant{}; }

  /// Fetches the state from the next peer in round-robin order.
  void FetchState(const ledger::PeerQuery& query,
                  ledger::PeerCallback callback);

 private:
  void SendDigest(const std::string& peer, Instant now);

  std::vector<std::string> peers;
  std::int64_t interval_ms;
  membership::Directory& directory;
  rpc::EntryClient& entries;
  Instant next_digest_at;
  std::size_t next_fetch_peer = 0;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_PEER_EXCHANGE_H_
