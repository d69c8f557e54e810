#include "packages/ledger/snapshot_assembler.h"

#include <algorithm>
#include <utility>

#include "packages/ledger/snapshot_writer.h"

namespace carobrill::ledger {
namespace {

/// Limits the memory that one malformed chunk can make the assembler allocate.
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
    ++this->malformed_chunks;
    return std::nullopt;
  }
  const Key key{chunk.writer().instance(), chunk.writer().incarnation(),
                chunk.lineage(),           chunk.covered_offset(),
                chunk.state_hash(),        chunk.count()};
  auto [found, inserted] = this->incomplete.try_emplace(key);
  PartialSnapshot& partial = found->second;
  if (inserted) {
    partial.first_offset_seen = stored.offset;
    partial.data.resize(chunk.count());
  }
  auto& slot = partial.data[chunk.index()];
  if (!slot.has_value()) {
    slot = std::move(*chunk.mutable_data());
    ++partial.received_count;
  }
  if (partial.received_count == partial.data.size()) {
    const auto finished = this->incomplete.extract(found);
    return this->Assemble(finished.key(), finished.mapped());
  }
  if (this->incomplete.size() > kMaxIncomplete) {
    this->DropOldest();
  }
  return std::nullopt;
}

void SnapshotAssembler::Clear() {
  this->incomplete.clear();
}

void SnapshotAssembler::DropOldest() {
  const auto oldest = std::min_element(
      this->incomplete.begin(), this->incomplete.end(),
      [](const auto& a, const auto& b) {
        return a.second.first_offset_seen < b.second.first_offset_seen;
      });
  this->incomplete.erase(oldest);
}

std::optional<records::Snapshot> SnapshotAssembler::Assemble(
    const Key& key,
    const PartialSnapshot& partial) {
  std::string data;
  for (const auto& part : partial.data) {
    data += *part;
  }
  records::Snapshot snapshot;
  if (!snapshot.ParseFromString(data) || snapshot.lineage() != key.lineage ||
      snapshot.covered_offset() != key.covered_offset ||
      snapshot.state_hash() != key.state_hash) {
    ++this->malformed_chunks;
    return std::nullopt;
  }
  return snapshot;
}

}  // namespace carobrill::ledger
