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
#include "packages/records/foldable.h"

namespace carobrill::ledger {

/// What a replica did with a record of the log.
enum class FoldStatus { kApplied, kRepeat, kForgottenWriter, kMalformed };

constexpr auto NamesOf(FoldStatus) {
  return MakeNameTable<FoldStatus>({
      {FoldStatus::kApplied, "applied"},
      {FoldStatus::kRepeat, "repeat"},
      {FoldStatus::kForgottenWriter, "forgotten_writer"},
      {FoldStatus::kMalformed, "malformed"},
  });
}

/// A record after it was folded. `verdict` is the fold's with kApplied, and
/// kDuplicate, kStaleIncarnation or kMalformed otherwise.
struct FoldedRecord {
  FoldStatus status = FoldStatus::kApplied;
  records::Verdict verdict = records::Verdict::kIgnored;
  Offset offset = 0;
  Instant appended_at;
  records::Record record;
};

/// Records that a replica saw since it was made; not part of its state.
struct FoldCounts {
  std::uint64_t applied = 0;
  std::uint64_t repeats = 0;
  std::uint64_t forgotten_writers = 0;
  std::uint64_t malformed = 0;
};

/// The state of the fold with its position in the log. `Fold` must be copyable.
template <records::Foldable Fold>
class Replica {
 public:
  /// `empty` is the state before the first record.
  explicit Replica(Fold empty = Fold{})
      : empty(empty), state(std::move(empty)) {}

  /// Folds the next record. Records that the state covers must not be passed.
  FoldedRecord Apply(const StoreRecord& stored) {
    assert(stored.offset >= this->next_offset);
    FoldedRecord folded = this->Decode(stored);
    this->next_offset = stored.offset + 1;
    if (folded.status != FoldStatus::kMalformed) {
      folded.status = this->Note(folded);
    }
    this->log_time = std::max(this->log_time, stored.appended_at);
    folded.verdict = this->VerdictOf(folded);
    this->Count(folded.status);
    return folded;
  }

  /// The state as a snapshot.
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

  /// Replaces the state by a snapshot's. False, with the state unchanged, when
  /// a section is malformed or the hash differs from the snapshot's.
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

  /// Hash of the folded state, the writers' positions and the log time. The
  /// lineage and offset are no part of it: a state that starts a new lineage
  /// keeps its hash.
  std::uint64_t Hash() const {
    StableHash hash;
    hash.Add(this->log_time.ms);
    this->writers.AddTo(hash);
    hash.Add(this->state.Hash());
    return hash.Value();
  }

  /// Continues with the same state at an offset of another lineage.
  void StartLineage(std::string name, Offset offset) {
    this->lineage = std::move(name);
    this->next_offset = offset;
  }

  const Fold& State() const { return this->state; }
  Fold& MutableState() { return this->state; }
  const WriterPositions& Writers() const { return this->writers; }
  const std::string& Lineage() const { return this->lineage; }
  Offset NextOffset() const { return this->next_offset; }
  Instant LogTime() const { return this->log_time; }
  const FoldCounts& Counts() const { return this->counts; }

 private:
  FoldedRecord Decode(const StoreRecord& stored) const {
    FoldedRecord folded;
    folded.offset = stored.offset;
    // A log time that runs backwards would make replicas forget writers at
    // different points.
    folded.appended_at = std::max(this->log_time, stored.appended_at);
    const bool decoded = folded.record.ParseFromString(stored.data);
    if (!decoded || folded.record.writer().instance().empty() ||
        folded.record.sequence() == 0 ||
        folded.record.body_case() == records::Record::BODY_NOT_SET) {
      folded.status = FoldStatus::kMalformed;
    }
    return folded;
  }

  FoldStatus Note(const FoldedRecord& folded) {
    switch (this->writers.Note(folded.record.writer(), folded.record.sequence(),
                               this->log_time, folded.appended_at)) {
      case Novelty::kNew:
        return FoldStatus::kApplied;
      case Novelty::kRepeat:
        return FoldStatus::kRepeat;
      case Novelty::kForgottenWriter:
        return FoldStatus::kForgottenWriter;
    }
    return FoldStatus::kRepeat;
  }

  records::Verdict VerdictOf(const FoldedRecord& folded) {
    switch (folded.status) {
      case FoldStatus::kApplied:
        return this->state.Apply(folded.record, folded.offset,
                                 folded.appended_at);
      case FoldStatus::kRepeat:
        return records::Verdict::kDuplicate;
      case FoldStatus::kForgottenWriter:
        return records::Verdict::kStaleIncarnation;
      case FoldStatus::kMalformed:
        return records::Verdict::kMalformed;
    }
    return records::Verdict::kMalformed;
  }

  void Count(FoldStatus status) {
    this->counts.applied += status == FoldStatus::kApplied ? 1 : 0;
    this->counts.repeats += status == FoldStatus::kRepeat ? 1 : 0;
    this->counts.forgotten_writers +=
        status == FoldStatus::kForgottenWriter ? 1 : 0;
    this->counts.malformed += status == FoldStatus::kMalformed ? 1 : 0;
  }

  Fold empty;
  Fold state;
  WriterPositions writers;
  std::string lineage;
  Offset next_offset = 0;
  Instant log_time;
  FoldCounts counts;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_REPLICA_H_
