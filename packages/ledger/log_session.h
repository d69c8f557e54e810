#ifndef PACKAGES_LEDGER_LOG_SESSION_H_
#define PACKAGES_LEDGER_LOG_SESSION_H_

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "packages/core/store.h"
#include "packages/ledger/appender.h"
#include "packages/ledger/backlog.h"
#include "packages/ledger/checkpoints.h"
#include "packages/ledger/log_clock.h"
#include "packages/ledger/peer_sync.h"
#include "packages/ledger/poll.h"
#include "packages/ledger/proposal.h"
#include "packages/ledger/recovery.h"
#include "packages/ledger/replica.h"
#include "packages/ledger/session_hooks.h"
#include "packages/ledger/session_settings.h"
#include "packages/ledger/snapshot_assembler.h"
#include "packages/ledger/snapshot_writer.h"

namespace carobrill::ledger {

/// Follows the log with a replica of `Fold` and appends proposals to it. All
/// calls and callbacks are on one task; `Store` and `Scheduler` must call back
/// later, never inside the call.
template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
class LogSession {
 public:
  /// `store` and `scheduler` must outlive the session. `writer` names this
  /// process; its incarnation is used until the log has forgotten it.
  LogSession(const SessionSettings& settings,
             records::Writer writer,
             const Recovery& recovery,
             StoreType& store,
             SchedulerType& scheduler,
             SessionHooks hooks,
             Fold empty = Fold{})
      : settings(settings),
        store(store),
        scheduler(scheduler),
        hooks(std::move(hooks)),
        recovery(recovery),
        appender(settings.appender, std::move(writer)),
        replica(std::move(empty)) {
    assert(settings.Valid());
  }

  LogSession(const LogSession&) = delete;
  LogSession& operator=(const LogSession&) = delete;

  /// Starts to recover; called once.
  void Start() {
    this->started_at = this->Now();
    this->Raise(RecoveryEvent::kStart);
    this->Pump();
  }

  /// Appends `record`, whose writer and sequence are filled in; `callback` runs
  /// once with the outcome, after the hook for the folded record. Returns 0
  /// when the record was refused; the callback still runs.
  ProposalId Propose(records::Record record, ProposalCallback callback) {
    std::optional<ProposalId> id;
    if (this->CanPropose()) {
      id = this->appender.Add(std::move(record));
    }
    if (!id.has_value()) {
      this->Refuse(std::move(callback));
      return 0;
    }
    this->callbacks[*id] = std::move(callback);
    this->WakeAt(this->Now());
    return *id;
  }

  /// Withdraws a proposal that was never sent. True means that it is certain
  /// never to be written, and that its callback will not run.
  bool Abandon(ProposalId proposal) {
    if (!this->appender.Abandon(proposal)) {
      return false;
    }
    this->callbacks.erase(proposal);
    return true;
  }

  /// What is known about a proposal.
  ProposalState StateOf(ProposalId proposal) const {
    return this->appender.StateOf(proposal);
  }

  /// True when the state may be used to serve; it stays true in an outage.
  bool Ready() const { return this->recovery.Ready(); }

  /// True when proposals are accepted: the state is ready and the log has its
  /// lineage. They are accepted, and wait, during an outage.
  bool CanPropose() const {
    return this->Ready() &&
           this->recovery.State() != RecoveryState::kLineageChanged;
  }

  /// True while the last answered call to the log has failed.
  bool InOutage() const { return this->outage; }

  /// When the log last answered a call.
  Instant LastContact() const { return this->last_contact; }

  RecoveryState CurrentRecoveryState() const { return this->recovery.State(); }
  Offset AppliedOffset() const { return this->replica.NextOffset(); }
  const std::string& Lineage() const { return this->replica.Lineage(); }
  const records::Writer& WriterName() const { return this->appender.Name(); }
  const Replica<Fold>& CurrentReplica() const { return this->replica; }
  const Fold& State() const { return this->replica.State(); }
  std::uint64_t ComparedSnapshots() const {
    return this->checkpoints.Compared();
  }

  /// Estimate of the log's present time.
  Instant LogTimeNow() const { return this->log_clock.Estimate(this->Now()); }

  /// True when a snapshot should be written: the records or the time since the
  /// last one call for it, or a new lineage needs its start.
  bool SnapshotDue() const {
    if (this->recovery.State() == RecoveryState::kLineageChanged) {
      return true;
    }
    if (this->recovery.State() != RecoveryState::kFollowing ||
        this->AppliedOffset() <= this->last_snapshot_offset) {
      return false;
    }
    return this->AppliedOffset() - this->last_snapshot_offset >=
               this->settings.records_per_snapshot ||
           this->SnapshotDueByTime();
  }

