#include "packages/ledger/writer_positions.h"

#include <algorithm>

namespace carobrill::ledger {
namespace {

constexpr std::uint64_t kMicrosPerMs = 1000;

}  // namespace

// Dropping positions must not let an old record in again. All incarnations up
// to the highest one that was dropped are therefore refused once they are
// unknown, whatever the clocks of their machines showed.
Novelty WriterPositions::Note(const records::Writer& writer,
                              std::uint64_t sequence,
                              Instant log_time,
                              Instant appended_at) {
  if (log_time.ms / kSweepMs != appended_at.ms / kSweepMs) {
    this->Sweep(appended_at);
  }
  const auto found = this->positions.find(KeyOf(writer));
  if (found == this->positions.end()) {
    if (writer.incarnation() <= this->forgotten) {
      return Novelty::kForgottenWriter;
    }
    this->positions[KeyOf(writer)] = {sequence, appended_at};
    return Novelty::kNew;
  }
  if (sequence <= found->second.sequence) {
    return Novelty::kRepeat;
  }
  found->second = {sequence, appended_at};
  return Novelty::kNew;
}

bool WriterPositions::Accepts(const records::Writer& writer) const {
  return writer.incarnation() > this->forgotten ||
         this->positions.contains(KeyOf(writer));
}

std::uint64_t WriterPositions::SequenceOf(const records::Writer& writer) const {
  const auto found = this->positions.find(KeyOf(writer));
  return found == this->positions.end() ? 0 : found->second.sequence;
}

// The snapshot schema has no field for the highest dropped incarnation; it is
// stored as the position of a writer without a name, which no record can have.
void WriterPositions::Save(records::Snapshot& out) const {
  out.clear_writers();
  out.add_writers()->mutable_writer()->set_incarnation(this->forgotten);
  for (const auto& [key, position] : this->positions) {
    records::WriterPosition* saved = out.add_writers();
    saved->mutable_writer()->set_instance(key.first);
    saved->mutable_writer()->set_incarnation(key.second);
    saved->set_sequence(position.sequence);
    saved->set_last_append_ms(position.last_append.ms);
  }
}

void WriterPositions::Load(const records::Snapshot& in) {
  this->positions.clear();
  this->forgotten = 0;
  for (const auto& saved : in.writers()) {
    if (saved.writer().instance().empty()) {
      this->forgotten = saved.writer().incarnation();
    } else {
      this->positions[KeyOf(saved.writer())] = {
          saved.sequence(), Instant{saved.last_append_ms()}};
    }
  }
}

void WriterPositions::AddTo(StableHash& hash) const {
  hash.Add(this->forgotten);
  hash.Add(this->positions.size());
  for (const auto& [key, position] : this->positions) {
    hash.Add(key.first);
    hash.Add(key.second);
    hash.Add(position.sequence);
    hash.Add(position.last_append.ms);
  }
}

WriterPositions::Key WriterPositions::KeyOf(const records::Writer& writer) {
  return {writer.instance(), writer.incarnation()};
}

// An incarnation ahead of the log time is kept: dropping it would refuse all
// new processes until their clocks have passed it.
void WriterPositions::Sweep(Instant log_time) {
  const std::int64_t limit = log_time.ms - kMemoryMs;
  if (limit <= 0) {
    return;
  }
  std::erase_if(this->positions, [&](const auto& entry) {
    const std::uint64_t incarnation = entry.first.second;
    const bool old =
        entry.second.last_append.ms < limit &&
        incarnation / kMicrosPerMs < static_cast<std::uint64_t>(limit);
    if (old) {
      this->forgotten = std::max(this->forgotten, incarnation);
    }
    return old;
  });
}

}  // namespace carobrill::ledger
