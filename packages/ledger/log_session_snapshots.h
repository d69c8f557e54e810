#ifndef PACKAGES_LEDGER_LOG_SESSION_SNAPSHOTS_H_
#define PACKAGES_LEDGER_LOG_SESSION_SNAPSHOTS_H_

// Members of LogSession that write, read and compare snapshots. Included by
// log_session.h.

#include "packages/ledger/log_session.h"

namespace carobrill::ledger {

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
bool LogSession<StoreType, StateType, SchedulerType>::SnapshotDueByAge() const {
  constexpr std::int64_t kSnapshotsPerRetention = 4;
  return this->LogTimeNow() >=
         this->last_snapshot_time.After(this->settings.retention_ms /
                                        kSnapshotsPerRetention);
}

// Snapshots due by record count are taken at a checkpoint offset, where every
// replica computes its hash and can compare it.
template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::WriteSnapshotWhenDue() {
  const bool lineage_changed =
      this->recovery.State() == RecoveryState::kLineageChanged;
  const bool is_planner = this->hooks.should_write_snapshots &&
                          this->hooks.should_write_snapshots();
  // A snapshot just written must have time to be read back before another one
  // is started.
  if (this->snapshot_writer.Busy() ||
      this->Now() < this->next_snapshot_not_before || !this->SnapshotDue() ||
      !(is_planner || (lineage_changed && this->rejected_older_start))) {
    return;
  }
  const bool at_checkpoint =
      this->AppliedOffset() % this->CheckpointInterval() == 0;
  if (lineage_changed || at_checkpoint || this->SnapshotDueByAge()) {
    this->WriteSnapshot();
  }
}

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::SendDueChunk() {
  if (auto chunk = this->snapshot_writer.NextChunk(this->Now())) {
    this->store.Append(this->settings.snapshot_stream, {std::move(*chunk)},
                       this->Now().After(this->settings.call_timeout_ms),
                       this->IfAlive([this](const AppendReply& reply) {
                         this->snapshot_writer.OnReply(
                             this->UpdateOutage(reply.failure), this->Now());
                         this->RunDueWork();
                       }));
  }
  this->ScheduleWakeup(this->snapshot_writer.NextDeadline());
}

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::RestartSnapshotStream() {
  this->snapshot_offset = 0;
  this->assembler.Clear();
  this->snapshot_candidates.clear();
  this->foreign_lineage_snapshot.reset();
}

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::PollSnapshotStream() {
  if (!this->snapshot_poll.Due(this->Now())) {
    this->ScheduleWakeup(this->snapshot_poll.NextDeadline());
    return;
  }
  this->Read(this->snapshot_poll,
             {this->settings.snapshot_stream, this->snapshot_offset,
              this->settings.max_read_chunks, 0},
             [this](const ReadReply& reply) { this->OnChunks(reply); });
}

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::OnChunks(
    const ReadReply& reply) {
  if (!this->UpdateOutage(reply.failure)) {
    this->BackOff(this->snapshot_poll);
    if (this->recovery.State() == RecoveryState::kLoadingSnapshot) {
      this->HandleRecoveryEvent(RecoveryEvent::kStoreUnavailable);
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

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::AddChunks(
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
    this->snapshot_poll.ScheduleNext(this->Now());
  } else if (before == RecoveryState::kLoadingSnapshot) {
    this->OnSnapshotStreamEnd();
  } else {
    const bool lineage_changed = before == RecoveryState::kLineageChanged;
    this->snapshot_poll.ScheduleNext(
        this->Now().After(lineage_changed ? this->settings.lineage_poll_ms
                                          : this->settings.snapshot_poll_ms));
  }
}

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::OnSnapshot(
    const records::Snapshot& snapshot) {
  switch (this->recovery.State()) {
    case RecoveryState::kLoadingSnapshot:
      this->AddSnapshotCandidate(snapshot);
      return;
    case RecoveryState::kLineageChanged:
      this->RecordSnapshotPosition(snapshot);
      this->StartLineageFromSnapshot(snapshot);
      return;
    default:
      this->RecordSnapshotPosition(snapshot);
      this->CompareWithSnapshot(snapshot);
      return;
  }
}

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::RecordSnapshotPosition(
    const records::Snapshot& snapshot) {
  if (snapshot.lineage() == this->log_lineage &&
      snapshot.covered_offset() >= this->last_snapshot_offset) {
    this->last_snapshot_offset = snapshot.covered_offset();
    this->last_snapshot_time = Instant{snapshot.log_time_ms()};
  }
}

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::ReportDivergence(
    const std::optional<Divergence>& divergence) {
  if (divergence.has_value() && this->hooks.on_divergence) {
    this->hooks.on_divergence(*divergence);
  }
}

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::CompareWithSnapshot(
    const records::Snapshot& snapshot) {
  if (snapshot.lineage() != this->Lineage()) {
    return;
  }
  if (this->ReplacesLineageStart(snapshot)) {
    this->LoadSnapshot(snapshot);
    return;
  }
  const Offset covered = snapshot.covered_offset();
  if (covered == this->AppliedOffset()) {
    this->ReportDivergence(
        this->checkpoints.AddLocalHash(covered, this->replica.Hash()));
  }
  this->ReportDivergence(
      this->checkpoints.AddSnapshotHash(covered, snapshot.state_hash()));
}

// Two entries may both write the initial snapshot of a lineage. Until a record
// of the lineage has been applied, the newer state wins.
template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
bool LogSession<StoreType, StateType, SchedulerType>::ReplacesLineageStart(
    const records::Snapshot& snapshot) const {
  return this->lineage_start_offset == this->AppliedOffset() &&
         snapshot.covered_offset() == this->AppliedOffset() &&
         snapshot.log_time_ms() > this->replica.LogTime().ms;
}

// Keeps the newest snapshots so that a fallback exists if the newest one is
// corrupt.
template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::AddSnapshotCandidate(
    const records::Snapshot& snapshot) {
  constexpr std::size_t kMaxCandidates = 2;
  if (snapshot.lineage() != this->snapshot_lineage) {
    this->foreign_lineage_snapshot = snapshot;
    return;
  }
  const auto place = std::find_if(
      this->snapshot_candidates.begin(), this->snapshot_candidates.end(),
      [&](const records::Snapshot& other) {
        return other.covered_offset() < snapshot.covered_offset();
      });
  this->snapshot_candidates.insert(place, snapshot);
  if (this->snapshot_candidates.size() > kMaxCandidates) {
    this->snapshot_candidates.pop_back();
  }
}

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::OnSnapshotStreamEnd() {
  this->log_lineage = this->snapshot_lineage;
  if (!this->Lineage().empty() && this->Lineage() != this->log_lineage) {
    this->BeginLineageChange(std::nullopt);
    return;
  }
  for (const auto& candidate : std::exchange(this->snapshot_candidates, {})) {
    if (Recovery::MayLoad(this->Position(), this->log_lineage, candidate) &&
        this->LoadSnapshot(candidate)) {
      this->RecordSnapshotPosition(candidate);
      this->HandleRecoveryEvent(RecoveryEvent::kSnapshotLoaded);
      return;
    }
  }
  if (this->foreign_lineage_snapshot.has_value() && this->Lineage().empty()) {
    this->OnRestoredLog();
    return;
  }
  this->CheckReplayFromLog();
}

// The log was restored under another lineage and no entry has written an
// initial snapshot for it yet. Waits for an entry that holds a state; after
// `restored_log_wait_ms` the old snapshot in the log is loaded instead.
template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::OnRestoredLog() {
  const bool waited = this->Now() >= this->started_at.After(
                                         this->settings.restored_log_wait_ms);
  records::Snapshot snapshot =
      *std::exchange(this->foreign_lineage_snapshot, {});
  snapshot.set_lineage(this->log_lineage);
  if (waited && this->LoadSnapshot(snapshot)) {
    this->HandleRecoveryEvent(RecoveryEvent::kSnapshotLoaded);
  } else {
    this->HandleRecoveryEvent(RecoveryEvent::kNoUsableSnapshot);
  }
}

// No snapshot is usable, but the record stream may still reach back far enough
// to be replayed.
template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::CheckReplayFromLog() {
  this->Read(this->snapshot_poll,
             {this->settings.record_stream, this->AppliedOffset(), 1, 0},
             [this](const ReadReply& reply) {
               if (!this->UpdateOutage(reply.failure)) {
                 this->HandleRecoveryEvent(RecoveryEvent::kStoreUnavailable);
               } else if (reply.failure == StoreFailure::kNone &&
                          reply.lineage == this->log_lineage &&
                          !this->MayHaveRestartedEmpty()) {
                 this->HandleRecoveryEvent(RecoveryEvent::kReplayFromStart);
               } else {
                 this->HandleRecoveryEvent(RecoveryEvent::kNoUsableSnapshot);
               }
             });
}

// A log without snapshots is either new or has restarted empty while other
// entries still hold the state and are about to write it. A process without
// state therefore asks a peer first.
template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
bool LogSession<StoreType, StateType, SchedulerType>::MayHaveRestartedEmpty()
    const {
  return this->Lineage().empty() &&
         this->Now() < this->started_at.After(this->settings.lineage_settle_ms);
}

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
ReplicaPosition LogSession<StoreType, StateType, SchedulerType>::Position()
    const {
  return {this->Lineage(), this->AppliedOffset(), this->replica.LogTime()};
}

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
bool LogSession<StoreType, StateType, SchedulerType>::LoadSnapshot(
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