  /// Writes a snapshot of the current state. False when the log has not told
  /// its lineage yet, nothing is there to write, or one is being written.
  bool WriteSnapshot() {
    if (this->snapshot_writer.Busy() || this->Lineage().empty()) {
      return false;
    }
    records::Snapshot snapshot = this->replica.Save();
    if (this->recovery.State() == RecoveryState::kLineageChanged) {
      if (!this->lineage_end.has_value()) {
        return false;
      }
      snapshot.set_lineage(this->log_lineage);
      snapshot.set_covered_offset(*this->lineage_end);
    } else {
      this->Compare(this->checkpoints.AddOwn(this->AppliedOffset(),
                                             snapshot.state_hash()));
    }
    this->snapshot_writer.Start(snapshot, this->appender.Name());
    this->snapshot_hold_until = this->Now().After(
        this->settings.call_timeout_ms + this->settings.snapshot_poll_ms);
    this->WakeAt(this->Now());
    return true;
  }

  /// Answers a peer that catches up; nothing while the own state is not ready.
  std::optional<PeerState> Serve(const PeerQuery& query) const {
    if (!this->Ready()) {
      return std::nullopt;
    }
    return ServePeer(this->replica, this->backlog, query);
  }

 private:
  Instant Now() const { return this->scheduler.Now(); }

