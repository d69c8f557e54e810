#ifndef PACKAGES_LEDGER_CHECKPOINTS_H_
#define PACKAGES_LEDGER_CHECKPOINTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "packages/core/ids.h"

namespace carobrill::ledger {

/// Mismatch between the state hash of this replica and that of a snapshot in
/// the log.
struct Divergence {
  Offset offset = 0;
  std::uint64_t local_hash = 0;
  std::uint64_t snapshot_hash = 0;
};

/// Compares state hashes of this replica with those of snapshots. Each hash is
/// stored by offset until its counterpart arrives.
class HashCheckpoints {
 public:
  /// Number of offsets stored per side; the lowest offset is evicted first.
  static constexpr std::size_t kMaxOffsets = 64;

  /// Adds the hash of this replica after all records before `offset`.
  std::optional<Divergence> AddLocalHash(Offset offset, std::uint64_t hash);

  /// Adds the hash that a snapshot records for `offset`.
  std::optional<Divergence> AddSnapshotHash(Offset offset, std::uint64_t hash);

  /// Whether a snapshot hash for `offset` is waiting to be compared.
  bool HasPendingSnapshot(Offset offset) const {
    return this->snapshot_hashes.contains(offset);
  }

  /// Drops all stored hashes, for example when offsets start to count in
  /// another lineage.
  void Clear();

  /// Number of snapshot hashes that have been compared.
  std::uint64_t ComparedCount() const { return this->compared; }

 private:
  std::optional<Divergence> ComparePending(Offset offset);

  std::map<Offset, std::uint64_t> local_hashes;
  std::map<Offset, std::uint64_t> snapshot_hashes;
  std::uint64_t compared = 0;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_CHECKPOINTS_H_
