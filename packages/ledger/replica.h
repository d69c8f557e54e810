#ifndef PACKAGES_LEDGER_REPLICA_H_
#define PACKAGES_LEDGER_REPLICA_H_

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <string>
#include <utility>

#include "packages/core/hash.h"
#include "packages/core/name_table.h"
#include "packages/core/store.h"
#include "packages/ledger/writer_positions.h"
#include "packages/records/replicated_component.h"

namespace carobrill::ledger {

/// How a replica processed a record of the log.
enum class ApplyStatus { kApplied, kRepeat, kExpiredWriter, kMalformed };

constexpr auto NamesOf(ApplyStatus) {
  return MakeNameTable<ApplyStatus>({
      {ApplyStatus::kApplied, "applied"},
      {ApplyStatus::kRepeat, "repeat"},
      {ApplyStatus::kExpiredWriter, "forgotten_writer"},
      {ApplyStatus::kMalformed, "malformed"},
  });
}

/// A processed record. `verdict` is the verdict of the state with kApplied, and
/// kDuplicate, kStaleIncarnation or kMalformed otherwise.
struct AppliedRecord {
  ApplyStatus status = ApplyStatus::kApplied;
  records::Verdict verdict = records::Verdict::kIgnored;
  Offset offset = 0;
  Instant appended_at;
  records::Record record;
};

/// Records processed since the replica was created; not part of its state.
struct ApplyCounts {
  std::uint64_t applied = 0;
  std::uint64_t repeats = 0;
  std::uint64_t expired_writers = 0;
  std::uint64_t malformed = 0;
};

/// Replicated state with its position in the log. `StateType` must be copyable.
template <records::ReplicatedComponent StateType>
class Replica {
 public:
  /// `empty` is the initial state before the first record.
  explicit Replica(StateType empty = StateType{})
      : empty(empty), state(std::move(empty)) {}

  /// Applies the next record. Its offset must not be lower than `NextOffset()`.
  AppliedRecord Apply(const StoreRecord& stored) {
    assert(stored.offset >= this->next_offset);
    AppliedRecord result = this->Decode(stored);
    this->next_offset = stored.offset + 1;
    if (result.status != ApplyStatus::kMalformed) {
      result.status = this->CheckSequence(result);
    }
    this->log_time = std::max(this->log_time, stored.appended_at);
    result.verdict = this->ResolveVerdict(result);
    this->Count(result.status);
    return result;
  }

  /// Serializes the state and its position as a snapshot.
  records::Snapshot Save() const {
    records::Snapshot snapshot;
    snapshot.set_lineage(this->lineage);
    snapshot.set_covered_offset(this->next_offset);
    snapshot.set_log_time_ms(this->log_time.ms);
    snapshot.set_state_hash(this->Hash());
    this->writers.Save(snapshot);
    this->state.Save(snapshot);
    return snapshot;
  }

  /// Replaces the state with that of a snapshot. Returns false and keeps the
  /// state if a section is malformed or the hash does not match.
  bool Load(const records::Snapshot& snapshot) {
    Replica candidate(this->empty);
    if (!candidate.state.Load(snapshot)) {
      return false;
    }
    candidate.writers.Load(snapshot);
    candidate.lineage = snapshot.lineage();
    candidate.next_offset = snapshot.covered_offset();
    candidate.log_time = Instant{snapshot.log_time_ms()};
    if (candidate.Hash() != snapshot.state_hash()) {
      return false;
    }
    candidate.counts = this->counts;
    *this = std::move(candidate);
    return true;
  }

  /// Hash of the state, the writer positions and the log time. The lineage and
  /// offset are excluded so that a state that starts a new lineage keeps its
  /// hash.
  std::uint64_t Hash() const {
    StableHash hash;
    hash.Add(this->log_time.ms);
    this->writers.AddToHash(hash);
    hash.Add(this->state.Hash());
    return hash.Value();
  }

  /// Keeps the state and continues at `offset` of another lineage.
  void StartLineage(std::string name, Offset offset) {
    this->lineage = std::move(name);
    this->next_offset = offset;
  }

  const StateType& State() const { return this->state; }
  StateType& MutableState() { return this->state; }
  const WriterPositions& Writers() const { return this->writers; }
  const std::string& Lineage() const { return this->lineage; }
  Offset NextOffset() const { return this->next_offset; }
  Instant LogTime() const { return this->log_time; }
  const ApplyCounts& Counts() const { return this->counts; }

 private:
  AppliedRecord Decode(const StoreRecord& stored) const {
    AppliedRecord result;
    result.offset = stored.offset;
    // A log time that runs backwards would make replicas expire writers at
    // different records.
    result.appended_at = std::max(this->log_time, stored.appended_at);
    const bool decoded = result.record.ParseFromString(stored.data);
    if (!decoded || result.record.writer().instance().empty() ||
        result.record.sequence() == 0 ||
        result.record.body_case() == records::Record::BODY_NOT_SET) {
      result.status = ApplyStatus::kMalformed;
    }
    return result;
  }

  ApplyStatus CheckSequence(const AppliedRecord& result) {
    switch (this->writers.Observe(result.record.writer(),
                                  result.record.sequence(), this->log_time,
                                  result.appended_at)) {
      case SequenceCheck::kNew:
        return ApplyStatus::kApplied;
      case SequenceCheck::kRepeat:
        return ApplyStatus::kRepeat;
      case SequenceCheck::kExpiredWriter:
        return ApplyStatus::kExpiredWriter;
    }
    return ApplyStatus::kRepeat;
  }

  records::Verdict ResolveVerdict(const AppliedRecord& result) {
    switch (result.status) {
      case ApplyStatus::kApplied:
        return this->state.Apply(result.record, result.offset,
                                 result.appended_at);
      case ApplyStatus::kRepeat:
        return records::Verdict::kDuplicate;
      case ApplyStatus::kExpiredWriter:
        return records::Verdict::kStaleIncarnation;
      case ApplyStatus::kMalformed:
        return records::Verdict::kMalformed;
    }
    return records::Verdict::kMalformed;
  }

  void Count(ApplyStatus status) {
    this->counts.applied += status == ApplyStatus::kApplied ? 1 : 0;
    this->counts.repeats += status == ApplyStatus::kRepeat ? 1 : 0;
    this->counts.expired_writers +=
        status == ApplyStatus::kExpiredWriter ? 1 : 0;
    this->counts.malformed += status == ApplyStatus::kMalformed ? 1 : 0;
  }

  StateType empty;
  StateType state;
  WriterPositions writers;
  std::string lineage;
  Offset next_offset = 0;
  Instant log_time;
  ApplyCounts counts;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_REPLICA_H_
