#include "packages/ledger/checkpoints.h"

namespace carobrill::ledger {
namespace {

void Insert(std::map<Offset, std::uint64_t>& hashes,
            Offset offset,
            std::uint64_t hash) {
  hashes[offset] = hash;
  if (hashes.size() > HashCheckpoints::kMaxOffsets) {
    hashes.erase(hashes.begin());
  }
}

}  // namespace

std::optional<Divergence> HashCheckpoints::AddLocalHash(Offset offset,
                                                        std::uint64_t hash) {
  Insert(this->local_hashes, offset, hash);
  return this->ComparePending(offset);
}

std::optional<Divergence> HashCheckpoints::AddSnapshotHash(Offset offset,
                                                           std::uint64_t hash) {
  Insert(this->snapshot_hashes, offset, hash);
  return this->ComparePending(offset);
}

void HashCheckpoints::Clear() {
  this->local_hashes.clear();
  this->snapshot_hashes.clear();
}

std::optional<Divergence> HashCheckpoints::ComparePending(Offset offset) {
  const auto local = this->local_hashes.find(offset);
  const auto pending = this->snapshot_hashes.find(offset);
  if (local == this->local_hashes.end() ||
      pending == this->snapshot_hashes.end()) {
    return std::nullopt;
  }
  const Divergence divergence{offset, local->second, pending->second};
  this->snapshot_hashes.erase(pending);
  ++this->compared;
  if (divergence.local_hash == divergence.snapshot_hash) {
    return std::nullopt;
  }
  return divergence;
}

}  // namespace carobrill::ledger
