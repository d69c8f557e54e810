#ifndef PACKAGES_LEDGER_LOG_SESSION_SNAPSHOTS_H_
#define PACKAGES_LEDGER_LOG_SESSION_SNAPSHOTS_H_

// Members of LogSession that write, read and compare snapshots; included by it.

#include "packages/ledger/log_session.h"

namespace carobrill::ledger {

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
bool LogSession<StoreType, Fold, SchedulerType>::SnapshotDueByTime() const {
  constexpr std::int64_t kSnapshotsPerRetention = 4;
  return this->LogTimeNow() >=
         this->last_snapshot_time.After(this->settings.retention_ms /
                                        kSnapshotsPerRetention);
}

// Snapshots that are due by the number of records wait for a checkpoint, at
// which every replica knows its hash and can compare it.
template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::WriteSnapshotWhenDue() {
  const bool changed = this->recovery.State() == RecoveryState::kLineageChanged;
  const bool planned =
      this->hooks.writes_snapshots && this->hooks.writes_snapshots();
  // The last snapshot is given time to be read back before it is repeated.
  if (this->snapshot_writer.Busy() || this->Now() < this->snapshot_hold_until ||
      !this->SnapshotDue() ||
      !(planned || (changed && this->refused_older_start))) {
    return;
  }
  const bool at_checkpoint =
      this->AppliedOffset() % this->CheckpointInterval() == 0;
  if (changed || at_checkpoint || this->SnapshotDueByTime()) {
    this->WriteSnapshot();
  }
}

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::PumpSnapshotWriter() {
  if (auto chunk = this->snapshot_writer.NextChunk(this->Now())) {
    this->store.Append(this->settings.snapshot_stream, {std::move(*chunk)},
                       this->Now().After(this->settings.call_timeout_ms),
                       this->Guarded([this](const AppendReply& reply) {
                         this->snapshot_writer.OnAnswered(
                             this->NoteContact(reply.failure), this->Now());
                         this->Pump();
                       }));
  }
  this->WakeAt(this->snapshot_writer.NextDeadline());
}

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::RestartSnapshotStream() {
  this->snapshot_offset = 0;
  this->assembler.Clear();
  this->candidates.clear();
  this->foreign_candidate.reset();
}

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::PumpSnapshots() {
  if (!this->snapshot_poll.Due(this->Now())) {
    this->WakeAt(this->snapshot_poll.NextDeadline());
    return;
  }
  this->Read(this->snapshot_poll,
             {this->settings.snapshot_stream, this->snapshot_offset,
              this->settings.max_read_chunks, 0},
             [this](const ReadReply& reply) { this->OnChunks(reply); });
}

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::OnChunks(
    const ReadReply& reply) {
  if (!this->NoteContact(reply.failure)) {
    this->Delay(this->snapshot_poll);
    if (this->recovery.State() == RecoveryState::kLoadingSnapshot) {
      this->Raise(RecoveryEvent::kStoreUnavailable);
    }
    return;
  }
  if (!reply.lineage.empty() && reply.lineage != this->snapshot_lineage) {
    this->snapshot_lineage = reply.lineage;
    this->RestartSnapshotStream();
  } else if (reply.failure == StoreFailure::kExpired) {
    this->snapshot_offset = reply.oldest_offset;
  } else {
    this->AddChunks(reply);
  }
}

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::AddChunks(
    const ReadReply& reply) {
  const RecoveryState before = this->recovery.State();
  for (const auto& stored : reply.records) {
    this->snapshot_offset = stored.offset + 1;
    if (const auto snapshot = this->assembler.Add(stored)) {
      this->OnSnapshot(*snapshot);
    }
  }
  if (this->recovery.State() != before) {
    return;
  }
  if (this->snapshot_offset < reply.next_offset) {
    this->snapshot_poll.Succeeded(this->Now());
  } else if (before == RecoveryState::kLoadingSnapshot) {
    this->OnSnapshotsRead();
  } else {
    const bool changed = before == RecoveryState::kLineageChanged;
    this->snapshot_poll.Succeeded(
        this->Now().After(changed ? this->settings.lineage_poll_ms
                                  : this->settings.snapshot_poll_ms));
  }
}

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::OnSnapshot(
    const records::Snapshot& snapshot) {
  switch (this->recovery.State()) {
    case RecoveryState::kLoadingSnapshot:
      this->AddCandidate(snapshot);
      return;
    case RecoveryState::kLineageChanged:
      this->NoteSnapshot(snapshot);
      this->StartLineageFrom(snapshot);
      return;
    default:
      this->NoteSnapshot(snapshot);
      this->CompareWith(snapshot);
      return;
  }
}

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::NoteSnapshot(
    const records::Snapshot& snapshot) {
  if (snapshot.lineage() == this->log_lineage &&
      snapshot.covered_offset() >= this->last_snapshot_offset) {
    this->last_snapshot_offset = snapshot.covered_offset();
    this->last_snapshot_time = Instant{snapshot.log_time_ms()};
  }
}

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::Compare(
    const std::optional<Divergence>& divergence) {
  if (divergence.has_value() && this->hooks.on_divergence) {
    this->hooks.on_divergence(*divergence);
  }
}

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::CompareWith(
    const records::Snapshot& snapshot) {
  if (snapshot.lineage() != this->Lineage()) {
    return;
  }
  if (this->ReplacesStart(snapshot)) {
    this->LoadSnapshot(snapshot);
    return;
  }
  const Offset covered = snapshot.covered_offset();
  if (covered == this->AppliedOffset()) {
    this->Compare(this->checkpoints.AddOwn(covered, this->replica.Hash()));
  }
  this->Compare(this->checkpoints.AddSnapshot(covered, snapshot.state_hash()));
}

// Two entries may have started a lineage; as long as no record of it has been
// folded, the newer state wins.
template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
bool LogSession<StoreType, Fold, SchedulerType>::ReplacesStart(
    const records::Snapshot& snapshot) const {
  return this->lineage_start == this->AppliedOffset() &&
         snapshot.covered_offset() == this->AppliedOffset() &&
         snapshot.log_time_ms() > this->replica.LogTime().ms;
}

// Keeps the newest snapshots, so that there is another one when the newest
// turns out to be corrupt.
template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::AddCandidate(
    const records::Snapshot& snapshot) {
  constexpr std::size_t kMaxCandidates = 2;
  if (snapshot.lineage() != this->snapshot_lineage) {
    this->foreign_candidate = snapshot;
    return;
  }
  const auto place =
      std::find_if(this->candidates.begin(), this->candidates.end(),
                   [&](const records::Snapshot& other) {
                     return other.covered_offset() < snapshot.covered_offset();
                   });
  this->candidates.insert(place, snapshot);
  if (this->candidates.size() > kMaxCandidates) {
    this->candidates.pop_back();
  }
}

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::OnSnapshotsRead() {
  this->log_lineage = this->snapshot_lineage;
  if (!this->Lineage().empty() && this->Lineage() != this->log_lineage) {
    this->BeginLineageChange(std::nullopt);
    return;
  }
  for (const auto& candidate : std::exchange(this->candidates, {})) {
    if (Recovery::MayLoad(this->Position(), this->log_lineage, candidate) &&
        this->LoadSnapshot(candidate)) {
      this->NoteSnapshot(candidate);
      this->Raise(RecoveryEvent::kSnapshotLoaded);
      return;
    }
  }
  if (this->foreign_candidate.has_value() && this->Lineage().empty()) {
    this->OnRestoredLog();
    return;
  }
  this->ProbeReplay();
}

// The log was restored under another lineage before any entry with a state
// could write the start of it. Such an entry is waited for; after a while
// its content is all there is.
template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::OnRestoredLog() {
  const bool waited = this->Now() >= this->started_at.After(
                                         this->settings.restored_log_wait_ms);
  records::Snapshot snapshot = *std::exchange(this->foreign_candidate, {});
  snapshot.set_lineage(this->log_lineage);
  if (waited && this->LoadSnapshot(snapshot)) {
    this->Raise(RecoveryEvent::kSnapshotLoaded);
  } else {
    this->Raise(RecoveryEvent::kNothingUsable);
  }
}

// No snapshot helps: the records themselves may still reach back far enough.
template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::ProbeReplay() {
  this->Read(this->snapshot_poll,
             {this->settings.record_stream, this->AppliedOffset(), 1, 0},
             [this](const ReadReply& reply) {
               if (!this->NoteContact(reply.failure)) {
                 this->Raise(RecoveryEvent::kStoreUnavailable);
               } else if (reply.failure == StoreFailure::kNone &&
                          reply.lineage == this->log_lineage &&
                          !this->MayBeRestarted()) {
                 this->Raise(RecoveryEvent::kReplayFromStart);
               } else {
                 this->Raise(RecoveryEvent::kNothingUsable);
               }
             });
}

// A log without snapshots may be new, or may have restarted without its
// content while other entries hold the state, which they write or append to
// in a moment: a process without state first asks a peer.
template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
bool LogSession<StoreType, Fold, SchedulerType>::MayBeRestarted() const {
  return this->Lineage().empty() &&
         this->Now() < this->started_at.After(this->settings.lineage_settle_ms);
}

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
ReplicaPosition LogSession<StoreType, Fold, SchedulerType>::Position() const {
  return {this->Lineage(), this->AppliedOffset(), this->replica.LogTime()};
}

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
bool LogSession<StoreType, Fold, SchedulerType>::LoadSnapshot(
    const records::Snapshot& snapshot) {
  if (!this->replica.Load(snapshot)) {
    return false;
  }
  this->backlog.Reset(this->Lineage(), this->AppliedOffset());
  this->checkpoints.Clear();
  this->log_clock.Observe(this->replica.LogTime(), this->Now());
  this->ResolveAfterStateReplaced();
  if (this->hooks.on_state_replaced) {
    this->hooks.on_state_replaced();
  }
  return true;
}

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_LOG_SESSION_SNAPSHOTS_H_
