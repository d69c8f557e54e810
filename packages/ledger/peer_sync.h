#ifndef PACKAGES_LEDGER_PEER_SYNC_H_
#define PACKAGES_LEDGER_PEER_SYNC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "packages/core/name_table.h"
#include "packages/core/store.h"
#include "packages/ledger/backlog.h"
#include "packages/ledger/replica.h"

namespace carobrill::ledger {

/// What a replica that wants to catch up has; lineage empty when it has
/// nothing.
struct PeerQuery {
  std::string lineage;
  Offset next_offset = 0;
};

/// A peer's answer: records from the query's offset on (partial), or the whole
/// state as a serialised records::Snapshot (full).
struct PeerState {
  std::string lineage;
  std::string snapshot;
  std::vector<StoreRecord> records;

  bool IsFull() const { return !this->snapshot.empty(); }
  /// Size of the content on the wire, without framing.
  std::size_t Bytes() const;
};

/// Answers a peer's query: partial when the lineage is the same and the backlog
/// covers the offset, otherwise full. Empty when the peer is ahead.
template <records::Foldable Fold>
PeerState ServePeer(const Replica<Fold>& replica,
                    const Backlog& backlog,
                    const PeerQuery& query) {
  PeerState answer;
  answer.lineage = replica.Lineage();
  const bool ahead = query.lineage == replica.Lineage() &&
                     query.next_offset >= replica.NextOffset();
  if (ahead) {
    return answer;
  }
  if (backlog.Covers(query.lineage, query.next_offset)) {
    answer.records = backlog.From(query.next_offset);
    return answer;
  }
  answer.snapshot = replica.Save().SerializeAsString();
  return answer;
}

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_PEER_SYNC_H_
