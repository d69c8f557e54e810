#ifndef PACKAGES_LEDGER_BACKLOG_H_
#define PACKAGES_LEDGER_BACKLOG_H_

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "packages/core/store.h"

namespace carobrill::ledger {

/// Most recent log records, kept in memory so that lagging peers can catch up
/// without a full state transfer.
class ReplicationBacklog {
 public:
  /// Keeps records of at most `max_bytes`, including the memory overhead of
  /// each element.
  explicit ReplicationBacklog(std::size_t max_bytes = kDefaultMaxBytes);

  /// Drops all records and continues at `next_offset` of `lineage`, the
  /// identifier of one history of the log (ReplicaPosition in recovery.h).
  void Reset(std::string lineage, Offset next_offset);

  /// Appends a record. A record that does not follow the last one discards all
  /// earlier records.
  void Add(const StoreRecord& record);

  /// Whether all records of `lineage` from `offset` on are available.
  bool Covers(const std::string& lineage, Offset offset) const;

  /// Returns the records from `offset` on in log order; empty if `offset` is
  /// out of range.
  std::vector<StoreRecord> RecordsFrom(Offset offset) const;

  std::size_t Bytes() const { return this->bytes; }

 private:
  static constexpr std::size_t kDefaultMaxBytes = 8 * 1024 * 1024;

  static std::size_t MemoryBytes(const StoreRecord& record);

  std::size_t max_bytes;
  std::string lineage;
  Offset first_offset = 0;
  Offset next_offset = 0;
  std::size_t bytes = 0;
  std::deque<StoreRecord> records;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_BACKLOG_H_
