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

/// Whether a record is the first of its name.
enum class Novelty { kNew, kRepeat, kForgottenWriter };

/// Last sequence of each writer incarnation. Positions that have not changed
/// for `kMemoryMs` of log time are dropped; records of writers that may have
/// been dropped are refused.
class WriterPositions {
 public:
  /// Time that a silent incarnation is remembered.
  static constexpr std::int64_t kMemoryMs = 48LL * 3600 * 1000;
  /// Positions are dropped once in such a span of log time.
  static constexpr std::int64_t kSweepMs = 3600 * 1000;

  /// Notes a record and tells whether it is new. `log_time` is the log time
  /// before the record, `appended_at` not lower than that.
  Novelty Note(const records::Writer& writer,
               std::uint64_t sequence,
               Instant log_time,
               Instant appended_at);

  /// True when a record of `writer` with the next sequence would be accepted.
  bool Accepts(const records::Writer& writer) const;

  /// Last sequence of a writer, 0 when it is not known.
  std::uint64_t SequenceOf(const records::Writer& writer) const;

  /// Highest incarnation that has been dropped.
  std::uint64_t ForgottenIncarnation() const { return this->forgotten; }

  std::size_t size() const { return this->positions.size(); }

  /// Writes the positions into a snapshot.
  void Save(records::Snapshot& out) const;

  /// Replaces the positions by a snapshot's.
  void Load(const records::Snapshot& in);

  /// Adds the state to a hash.
  void AddTo(StableHash& hash) const;

 private:
  struct Position {
    std::uint64_t sequence = 0;
    Instant last_append;
  };
  using Key = std::pair<std::string, std::uint64_t>;

  static Key KeyOf(const records::Writer& writer);
  void Sweep(Instant log_time);

  std::map<Key, Position> positions;
  std::uint64_t forgotten = 0;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_WRITER_POSITIONS_H_
