#ifndef PACKAGES_TESTING_LOG_STORE_H_
#define PACKAGES_TESTING_LOG_STORE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "packages/core/store.h"

namespace carobrill::testing {

/// In-memory streams of a fake log service. Calls take effect immediately; the
/// caller simulates delays, outages and lost responses.
class LogStore {
 public:
  /// Appends `records` at `now` as one batch.
  AppendReply Append(const std::string& stream,
                     const std::vector<std::string>& records,
                     Instant now);

  /// Reads at most `query.max` records; ignores `wait_ms`, which the caller
  /// handles.
  ReadReply Read(const ReadQuery& query) const;

  /// Drops the records of `stream` before `offset`.
  void ExpireBefore(const std::string& stream, Offset offset);

  /// Restarts the log with a new lineage, either empty or with its old content.
  void StartLineage(bool keep_content);

  /// Calls `waiter` once, after the next append, expiry or restart.
  void WaitForChange(std::function<void()> waiter);

  const std::string& Lineage() const { return this->lineage; }
  Offset NextOffset(const std::string& stream) const;

  std::uint64_t Appends() const { return this->appends; }
  std::uint64_t AppendedBytes() const { return this->appended_bytes; }

 private:
  struct Stream {
    Offset oldest_offset = 0;
    std::deque<StoreRecord> records;
  };

  void NotifyWaiters();

  std::string lineage = "lineage-1";
  std::uint32_t lineage_number = 1;
  std::map<std::string, Stream> streams;
  std::uint64_t appends = 0;
  std::uint64_t appended_bytes = 0;
  std::vector<std::function<void()>> waiters;
};

}  // namespace carobrill::testing

#endif  // PACKAGES_TESTING_LOG_STORE_H_
