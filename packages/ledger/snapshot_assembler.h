#ifndef PACKAGES_LEDGER_SNAPSHOT_ASSEMBLER_H_
#define PACKAGES_LEDGER_SNAPSHOT_ASSEMBLER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "packages/core/store.h"
#include "packages/records/records.pb.h"

namespace carobrill::ledger {

/// Puts the chunks of the snapshot stream together, from any number of writers
/// at once. Repeated chunks count once; malformed ones are skipped.
class SnapshotAssembler {
 public:
  /// Unfinished snapshots that are kept; the one begun first is dropped.
  static constexpr std::size_t kMaxUnfinished = 8;

  /// Takes one record of the snapshot stream; returns a snapshot when the
  /// record completes it. The hash is checked by `Replica::Load`.
  std::optional<records::Snapshot> Add(const StoreRecord& stored);

  /// Drops all unfinished snapshots.
  void Clear();

  std::size_t Unfinished() const { return this->unfinished.size(); }
  std::uint64_t MalformedChunks() const { return this->malformed; }

 private:
  struct Key {
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string lineage;
    Offset covered_offset = 0;
    std::uint64_t state_hash = 0;
    std::uint32_t count = 0;

    auto operator<=>(const Key&) const = default;
  };
  struct Parts {
    Offset begun_at = 0;
    std::size_t present = 0;
    std::vector<std::optional<std::string>> data;
  };

  void DropOldest();
  std::optional<records::Snapshot> Join(const Key& key, const Parts& parts);

  std::map<Key, Parts> unfinished;
  std::uint64_t malformed = 0;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_SNAPSHOT_ASSEMBLER_H_
