#include "packages/ledger/writer_positions.h"

#include <algorithm>

namespace carobrill::ledger {
namespace {

constexpr std::uint64_t kMicrosPerMs = 1000;

}  // namespace

// A dropped position must not let old records of its writer be applied again.
// Every unknown incarnation up to the highest dropped one is therefore
// rejected, regardless of the clock of its machine.
SequenceCheck WriterPositions::Observe(const records::Writer& writer,
                                       std::uint64_t sequence,
                                       Instant log_time,
                                       Instant appended_at) {
  if (log_time.ms / kSweepIntervalMs != appended_at.ms / kSweepIntervalMs) {
    this->Sweep(appended_at);
  }
  const auto found = this->positions.find(KeyOf(writer));
  if (found == this->positions.end()) {
    if (writer.incarnation() <= this->highest_expired) {
      return SequenceCheck::kExpiredWriter;
    }
    this->positions[KeyOf(writer)] = {sequence, appended_at};
    return SequenceCheck::kNew;
  }
  if (sequence <= found->second.sequence) {
    return SequenceCheck::kRepeat;
  }
  found->second = {sequence, appended_at};
  return SequenceCheck::kNew;
}

bool WriterPositions::Accepts(const records::Writer& writer) const {
  return writer.incarnation() > this->highest_expired ||
         this->positions.contains(KeyOf(writer));
}

std::uint64_t WriterPositions::LastSequence(
    const records::Writer& writer) const {
  const auto found = this->positions.find(KeyOf(writer));
  return found == this->positions.end() ? 0 : found->second.sequence;
}

// The snapshot schema has no field for the highest dropped incarnation. It is
// stored as the position of a writer with an empty instance, which no valid
// record has.
void WriterPositions::Save(records::Snapshot& out) const {
  out.clear_writers();
  out.add_writers()->mutable_writer()->set_incarnation(this->highest_expired);
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
  this->highest_expired = 0;
  for (const auto& saved : in.writers()) {
    if (saved.writer().instance().empty()) {
      this->highest_expired = saved.writer().incarnation();
    } else {
      this->positions[KeyOf(saved.writer())] = {
          saved.sequence(), Instant{saved.last_append_ms()}};
    }
  }
}

void WriterPositions::AddToHash(StableHash& hash) const {
  hash.Add(this->highest_expired);
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

// An incarnation ahead of the log time is kept: dropping it would reject every
// new process until its clock has passed that incarnation.
void WriterPositions::Sweep(Instant log_time) {
  const std::int64_t limit = log_time.ms - kRetentionMs;
  if (limit <= 0) {
    return;
  }
  std::erase_if(this->positions, [&](const auto& entry) {
    const std::uint64_t incarnation = entry.first.second;
    const bool old =
        entry.second.last_append.ms < limit &&
        incarnation / kMicrosPerMs < static_cast<std::uint64_t>(limit);
    if (old) {
      this->highest_expired = std::max(this->highest_expired, incarnation);
    }
    return old;
  });
}

}  // namespace carobrill::ledger
