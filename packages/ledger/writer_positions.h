#ifndef PACKAGES_LEDGER_WRITER_POSITIONS_H_
#define PACKAGES_LEDGER_WRITER_POSITIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "packages/core/hash.h"
#include "packages/core/time.h"
#include "packages/records/records.pb.h"

namespace carobrill::ledger {

/// Result of the duplicate check of a record.
enum class SequenceCheck { kNew, kRepeat, kExpiredWriter };

/// Deduplicates records by the last sequence of each writer incarnation.
/// Positions unchanged for `kRetentionMs` of log time are dropped; records of
/// incarnations that may have been dropped are rejected.
class WriterPositions {
 public:
  /// How long the position of an inactive incarnation is retained.
  static constexpr std::int64_t kRetentionMs = 48LL * 3600 * 1000;
  /// Interval of log time between two sweeps of old positions.
  static constexpr std::int64_t kSweepIntervalMs = 3600 * 1000;

  /// Registers a record and returns whether it is new. `log_time` is the log
  /// time before the record; `appended_at` must not be lower.
  SequenceCheck Observe(const records::Writer& writer,
                        std::uint64_t sequence,
                        Instant log_time,
                        Instant appended_at);

  /// Whether the next record of `writer` would be accepted.
  bool Accepts(const records::Writer& writer) const;

  /// Last sequence of a writer; 0 if it is unknown.
  std::uint64_t LastSequence(const records::Writer& writer) const;

  /// Highest incarnation whose position has been dropped.
  std::uint64_t HighestExpiredIncarnation() const {
    return this->highest_expired;
  }

  std::size_t size() const { return this->positions.size(); }

  /// Writes the positions to a snapshot.
  void Save(records::Snapshot& out) const;

  /// Replaces the positions with those of a snapshot.
  void Load(const records::Snapshot& in);

  /// Adds all positions to a hash.
  void AddToHash(StableHash& hash) const;

 private:
  struct Position {
    std::uint64_t sequence = 0;
    Instant last_append;
  };
  using Key = std::pair<std::string, std::uint64_t>;

  static Key KeyOf(const records::Writer& writer);
  void Sweep(Instant log_time);

  std::map<Key, Position> positions;
  std::uint64_t highest_expired = 0;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_WRITER_POSITIONS_H_
