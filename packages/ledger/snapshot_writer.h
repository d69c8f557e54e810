#ifndef PACKAGES_LEDGER_SNAPSHOT_WRITER_H_
#define PACKAGES_LEDGER_SNAPSHOT_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "packages/core/time.h"
#include "packages/records/records.pb.h"

namespace carobrill::ledger {

/// Maximum data size of one snapshot chunk.
inline constexpr std::size_t kMaxChunkBytes = 256 * 1024;

/// Splits a snapshot into one or more chunks.
std::vector<records::SnapshotChunk> SplitSnapshot(
    const records::Snapshot& snapshot,
    const records::Writer& writer,
    std::size_t chunk_bytes = kMaxChunkBytes);

/// Writes one snapshot at a time, chunk by chunk. Abandons the snapshot after
/// `kMaxAttempts` failures of one chunk.
class SnapshotWriter {
 public:
  static constexpr std::uint32_t kMaxAttempts = 10;
  static constexpr std::int64_t kRetryMs = 500;

  /// Starts to write `snapshot`; the rest of the previous one is dropped.
  void Start(const records::Snapshot& snapshot, const records::Writer& writer);

  /// Drops the chunks that have not been written.
  void Stop();

  /// Returns the chunk to append at `now`, if one is due.
  std::optional<std::string> NextChunk(Instant now);

  /// Handles the reply to the last chunk.
  void OnReply(bool written, Instant now);

  /// Latest time at which `NextChunk` must be called again.
  Instant NextDeadline() const;

  bool Busy() const { return this->next_chunk < this->chunks.size(); }

 private:
  std::vector<std::string> chunks;
  std::size_t next_chunk = 0;
  std::uint32_t attempts = 0;
  bool call_in_flight = false;
  bool ignore_reply = false;
  Instant next_send_at;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_SNAPSHOT_WRITER_H_
