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

/// Reassembles snapshots from the chunks of the snapshot stream, which several
/// writers may interleave. Duplicate chunks are ignored, malformed ones are
/// skipped.
class SnapshotAssembler {
 public:
  /// Maximum number of incomplete snapshots; the one whose first chunk is
  /// oldest is dropped.
  static constexpr std::size_t kMaxIncomplete = 8;

  /// Adds one record of the snapshot stream. Returns the snapshot if the record
  /// completes it. The state hash is verified by `Replica::Load`.
  std::optional<records::Snapshot> Add(const StoreRecord& stored);

  /// Drops all incomplete snapshots.
  void Clear();

  std::size_t IncompleteCount() const { return this->incomplete.size(); }
  std::uint64_t MalformedChunks() const { return this->malformed_chunks; }

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
  struct PartialSnapshot {
    Offset first_offset_seen = 0;
    std::size_t received_count = 0;
    std::vector<std::optional<std::string>> data;
  };

  void DropOldest();
  std::optional<records::Snapshot> Assemble(const Key& key,
                                            const PartialSnapshot& partial);

  std::map<Key, PartialSnapshot> incomplete;
  std::uint64_t malformed_chunks = 0;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_SNAPSHOT_ASSEMBLER_H_
