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

/// Largest part of a snapshot in one chunk.
inline constexpr std::size_t kMaxChunkBytes = 256 * 1024;

/// Splits a snapshot into chunks; there is at least one.
std::vector<records::SnapshotChunk> SplitSnapshot(
    const records::Snapshot& snapshot,
    const records::Writer& writer,
    std::size_t chunk_bytes = kMaxChunkBytes);

/// Writes one snapshot at a time, chunk by chunk, with a bounded number of
/// retries in a row.
class SnapshotWriter {
 public:
  static constexpr std::uint32_t kMaxAttempts = 10;
  static constexpr std::int64_t kRetryMs = 500;

  /// Starts to write `snapshot`; what was left of the last one is dropped.
  void Start(const records::Snapshot& snapshot, const records::Writer& writer);

  /// Drops what is left to write.
  void Stop();

  /// The chunk to append at `now`, if it is time to append one.
  std::optional<std::string> NextChunk(Instant now);

  /// Takes the answer to the last chunk.
  void OnAnswered(bool written, Instant now);

  /// When `NextChunk` must be called again at the latest.
  Instant NextDeadline() const;

  bool Busy() const { return this->next < this->chunks.size(); }

 private:
  std::vector<std::string> chunks;
  std::size_t next = 0;
  std::uint32_t attempts = 0;
  bool call_open = false;
  bool discard_answer = false;
  Instant send_at;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_SNAPSHOT_WRITER_H_
