#include "packages/ledger/checkpoints.h"

namespace carobrill::ledger {
namespace {

void Insert(std::map<Offset, std::uint64_t>& hashes,
            Offset offset,
            std::uint64_t hash) {
  hashes[offset] = hash;
  if (hashes.size() > Checkpoints::kMaxOffsets) {
    hashes.erase(hashes.begin());
  }
}

}  // namespace

std::optional<Divergence> Checkpoints::AddOwn(Offset offset,
                                              std::uint64_t hash) {
  Insert(this->own, offset, hash);
  return this->Compare(offset);
}

std::optional<Divergence> Checkpoints::AddSnapshot(Offset offset,
                                                   std::uint64_t hash) {
  Insert(this->snapshots, offset, hash);
  return this->Compare(offset);
}

void Checkpoints::Clear() {
  this->own.clear();
  this->snapshots.clear();
}

std::optional<Divergence> Checkpoints::Compare(Offset offset) {
  const auto mine = this->own.find(offset);
  const auto theirs = this->snapshots.find(offset);
  if (mine == this->own.end() || theirs == this->snapshots.end()) {
    return std::nullopt;
  }
  const Divergence pair{offset, mine->second, theirs->second};
  this->snapshots.erase(theirs);
  ++this->compared;
  if (pair.own_hash == pair.snapshot_hash) {
    return std::nullopt;
  }
  return pair;
}

}  // namespace carobrill::ledger
