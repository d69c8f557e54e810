#include "packages/ledger/snapshot_assembler.h"

#include <algorithm>
#include <utility>

#include "packages/ledger/snapshot_writer.h"

namespace carobrill::ledger {
namespace {

/// Bounds the memory that one malformed chunk can claim.
constexpr std::uint32_t kMaxChunks = 4096;

bool IsValid(const records::SnapshotChunk& chunk) {
  return chunk.count() > 0 && chunk.count() <= kMaxChunks &&
         chunk.index() < chunk.count() &&
         chunk.data().size() <= kMaxChunkBytes &&
         !chunk.writer().instance().empty();
}

}  // namespace

std::optional<records::Snapshot> SnapshotAssembler::Add(
    const StoreRecord& stored) {
  records::SnapshotChunk chunk;
  if (!chunk.ParseFromString(stored.data) || !IsValid(chunk)) {
    ++this->malformed;
    return std::nullopt;
  }
  const Key key{chunk.writer().instance(), chunk.writer().incarnation(),
                chunk.lineage(),           chunk.covered_offset(),
                chunk.state_hash(),        chunk.count()};
  auto [found, begun] = this->unfinished.try_emplace(key);
  Parts& parts = found->second;
  if (begun) {
    parts.begun_at = stored.offset;
    parts.data.resize(chunk.count());
  }
  auto& slot = parts.data[chunk.index()];
  if (!slot.has_value()) {
    slot = std::move(*chunk.mutable_data());
    ++parts.present;
  }
  if (parts.present == parts.data.size()) {
    const auto finished = this->unfinished.extract(found);
    return this->Join(finished.key(), finished.mapped());
  }
  if (this->unfinished.size() > kMaxUnfinished) {
    this->DropOldest();
  }
  return std::nullopt;
}

void SnapshotAssembler::Clear() {
  this->unfinished.clear();
}

void SnapshotAssembler::DropOldest() {
  const auto oldest =
      std::min_element(this->unfinished.begin(), this->unfinished.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.begun_at < b.second.begun_at;
                       });
  this->unfinished.erase(oldest);
}

std::optional<records::Snapshot> SnapshotAssembler::Join(const Key& key,
                                                         const Parts& parts) {
  std::string data;
  for (const auto& part : parts.data) {
    data += *part;
  }
  records::Snapshot snapshot;
  if (!snapshot.ParseFromString(data) || snapshot.lineage() != key.lineage ||
      snapshot.covered_offset() != key.covered_offset ||
      snapshot.state_hash() != key.state_hash) {
    ++this->malformed;
    return std::nullopt;
  }
  return snapshot;
}

}  // namespace carobrill::ledger
