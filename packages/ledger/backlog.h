#ifndef PACKAGES_LEDGER_BACKLOG_H_
#define PACKAGES_LEDGER_BACKLOG_H_

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "packages/core/store.h"

namespace carobrill::ledger {

/// The last records of the log, kept for peers that are behind.
class Backlog {
 public:
  /// Keeps at most `max_bytes` of records, the memory of their entries
  /// included.
  explicit Backlog(std::size_t max_bytes = kDefaultMaxBytes);

  /// Starts over at `next_offset` of `lineage`.
  void Reset(std::string lineage, Offset next_offset);

  /// Adds the record at the next offset.
  void Add(const StoreRecord& record);

  /// True when all records from `offset` of `lineage` on are kept.
  bool Covers(const std::string& lineage, Offset offset) const;

  /// The records from `offset` on, in order.
  std::vector<StoreRecord> From(Offset offset) const;

  std::size_t Bytes() const { return this->bytes; }

 private:
  static constexpr std::size_t kDefaultMaxBytes = 8 * 1024 * 1024;

  static std::size_t BytesOf(const StoreRecord& record);

  std::size_t max_bytes;
  std::string lineage;
  Offset first_offset = 0;
  Offset next_offset = 0;
  std::size_t bytes = 0;
  std::deque<StoreRecord> records;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_BACKLOG_H_
