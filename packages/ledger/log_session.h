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

/// Replicates the log into a `StateType` and appends proposed records to it.
/// All calls and callbacks run on one task; `StoreType` and `SchedulerType`
/// must invoke callbacks asynchronously, never from within the call.
template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
class LogSession {
 public:
  /// `store` and `scheduler` must outlive the session. `writer` identifies this
  /// process; its incarnation is used until the log expires it.
  LogSession(const SessionSettings& settings,
             records::Writer writer,
             const Recovery& recovery,
             StoreType& store,
             SchedulerType& scheduler,
             SessionHooks hooks,
             StateType empty = StateType{})
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

  /// Starts recovery. Must be called once.
  void Start() {
    this->started_at = this->Now();
    this->HandleRecoveryEvent(RecoveryEvent::kStart);
    this->RunDueWork();
  }

  /// Queues `record` for appending and fills in its writer and sequence.
  /// `callback` runs once with the outcome, after the `on_record_applied` hook
  /// of the record. Returns 0 if the proposal was rejected; the callback then
  /// runs as well.
  ProposalId Propose(records::Record record, ProposalCallback callback) {
    std::optional<ProposalId> id;
    if (this->CanPropose()) {
      id = this->appender.Add(std::move(record));
    }
    if (!id.has_value()) {
      this->RejectProposal(std::move(callback));
      return 0;
    }
    this->callbacks[*id] = std::move(callback);
    this->ScheduleWakeup(this->Now());
    return *id;
  }

  /// Cancels a proposal that has not been sent. Returns true if it will
  /// certainly never be written; its callback then does not run.
  bool Abandon(ProposalId proposal) {
    if (!this->appender.Abandon(proposal)) {
      return false;
    }
    this->callbacks.erase(proposal);
    return true;
  }

  /// State of a proposal; kFinished also for an unknown id.
  ProposalState StateOf(ProposalId proposal) const {
    return this->appender.StateOf(proposal);
  }

  /// Whether the replicated state may be used to serve requests. It stays true
  /// during an outage of the log.
  bool Ready() const { return this->recovery.Ready(); }

  /// Whether proposals are accepted: the state is ready and belongs to the
  /// current lineage of the log (see ReplicaPosition). During an outage they
  /// are accepted and wait in the queue.
  bool CanPropose() const {
    return this->Ready() &&
           this->recovery.State() != RecoveryState::kLineageChanged;
  }

  /// Whether the most recently completed call to the log service failed.
  bool InOutage() const { return this->outage; }

  /// Time of the last valid reply from the log service.
  Instant LastContact() const { return this->last_contact; }

  RecoveryState CurrentRecoveryState() const { return this->recovery.State(); }
  Offset AppliedOffset() const { return this->replica.NextOffset(); }
  const std::string& Lineage() const { return this->replica.Lineage(); }
  const records::Writer& WriterId() const { return this->appender.WriterId(); }
  const Replica<StateType>& CurrentReplica() const { return this->replica; }
  const StateType& State() const { return this->replica.State(); }
  std::uint64_t ComparedSnapshots() const {
    return this->checkpoints.ComparedCount();
  }

  /// Estimated current time of the log service's clock.
  Instant LogTimeNow() const { return this->log_clock.Estimate(this->Now()); }

