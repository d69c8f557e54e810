#ifndef PACKAGES_LEDGER_SESSION_SETTINGS_H_
#define PACKAGES_LEDGER_SESSION_SETTINGS_H_

#include <cstdint>
#include <string>

#include "packages/ledger/appender.h"

namespace carobrill::ledger {

/// Settings of a LogSession.
struct SessionSettings {
  std::string record_stream = "carobrill.records";
  std::string snapshot_stream = "carobrill.snapshots";
  AppenderSettings appender;
  /// Records per read; snapshot chunks are larger, so a read of them returns
  /// fewer.
  std::uint32_t max_read_records = 2'000;
  std::uint32_t max_read_chunks = 8;
  std::int64_t read_wait_ms = 1'000;
  std::int64_t call_timeout_ms = 3'000;
  std::int64_t first_retry_ms = 50;
  std::int64_t max_retry_ms = 1'000;
  /// Poll interval of the snapshot stream while the replica follows the log.
  std::int64_t snapshot_poll_ms = 5'000;
  /// Poll interval while the replica waits for the initial snapshot of a new
  /// lineage.
  std::int64_t lineage_poll_ms = 200;
  /// How long a replica sends no proposals after it has loaded the initial
  /// snapshot of a lineage, so that a newer state can still replace that
  /// snapshot. Also how long a process without state prefers a peer that has
  /// one over replaying a log that has no snapshot.
  std::int64_t lineage_settle_ms = 1'000;
  /// How long a process without state waits for entries that have one before it
  /// loads the contents of a log that was restored under another lineage.
  std::int64_t restored_log_wait_ms = 10'000;
  std::int64_t retention_ms = 24LL * 3600 * 1000;
  std::uint32_t records_per_snapshot = 10'000;
  /// Interval of offsets at which the state is hashed for comparison.
  std::uint32_t records_per_checkpoint = 1'000;

  /// Whether all settings are within their ranges.
  bool Valid() const;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_SESSION_SETTINGS_H_
