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
  /// Records of one read; a read of snapshot chunks takes fewer.
  std::uint32_t max_read_records = 2'000;
  std::uint32_t max_read_chunks = 8;
  std::int64_t read_wait_ms = 1'000;
  std::int64_t call_timeout_ms = 3'000;
  std::int64_t first_retry_ms = 50;
  std::int64_t max_retry_ms = 1'000;
  /// How often the snapshot stream is read while following the log.
  std::int64_t snapshot_poll_ms = 5'000;
  /// The same while the replica waits for the start of a new lineage.
  std::int64_t lineage_poll_ms = 200;
  /// How long a replica proposes nothing after it has taken over a lineage, so
  /// that a newer state can still replace the start. Also how long a process
  /// without state looks for a peer that has one before it replays a
  /// log that has no snapshot.
  std::int64_t lineage_settle_ms = 1'000;
  /// How long a process without state waits for entries that have one before
  /// it builds on the content of a log restored under another lineage.
  std::int64_t restored_log_wait_ms = 10'000;
  std::int64_t retention_ms = 24LL * 3600 * 1000;
  std::uint32_t records_per_snapshot = 10'000;
  /// The state is hashed at multiples of this offset.
  std::uint32_t records_per_checkpoint = 1'000;

  /// True when the settings can be worked with.
  bool Valid() const;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_SESSION_SETTINGS_H_
