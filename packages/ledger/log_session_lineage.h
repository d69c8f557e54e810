#ifndef PACKAGES_LEDGER_LOG_SESSION_LINEAGE_H_
#define PACKAGES_LEDGER_LOG_SESSION_LINEAGE_H_

// Members of LogSession that switch to another lineage of the log or fetch the
// state from a peer. Included by log_session.h.

#include "packages/ledger/log_session.h"

namespace carobrill::ledger {

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::BeginLineageChange(
    std::optional<Offset> end_of_records) {
  this->stream_end = end_of_records;
  this->stream_end_probe_offset = 0;
  this->rejected_older_start = false;
  this->last_snapshot_offset = 0;
  this->next_snapshot_not_before = Instant{};
  this->snapshot_writer.Stop();
  this->HandleRecoveryEvent(RecoveryEvent::kLineageChanged);
}

// Determines the end of the record stream of the new lineage. The initial
// snapshot of the lineage covers the records up to that offset.
template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::PollStreamEnd() {
  if (!this->record_poll.Due(this->Now())) {
    this->ScheduleWakeup(this->record_poll.NextDeadline());
    return;
  }
  this->Read(
      this->record_poll,
      {this->settings.record_stream, this->stream_end_probe_offset, 1, 0},
      [this](const ReadReply& reply) { this->OnStreamEndRead(reply); });
}

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::OnStreamEndRead(
    const ReadReply& reply) {
  if (!this->UpdateOutage(reply.failure)) {
    this->BackOff(this->record_poll);
    return;
  }
  if (this->SameLineage(reply.lineage)) {
    // The log has returned to the lineage of this replica.
    this->HandleRecoveryEvent(RecoveryEvent::kLineageStarted);
    return;
  }
  if (reply.failure == StoreFailure::kExpired) {
    this->stream_end_probe_offset = reply.oldest_offset;
  } else {
    this->stream_end = reply.next_offset;
  }
  this->record_poll.ScheduleNext(
      this->Now().After(this->settings.lineage_poll_ms));
}

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::StartLineageFromSnapshot(
    const records::Snapshot& snapshot) {
  if (snapshot.lineage() != this->log_lineage) {
    return;
  }
  const bool newer =
      Recovery::MayLoad(this->Position(), this->log_lineage, snapshot);
  const bool log_advanced = this->stream_end.has_value() &&
                            *this->stream_end > snapshot.covered_offset();
  if (!newer && !log_advanced) {
    this->rejected_older_start = true;
    return;
  }
  if (!this->LoadSnapshot(snapshot)) {
    return;
  }
  this->snapshot_writer.Stop();
  this->lineage_start_offset = snapshot.covered_offset();
  this->send_not_before = this->Now().After(this->settings.lineage_settle_ms);
  if (!newer && this->hooks.on_state_reverted) {
    this->hooks.on_state_reverted();
  }
  this->HandleRecoveryEvent(RecoveryEvent::kLineageStarted);
}

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
void LogSession<StoreType, StateType, SchedulerType>::PollPeer() {
  if (!this->peer_poll.Due(this->Now())) {
    if (this->Now() >= this->peer_deadline) {
      this->HandleRecoveryEvent(RecoveryEvent::kPeerUnavailable);
    }
    this->ScheduleWakeup(this->peer_deadline);
    return;
  }
  this->peer_deadline = this->Now().After(this->settings.call_timeout_ms);
  const std::uint64_t call_id = this->peer_poll.BeginCall();
  if (!this->hooks.fetch_from_peer) {
    this->peer_poll.EndCall(call_id);
    this->HandleRecoveryEvent(RecoveryEvent::kPeerUnavailable);
    return;
  }
  this->hooks.fetch_from_peer(
      {this->Lineage(), this->AppliedOffset()},
      this->IfAlive([this, call_id](const std::optional<PeerReply>& answer) {
        if (this->peer_poll.EndCall(call_id)) {
          const bool loaded =
              answer.has_value() && this->LoadPeerState(*answer);
          this->HandleRecoveryEvent(loaded ? RecoveryEvent::kPeerStateLoaded
                                           : RecoveryEvent::kPeerUnavailable);
          this->RunDueWork();
        }
      }));
  this->ScheduleWakeup(this->peer_deadline);
}

template <Store StoreType,
          records::ReplicatedComponent StateType,
          Scheduler SchedulerType>
bool LogSession<StoreType, StateType, SchedulerType>::LoadPeerState(
    const PeerReply& answer) {
  if (answer.IsFull()) {
    records::Snapshot snapshot;
    return snapshot.ParseFromString(answer.snapshot) &&
           Recovery::MayLoadFromPeer(this->Position(), this->log_lineage,
                                     snapshot) &&
           this->LoadSnapshot(snapshot);
  }
  if (this->Lineage().empty() || answer.lineage != this->Lineage()) {
    return false;
  }
  const Offset before = this->AppliedOffset();
  this->ApplyRecords(answer.records);
  // A peer that is not ahead is useful only while the log is unreachable.
  return this->AppliedOffset() > before || this->outage;
}

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_LOG_SESSION_LINEAGE_H_