  // Wraps a function so that it does nothing once the session is gone.
  template <typename Function>
  auto Guarded(Function function) {
    return [alive = std::weak_ptr<int>(this->alive),
            function = std::move(function)](auto&&... arguments) mutable {
      if (!alive.expired()) {
        function(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

  // ---- Timers and the order of work.

  void WakeAt(Instant deadline) {
    if (deadline >= this->next_wake) {
      return;
    }
    this->next_wake = deadline;
    this->scheduler.PostAt(deadline, this->Guarded([this] {
      if (this->Now() >= this->next_wake) {
        this->next_wake = Instant::Never();
      }
      this->Pump();
    }));
  }

  void Pump() {
    this->PumpRecovery();
    this->PumpAppender();
    this->PumpSnapshotWriter();
  }

  void PumpRecovery() {
    switch (this->recovery.State()) {
      case RecoveryState::kStarting:
        return;
      case RecoveryState::kLoadingSnapshot:
        this->PumpSnapshots();
        return;
      case RecoveryState::kTailing:
        this->PumpRecords();
        return;
      case RecoveryState::kFollowing:
        this->PumpRecords();
        this->PumpSnapshots();
        this->WriteSnapshotWhenDue();
        return;
      case RecoveryState::kFetchingFromPeer:
        this->PumpPeer();
        return;
      case RecoveryState::kWaiting:
        this->PumpWaiting();
        return;
      case RecoveryState::kLineageChanged:
        this->PumpProbe();
        this->PumpSnapshots();
        this->WriteSnapshotWhenDue();
        return;
    }
  }

  void Raise(RecoveryEvent event) {
    if (!this->recovery.Handle(event)) {
      return;
    }
    this->record_poll.Restart();
    this->snapshot_poll.Restart();
    this->peer_poll.Restart();
    if (this->recovery.State() == RecoveryState::kLoadingSnapshot ||
        this->recovery.State() == RecoveryState::kLineageChanged) {
      this->RestartSnapshotStream();
    }
    if (this->hooks.on_recovery_state) {
      this->hooks.on_recovery_state(this->recovery.State());
    }
    this->WakeAt(this->Now());
  }

  // ---- Contact with the log.

  // True when the call succeeded; otherwise notes the outage.
  bool NoteContact(StoreFailure failure) {
    this->outage =
        failure != StoreFailure::kNone && failure != StoreFailure::kExpired;
    if (!this->outage) {
      this->last_contact = this->Now();
    }
    return !this->outage;
  }

  void Delay(Poll& poll) {
    poll.Failed(this->Now(), this->settings.first_retry_ms,
                this->settings.max_retry_ms);
  }

  Instant ReadDeadline(std::int64_t wait_ms) const {
    return this->Now().After(wait_ms + this->settings.call_timeout_ms);
  }

  void Read(Poll& poll,
            const ReadQuery& query,
            std::function<void(ReadReply)> on_reply) {
    const std::uint64_t number = poll.Open();
    this->store.Read(
        query, this->ReadDeadline(query.wait_ms),
        this->Guarded([this, &poll, number,
                       on_reply = std::move(on_reply)](ReadReply reply) {
          if (poll.Close(number)) {
            on_reply(std::move(reply));
            this->Pump();
          }
        }));
  }

  // Notes the lineage that the log names; true when it is the replica's own or
  // the replica has none.
  bool SameLineage(const std::string& name) {
    if (!name.empty()) {
      this->log_lineage = name;
    }
    return name.empty() || this->Lineage().empty() || this->Lineage() == name;
  }

  // ---- The record stream.

  void PumpRecords() {
    if (!this->record_poll.Due(this->Now())) {
      this->WakeAt(this->record_poll.NextDeadline());
      return;
    }
    // A read that waits would delay the discovery that nothing is missing.
    const std::int64_t wait_ms =
        this->recovery.State() == RecoveryState::kFollowing
            ? this->settings.read_wait_ms
            : 0;
    this->Read(this->record_poll,
               {this->settings.record_stream, this->AppliedOffset(),
                this->settings.max_read_records, wait_ms},
               [this](ReadReply reply) { this->OnRecords(reply); });
  }

  void OnRecords(const ReadReply& reply) {
    if (!this->NoteContact(reply.failure)) {
      this->Delay(this->record_poll);
      if (!this->Ready()) {
        this->Raise(RecoveryEvent::kStoreUnavailable);
      }
      return;
    }
    if (!this->SameLineage(reply.lineage)) {
      this->BeginLineageChange(reply.failure == StoreFailure::kNone
                                   ? std::optional(reply.next_offset)
                                   : std::nullopt);
      return;
    }
    if (reply.failure == StoreFailure::kExpired || this->HasGap(reply)) {
      this->Raise(RecoveryEvent::kOffsetExpired);
      return;
    }
    if (this->Lineage().empty()) {
      this->replica.StartLineage(reply.lineage, 0);
      this->backlog.Reset(reply.lineage, 0);
      // Until a record has been folded, an entry that holds the state of the
      // lineage before may still write the start of this one.
      this->lineage_start = 0;
    }
    this->record_poll.Succeeded(this->Now());
    this->FoldAll(reply.records);
    if (this->AppliedOffset() >= reply.next_offset) {
      this->Raise(RecoveryEvent::kCaughtUp);
    }
  }

  bool HasGap(const ReadReply& reply) const {
    return !reply.records.empty() &&
           reply.records.front().offset > this->AppliedOffset();
  }

  void FoldAll(const std::vector<StoreRecord>& stored) {
    for (const auto& record : stored) {
      if (record.offset >= this->AppliedOffset()) {
        this->FoldOne(record);
      }
    }
  }

  void FoldOne(const StoreRecord& stored) {
    const FoldedRecord folded = this->replica.Apply(stored);
    this->backlog.Add(stored);
    if (this->last_snapshot_time == Instant{}) {
      this->last_snapshot_time = stored.appended_at;
    }
    this->log_clock.Observe(stored.appended_at, this->Now());
    if (this->hooks.on_folded) {
      this->hooks.on_folded(folded);
    }
    this->ResolveOwn(folded);
    this->AtCheckpoint();
  }

  void AtCheckpoint() {
    const Offset offset = this->AppliedOffset();
    const bool checkpoint = offset % this->CheckpointInterval() == 0;
    if (checkpoint || this->checkpoints.Awaits(offset)) {
      this->Compare(this->checkpoints.AddOwn(offset, this->replica.Hash()));
    }
    if (checkpoint) {
      this->WriteSnapshotWhenDue();
    }
  }

  Offset CheckpointInterval() const {
    return std::min(this->settings.records_per_checkpoint,
                    this->settings.records_per_snapshot);
  }

  // ---- Proposals.

  void Refuse(ProposalCallback callback) {
    this->scheduler.PostAt(this->Now(), this->Guarded([callback = std::move(
                                                           callback)] {
      callback({ProposalOutcome::kNotWritten, records::Verdict::kIgnored, 0});
    }));
  }

  void Finish(ProposalId proposal, const ProposalResult& result) {
    auto found = this->callbacks.extract(proposal);
    if (!found.empty() && found.mapped()) {
      found.mapped()(result);
    }
  }

  void ResolveOwn(const FoldedRecord& folded) {
    if (folded.status == FoldStatus::kMalformed) {
      return;
    }
    if (folded.status == FoldStatus::kForgottenWriter) {
      // All records since the batch was first sent have been folded, so no
      // copy of it was applied: it may be sent again under a new name.
      this->RenewWriterWhenForgotten();
      return;
    }
    const auto proposal =
        this->appender.OnRead(folded.record.writer(), folded.record.sequence());
    if (proposal.has_value()) {
      this->Finish(*proposal,
                   {ProposalOutcome::kDecided, folded.verdict, folded.offset});
    }
  }

  void RenewWriterWhenForgotten() {
    const records::Writer& name = this->appender.Name();
    if (!this->replica.Writers().Accepts(name)) {
      this->appender.Renew(
          std::max(this->replica.Writers().ForgottenIncarnation(),
                   name.incarnation()) +
          1);
    }
  }

  // Records in flight that the new state covers were folded by another replica,
  // whose verdict is not known here. With a forgotten writer it cannot even be
  // told which ones are covered.
  void ResolveAfterStateReplaced() {
    const WriterPositions& writers = this->replica.Writers();
    const std::uint64_t covered =
        writers.Accepts(this->appender.Name())
            ? writers.SequenceOf(this->appender.Name())
            : std::numeric_limits<std::uint64_t>::max();
    for (const ProposalId proposal : this->appender.OnStateReplaced(covered)) {
      this->Finish(proposal, {ProposalOutcome::kVerdictUnknown,
                              records::Verdict::kIgnored, 0});
    }
    this->RenewWriterWhenForgotten();
  }

  bool MaySend() const {
    return this->CanPropose() && this->Now() >= this->propose_not_before;
  }

  void PumpAppender() {
    if (!this->MaySend()) {
      if (this->CanPropose()) {
        this->WakeAt(this->propose_not_before);
      }
      return;
    }
    if (this->appender.RecordsInFlight() == 0) {
      this->RenewWriterWhenForgotten();
    }
    if (auto batch = this->appender.NextBatch(this->Now())) {
      this->Send(std::move(*batch));
    }
    this->WakeAt(this->appender.NextDeadline());
  }

  void Send(Batch batch) {
    this->store.Append(
        this->settings.record_stream, std::move(batch.records),
        this->Now().After(this->settings.call_timeout_ms),
        this->Guarded([this, id = batch.id](const AppendReply& reply) {
          this->NoteContact(reply.failure);
          this->appender.OnAnswered(id, reply, this->Now());
          this->Pump();
        }));
  }

  // ---- Writing snapshots.

  bool SnapshotDueByTime() const;
  void WriteSnapshotWhenDue();
  void PumpSnapshotWriter();

  // ---- The snapshot stream.

  void RestartSnapshotStream();
  void PumpSnapshots();
  void OnChunks(const ReadReply& reply);
  void AddChunks(const ReadReply& reply);
  void OnSnapshot(const records::Snapshot& snapshot);
  void NoteSnapshot(const records::Snapshot& snapshot);
  void Compare(const std::optional<Divergence>& divergence);
  void CompareWith(const records::Snapshot& snapshot);
  bool ReplacesStart(const records::Snapshot& snapshot) const;
  void AddCandidate(const records::Snapshot& snapshot);
  void OnSnapshotsRead();
  void OnRestoredLog();
  void ProbeReplay();
  bool MayBeRestarted() const;
  ReplicaPosition Position() const;
  bool LoadSnapshot(const records::Snapshot& snapshot);

  // ---- Another lineage.

  void BeginLineageChange(std::optional<Offset> end_of_records);
  void PumpProbe();
  void OnProbe(const ReadReply& reply);
  void StartLineageFrom(const records::Snapshot& snapshot);

  // ---- Peers.

  void PumpPeer();
  bool LoadPeer(const PeerState& answer);

  // Nothing helped: the search starts again after a delay.
  void PumpWaiting() {
    if (!this->waiting_until.has_value()) {
      this->waiting_until = this->Now().After(this->settings.max_retry_ms);
    }
    if (this->Now() < *this->waiting_until) {
      this->WakeAt(*this->waiting_until);
      return;
    }
    this->waiting_until.reset();
    this->Raise(RecoveryEvent::kRetry);
  }

  SessionSettings settings;
  StoreType& store;
  SchedulerType& scheduler;
  SessionHooks hooks;
  Recovery recovery;
  Appender appender;
  Replica<Fold> replica;
  Backlog backlog;
  Checkpoints checkpoints;
  LogClock log_clock;
  SnapshotWriter snapshot_writer;
  SnapshotAssembler assembler;
  std::unordered_map<ProposalId, ProposalCallback> callbacks;

  Poll record_poll;
  Poll snapshot_poll;
  Poll peer_poll;
  Instant peer_deadline;
  Instant next_wake = Instant::Never();
  Instant started_at;
  Instant propose_not_before;
  std::optional<Instant> waiting_until;
  Instant last_contact;
  bool outage = false;

  // Lineage that the log named last, and the end of its record stream.
  std::string log_lineage;
  std::optional<Offset> lineage_end;
  Offset probe_offset = 0;
  std::optional<Offset> lineage_start;
  bool refused_older_start = false;

  // Position in the snapshot stream, and what it held.
  std::string snapshot_lineage;
  Offset snapshot_offset = 0;
  std::vector<records::Snapshot> candidates;
  std::optional<records::Snapshot> foreign_candidate;
  Offset last_snapshot_offset = 0;
  Instant last_snapshot_time;
  Instant snapshot_hold_until;

  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace carobrill::ledger

// The definitions of the longer parts.
#include "packages/ledger/log_session_lineage.h"
#include "packages/ledger/log_session_snapshots.h"

#endif  // PACKAGES_LEDGER_LOG_SESSION_H_
