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

/// Position of a replica that asks a peer for newer state; `lineage` is empty
/// when it has none.
struct PeerQuery {
  std::string lineage;
  Offset next_offset = 0;
};

/// A peer's answer: the records from the requested offset on (partial), or the
/// whole state as a serialized records::Snapshot (full).
struct PeerReply {
  std::string lineage;
  std::string snapshot;
  std::vector<StoreRecord> records;

  bool IsFull() const { return !this->snapshot.empty(); }
  /// Payload size on the wire without framing.
  std::size_t Bytes() const;
};

/// Answers a peer: partial when the lineages match and the backlog covers the
/// offset, otherwise full. Without content when the peer is not behind this
/// replica.
template <records::ReplicatedComponent StateType>
PeerReply AnswerPeerQuery(const Replica<StateType>& replica,
                          const ReplicationBacklog& backlog,
                          const PeerQuery& query) {
  PeerReply answer;
  answer.lineage = replica.Lineage();
  const bool ahead = query.lineage == replica.Lineage() &&
                     query.next_offset >= replica.NextOffset();
  if (ahead) {
    return answer;
  }
  if (backlog.Covers(query.lineage, query.next_offset)) {
    answer.records = backlog.RecordsFrom(query.next_offset);
    return answer;
  }
  answer.snapshot = replica.Save().SerializeAsString();
  return answer;
}

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_PEER_SYNC_H_
