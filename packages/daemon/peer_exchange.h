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

/// Sends a peer's answer in chunks that fit a gRPC message.
void StreamState(const ledger::PeerState& state,
                 const rpc::StateStream& stream);

/// Exchanges digests with the other entries and fetches state from them. Used
/// on the entry's task only.
class PeerExchange {
 public:
  /// `peers` are gRPC addresses; the rest must outlive this object.
  PeerExchange(std::vector<std::string> peers,
               std::int64_t interval_ms,
               membership::Directory& directory,
               rpc::EntryClient& entries);

  /// Sends the digests that are due.
  void Tick(Instant now);

  /// Sends a digest to every peer at once, when something urgent has changed.
  void SendAtOnce() { this->next_digest = Instant{}; }

  /// Asks the next peer for its state.
  void FetchState(const ledger::PeerQuery& query,
                  ledger::PeerCallback callback);

 private:
  void SendDigest(const std::string& peer, Instant now);

  std::vector<std::string> peers;
  std::int64_t interval_ms;
  membership::Directory& directory;
  rpc::EntryClient& entries;
  Instant next_digest;
  std::size_t next_fetch = 0;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_PEER_EXCHANGE_H_