  /// Whether a snapshot is due: enough records or enough time since the last
  /// one, or a new lineage of the log that has no initial snapshot.
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
           this->SnapshotDueByAge();
  }

  /// Starts to write a snapshot of the current state. Returns false if another
  /// one is being written, the replica has no lineage yet, or the end of a new
  /// lineage is still unknown.
  bool WriteSnapshot() {
    if (this->snapshot_writer.Busy() || this->Lineage().empty()) {
      return false;
    }
    records::Snapshot snapshot = this->replica.Save();
    if (this->recovery.State() == RecoveryState::kLineageChanged) {
      if (!this->stream_end.has_value()) {
        return false;
      }
      snapshot.set_lineage(this->log_lineage);
      snapshot.set_covered_offset(*this->stream_end);
    } else {
      this->ReportDivergence(this->checkpoints.AddLocalHash(
          this->AppliedOffset(), snapshot.state_hash()));
    }
    this->snapshot_writer.Start(snapshot, this->appender.WriterId());
    this->next_snapshot_not_before = this->Now().After(
        this->settings.call_timeout_ms + this->settings.snapshot_poll_ms);
    this->ScheduleWakeup(this->Now());
    return true;
  }

  /// Answers a peer that catches up; no value while this replica is not ready.
  std::optional<PeerReply> Serve(const PeerQuery& query) const {
    if (!this->Ready()) {
      return std::nullopt;
    }
    return AnswerPeerQuery(this->replica, this->backlog, query);
  }

 private:
  Instant Now() const { return this->scheduler.Now(); }

  // Wraps a callback so that it does nothing once the session has been
  // destroyed.
  template <typename Function>
  auto IfAlive(Function function) {
    return [alive = std::weak_ptr<int>(this->alive),
            function = std::move(function)](auto&&... arguments) mutable {
      if (!alive.expired()) {
        function(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

  // ---- Timers and dispatch of due work.

  void ScheduleWakeup(Instant deadline) {
    if (deadline >= this->next_wakeup) {
      return;
    }
    this->next_wakeup = deadline;
    this->scheduler.PostAt(deadline, this->IfAlive([this] {
      if (this->Now() >= this->next_wakeup) {
        this->next_wakeup = Instant::Never();
      }
      this->RunDueWork();
    }));
  }

  void RunDueWork() {
    this->AdvanceRecovery();
    this->SendDueBatch();
    this->SendDueChunk();
  }

  void AdvanceRecovery() {
    switch (this->recovery.State()) {
      case RecoveryState::kStarting:
        return;
      case RecoveryState::kLoadingSnapshot:
        this->PollSnapshotStream();
        return;
      case RecoveryState::kTailing:
        this->PollRecordStream();
        return;
      case RecoveryState::kFollowing:
        this->PollRecordStream();
        this->PollSnapshotStream();
        this->WriteSnapshotWhenDue();
        return;
      case RecoveryState::kFetchingFromPeer:
        this->PollPeer();
        return;
      case RecoveryState::kWaiting:
        this->RetryWhenDue();
        return;
      case RecoveryState::kLineageChanged:
        this->PollStreamEnd();
        this->PollSnapshotStream();
        this->WriteSnapshotWhenDue();
        return;
    }
  }

  void HandleRecoveryEvent(RecoveryEvent event) {
    if (!this->recovery.Handle(event)) {
      return;
    }
    this->record_poll.Reset();
    this->snapshot_poll.Reset();
    this->peer_poll.Reset();
    if (this->recovery.State() == RecoveryState::kLoadingSnapshot ||
        this->recovery.State() == RecoveryState::kLineageChanged) {
      this->RestartSnapshotStream();
    }
    if (this->hooks.on_recovery_state) {
      this->hooks.on_recovery_state(this->recovery.State());
    }
    this->ScheduleWakeup(this->Now());
  }

  // ---- Calls to the log service.

  // Updates the outage state from the result of a call. Returns true if the
  // service answered; an expired offset counts as an answer.
  bool UpdateOutage(StoreFailure failure) {
    this->outage =
        failure != StoreFailure::kNone && failure != StoreFailure::kExpired;
    if (!this->outage) {
      this->last_contact = this->Now();
    }
    return !this->outage;
  }

  void BackOff(PollTimer& poll) {
    poll.BackOff(this->Now(), this->settings.first_retry_ms,
                 this->settings.max_retry_ms);
  }

  Instant ReadDeadline(std::int64_t wait_ms) const {
    return this->Now().After(wait_ms + this->settings.call_timeout_ms);
  }

  void Read(PollTimer& poll,
            const ReadQuery& query,
            std::function<void(ReadReply)> on_reply) {
    const std::uint64_t call_id = poll.BeginCall();
    this->store.Read(
        query, this->ReadDeadline(query.wait_ms),
        this->IfAlive([this, &poll, call_id,
                       on_reply = std::move(on_reply)](ReadReply reply) {
          if (poll.EndCall(call_id)) {
            on_reply(std::move(reply));
            this->RunDueWork();
          }
        }));
  }

  // Stores the lineage that the log reports. Returns true if the replica has
  // the same lineage or none.
  bool SameLineage(const std::string& name) {
    if (!name.empty()) {
      this->log_lineage = name;
    }
    return name.empty() || this->Lineage().empty() || this->Lineage() == name;
  }

  // ---- Record stream.

  void PollRecordStream() {
    if (!this->record_poll.Due(this->Now())) {
      this->ScheduleWakeup(this->record_poll.NextDeadline());
      return;
    }
    // While tailing the read must not block: a long poll would delay the
    // discovery that the replica has caught up.
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
    if (!this->UpdateOutage(reply.failure)) {
      this->BackOff(this->record_poll);
      if (!this->Ready()) {
        this->HandleRecoveryEvent(RecoveryEvent::kStoreUnavailable);
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
      this->HandleRecoveryEvent(RecoveryEvent::kOffsetExpired);
      return;
    }
    if (this->Lineage().empty()) {
      this->replica.StartLineage(reply.lineage, 0);
      this->backlog.Reset(reply.lineage, 0);
      // Until the first record is applied, an entry that still holds the state
      // of the previous lineage may write the initial snapshot of this one.
      this->lineage_start_offset = 0;
    }
    this->record_poll.ScheduleNext(this->Now());
    this->ApplyRecords(reply.records);
    if (this->AppliedOffset() >= reply.next_offset) {
      this->HandleRecoveryEvent(RecoveryEvent::kCaughtUp);
    }
  }

  bool HasGap(const ReadReply& reply) const {
    return !reply.records.empty() &&
           reply.records.front().offset > this->AppliedOffset();
  }

  void ApplyRecords(const std::vector<StoreRecord>& stored) {
    for (const auto& record : stored) {
      if (record.offset >= this->AppliedOffset()) {
        this->ApplyRecord(record);
      }
    }
  }

  void ApplyRecord(const StoreRecord& stored) {
    const AppliedRecord applied_record = this->replica.Apply(stored);
    this->backlog.Add(stored);
    if (this->last_snapshot_time == Instant{}) {
      this->last_snapshot_time = stored.appended_at;
    }
    this->log_clock.Observe(stored.appended_at, this->Now());
    if (this->hooks.on_record_applied) {
      this->hooks.on_record_applied(applied_record);
    }
    this->ResolveLocalProposal(applied_record);
    this->CheckpointIfDue();
  }

  void CheckpointIfDue() {
    const Offset offset = this->AppliedOffset();
    const bool checkpoint = offset % this->CheckpointInterval() == 0;
    if (checkpoint || this->checkpoints.HasPendingSnapshot(offset)) {
      this->ReportDivergence(
          this->checkpoints.AddLocalHash(offset, this->replica.Hash()));
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

  void RejectProposal(ProposalCallback callback) {
    this->scheduler.PostAt(this->Now(), this->IfAlive([callback = std::move(
                                                           callback)] {
      callback({ProposalOutcome::kNotWritten, records::Verdict::kIgnored, 0});
    }));
  }

  void CompleteProposal(ProposalId proposal, const ProposalResult& result) {
    auto found = this->callbacks.extract(proposal);
    if (!found.empty() && found.mapped()) {
      found.mapped()(result);
    }
  }

  void ResolveLocalProposal(const AppliedRecord& applied_record) {
    if (applied_record.status == ApplyStatus::kMalformed) {
      return;
    }
    if (applied_record.status == ApplyStatus::kExpiredWriter) {
      // All records since the batch was first sent have been read, so no copy
      // of it was applied and it can be sent again under a new incarnation.
      this->RenewWriterIfExpired();
      return;
    }
    const auto proposal = this->appender.OnRead(
        applied_record.record.writer(), applied_record.record.sequence());
    if (proposal.has_value()) {
      this->CompleteProposal(*proposal,
                             {ProposalOutcome::kDecided, applied_record.verdict,
                              applied_record.offset});
    }
  }

  void RenewWriterIfExpired() {
    const records::Writer& name = this->appender.WriterId();
    if (!this->replica.Writers().Accepts(name)) {
      this->appender.ChangeIncarnation(
          std::max(this->replica.Writers().HighestExpiredIncarnation(),
                   name.incarnation()) +
          1);
    }
  }

  // Records in flight that the loaded state covers were applied by another
  // replica, so their verdicts are unknown here. If the writer has expired, it
  // is not even known which of them are covered; all are treated as covered.
  void ResolveAfterStateReplaced() {
    const WriterPositions& writers = this->replica.Writers();
    const std::uint64_t covered =
        writers.Accepts(this->appender.WriterId())
            ? writers.LastSequence(this->appender.WriterId())
            : std::numeric_limits<std::uint64_t>::max();
    for (const ProposalId proposal : this->appender.OnStateReplaced(covered)) {
      this->CompleteProposal(proposal, {ProposalOutcome::kVerdictUnknown,
                                        records::Verdict::kIgnored, 0});
    }
    this->RenewWriterIfExpired();
  }

  bool CanSend() const {
    return this->CanPropose() && this->Now() >= this->send_not_before;
  }

  void SendDueBatch() {
    if (!this->CanSend()) {
      if (this->CanPropose()) {
        this->ScheduleWakeup(this->send_not_before);
      }
      return;
    }
    if (this->appender.RecordsInFlight() == 0) {
      this->RenewWriterIfExpired();
    }
    if (auto batch = this->appender.NextBatch(this->Now())) {
      this->Send(std::move(*batch));
    }
    this->ScheduleWakeup(this->appender.NextDeadline());
  }

  void Send(Batch batch) {
    this->store.Append(
        this->settings.record_stream, std::move(batch.records),
        this->Now().After(this->settings.call_timeout_ms),
        this->IfAlive([this, id = batch.id](const AppendReply& reply) {
          this->UpdateOutage(reply.failure);
          this->appender.OnReply(id, reply, this->Now());
          this->RunDueWork();
        }));
  }

  // ---- Writing snapshots.

  bool SnapshotDueByAge() const;
  void WriteSnapshotWhenDue();
  void SendDueChunk();

  // ---- Snapshot stream.

  void RestartSnapshotStream();
  void PollSnapshotStream();
  void OnChunks(const ReadReply& reply);
  void AddChunks(const ReadReply& reply);
  void OnSnapshot(const records::Snapshot& snapshot);
  void RecordSnapshotPosition(const records::Snapshot& snapshot);
  void ReportDivergence(const std::optional<Divergence>& divergence);
  void CompareWithSnapshot(const records::Snapshot& snapshot);
  bool ReplacesLineageStart(const records::Snapshot& snapshot) const;
  void AddSnapshotCandidate(const records::Snapshot& snapshot);
  void OnSnapshotStreamEnd();
  void OnRestoredLog();
  void CheckReplayFromLog();
  bool MayHaveRestartedEmpty() const;
  ReplicaPosition Position() const;
  bool LoadSnapshot(const records::Snapshot& snapshot);

  // ---- Change of lineage.

  void BeginLineageChange(std::optional<Offset> end_of_records);
  void PollStreamEnd();
  void OnStreamEndRead(const ReadReply& reply);
  void StartLineageFromSnapshot(const records::Snapshot& snapshot);

  // ---- State transfer from peers.

  void PollPeer();
  bool LoadPeerState(const PeerReply& answer);

  // No source of state was available; recovery restarts after a delay.
  void RetryWhenDue() {
    if (!this->retry_at.has_value()) {
      this->retry_at = this->Now().After(this->settings.max_retry_ms);
    }
    if (this->Now() < *this->retry_at) {
      this->ScheduleWakeup(*this->retry_at);
      return;
    }
    this->retry_at.reset();
    this->HandleRecoveryEvent(RecoveryEvent::kRetry);
  }

  SessionSettings settings;
  StoreType& store;
  SchedulerType& scheduler;
  SessionHooks hooks;
  Recovery recovery;
  Appender appender;
  Replica<StateType> replica;
  ReplicationBacklog backlog;
  HashCheckpoints checkpoints;
  LogClock log_clock;
  SnapshotWriter snapshot_writer;
  SnapshotAssembler assembler;
  std::unordered_map<ProposalId, ProposalCallback> callbacks;

  PollTimer record_poll;
  PollTimer snapshot_poll;
  PollTimer peer_poll;
  Instant peer_deadline;
  Instant next_wakeup = Instant::Never();
  Instant started_at;
  Instant send_not_before;
  std::optional<Instant> retry_at;
  Instant last_contact;
  bool outage = false;

  // Lineage that the log reported last, and the end of its record stream.
  std::string log_lineage;
  std::optional<Offset> stream_end;
  Offset stream_end_probe_offset = 0;
  std::optional<Offset> lineage_start_offset;
  bool rejected_older_start = false;

  // Position in the snapshot stream and the snapshots read from it.
  std::string snapshot_lineage;
  Offset snapshot_offset = 0;
  std::vector<records::Snapshot> snapshot_candidates;
  std::optional<records::Snapshot> foreign_lineage_snapshot;
  Offset last_snapshot_offset = 0;
  Instant last_snapshot_time;
  Instant next_snapshot_not_before;

  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace carobrill::ledger

// Definitions of the longer member functions.
#include "packages/ledger/log_session_lineage.h"
#include "packages/ledger/log_session_snapshots.h"

#endif  // PACKAGES_LEDGER_LOG_SESSION_H_
