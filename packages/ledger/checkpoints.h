#ifndef PACKAGES_LEDGER_CHECKPOINTS_H_
#define PACKAGES_LEDGER_CHECKPOINTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "packages/core/ids.h"

namespace carobrill::ledger {

/// A state hash that differs between this replica and a snapshot in the log.
struct Divergence {
  Offset offset = 0;
  std::uint64_t own_hash = 0;
  std::uint64_t snapshot_hash = 0;
};

/// State hashes of this replica and of snapshots, by offset, until both are
/// known and can be compared.
class Checkpoints {
 public:
  /// Offsets that are remembered on each side; the lowest are dropped.
  static constexpr std::size_t kMaxOffsets = 64;

  /// Notes the replica's own hash after the records before `offset`.
  std::optional<Divergence> AddOwn(Offset offset, std::uint64_t hash);

  /// Notes the hash that a snapshot gives for `offset`.
  std::optional<Divergence> AddSnapshot(Offset offset, std::uint64_t hash);

  /// True when a snapshot gave a hash for `offset` that has not been compared.
  bool Awaits(Offset offset) const { return this->snapshots.contains(offset); }

  /// Forgets everything, since offsets now count in another lineage.
  void Clear();

  /// Number of snapshots whose hash was compared.
  std::uint64_t Compared() const { return this->compared; }

 private:
  std::optional<Divergence> Compare(Offset offset);

  std::map<Offset, std::uint64_t> own;
  std::map<Offset, std::uint64_t> snapshots;
  std::uint64_t compared = 0;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_CHECKPOINTS_H_
