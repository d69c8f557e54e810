#include "packages/ledger/snapshot_writer.h"

#include <algorithm>
#include <cassert>

namespace carobrill::ledger {

std::vector<records::SnapshotChunk> SplitSnapshot(
    const records::Snapshot& snapshot,
    const records::Writer& writer,
    std::size_t chunk_bytes) {
  assert(chunk_bytes > 0 && chunk_bytes <= kMaxChunkBytes);
  const std::string data = snapshot.SerializeAsString();
  const std::size_t count =
      std::max<std::size_t>(1, (data.size() + chunk_bytes - 1) / chunk_bytes);
  std::vector<records::SnapshotChunk> chunks(count);
  for (std::size_t i = 0; i < count; ++i) {
    records::SnapshotChunk& chunk = chunks[i];
    chunk.set_lineage(snapshot.lineage());
    chunk.set_covered_offset(snapshot.covered_offset());
    chunk.set_index(static_cast<std::uint32_t>(i));
    chunk.set_count(static_cast<std::uint32_t>(count));
    chunk.set_state_hash(snapshot.state_hash());
    chunk.set_data(data.substr(i * chunk_bytes, chunk_bytes));
    *chunk.mutable_writer() = writer;
  }
  return chunks;
}

void SnapshotWriter::Start(const records::Snapshot& snapshot,
                           const records::Writer& writer) {
  this->Stop();
  for (const auto& chunk : SplitSnapshot(snapshot, writer)) {
    this->chunks.push_back(chunk.SerializeAsString());
  }
}

void SnapshotWriter::Stop() {
  this->ignore_reply = this->call_in_flight;
  this->chunks.clear();
  this->next_chunk = 0;
  this->attempts = 0;
  this->next_send_at = Instant{};
}

std::optional<std::string> SnapshotWriter::NextChunk(Instant now) {
  if (!this->Busy() || this->call_in_flight || now < this->next_send_at) {
    return std::nullopt;
  }
  this->call_in_flight = true;
  return this->chunks[this->next_chunk];
}

// A chunk whose reply was lost is appended again; readers ignore duplicates.
void SnapshotWriter::OnReply(bool written, Instant now) {
  this->call_in_flight = false;
  if (this->ignore_reply) {
    this->ignore_reply = false;
  } else if (written) {
    ++this->next_chunk;
    this->attempts = 0;
  } else if (++this->attempts < kMaxAttempts) {
    this->next_send_at = now.After(kRetryMs);
  } else {
    this->Stop();
  }
}

Instant SnapshotWriter::NextDeadline() const {
  return this->Busy() && !this->call_in_flight ? this->next_send_at
                                               : Instant::Never();
}

}  // namespace carobrill::ledger
