#ifndef PACKAGES_LEDGER_LOG_SESSION_LINEAGE_H_
#define PACKAGES_LEDGER_LOG_SESSION_LINEAGE_H_

// Members of LogSession that follow another lineage or ask a peer for its
// state; included by it.

#include "packages/ledger/log_session.h"

namespace carobrill::ledger {

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::BeginLineageChange(
    std::optional<Offset> end_of_records) {
  this->lineage_end = end_of_records;
  this->probe_offset = 0;
  this->refused_older_start = false;
  this->last_snapshot_offset = 0;
  this->snapshot_hold_until = Instant{};
  this->snapshot_writer.Stop();
  this->Raise(RecoveryEvent::kLineageChanged);
}

// Reads the end of the record stream, which a start of the lineage covers.
template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::PumpProbe() {
  if (!this->record_poll.Due(this->Now())) {
    this->WakeAt(this->record_poll.NextDeadline());
    return;
  }
  this->Read(this->record_poll,
             {this->settings.record_stream, this->probe_offset, 1, 0},
             [this](const ReadReply& reply) { this->OnProbe(reply); });
}

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::OnProbe(
    const ReadReply& reply) {
  if (!this->NoteContact(reply.failure)) {
    this->Delay(this->record_poll);
    return;
  }
  if (this->SameLineage(reply.lineage)) {
    // The log is back under the lineage of the state.
    this->Raise(RecoveryEvent::kLineageStarted);
    return;
  }
  if (reply.failure == StoreFailure::kExpired) {
    this->probe_offset = reply.oldest_offset;
  } else {
    this->lineage_end = reply.next_offset;
  }
  this->record_poll.Succeeded(
      this->Now().After(this->settings.lineage_poll_ms));
}

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::StartLineageFrom(
    const records::Snapshot& snapshot) {
  if (snapshot.lineage() != this->log_lineage) {
    return;
  }
  const bool newer =
      Recovery::MayLoad(this->Position(), this->log_lineage, snapshot);
  const bool log_went_on = this->lineage_end.has_value() &&
                           *this->lineage_end > snapshot.covered_offset();
  if (!newer && !log_went_on) {
    this->refused_older_start = true;
    return;
  }
  if (!this->LoadSnapshot(snapshot)) {
    return;
  }
  this->snapshot_writer.Stop();
  this->lineage_start = snapshot.covered_offset();
  this->propose_not_before =
      this->Now().After(this->settings.lineage_settle_ms);
  if (!newer && this->hooks.on_state_regressed) {
    this->hooks.on_state_regressed();
  }
  this->Raise(RecoveryEvent::kLineageStarted);
}

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
void LogSession<StoreType, Fold, SchedulerType>::PumpPeer() {
  if (!this->peer_poll.Due(this->Now())) {
    if (this->Now() >= this->peer_deadline) {
      this->Raise(RecoveryEvent::kPeerUnavailable);
    }
    this->WakeAt(this->peer_deadline);
    return;
  }
  this->peer_deadline = this->Now().After(this->settings.call_timeout_ms);
  const std::uint64_t number = this->peer_poll.Open();
  if (!this->hooks.fetch_from_peer) {
    this->peer_poll.Close(number);
    this->Raise(RecoveryEvent::kPeerUnavailable);
    return;
  }
  this->hooks.fetch_from_peer(
      {this->Lineage(), this->AppliedOffset()},
      this->Guarded([this, number](const std::optional<PeerState>& answer) {
        if (this->peer_poll.Close(number)) {
          const bool loaded = answer.has_value() && this->LoadPeer(*answer);
          this->Raise(loaded ? RecoveryEvent::kPeerStateLoaded
                             : RecoveryEvent::kPeerUnavailable);
          this->Pump();
        }
      }));
  this->WakeAt(this->peer_deadline);
}

template <Store StoreType, records::Foldable Fold, Scheduler SchedulerType>
bool LogSession<StoreType, Fold, SchedulerType>::LoadPeer(
    const PeerState& answer) {
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
  this->FoldAll(answer.records);
  // A peer that is no further helps only while the log cannot be asked.
  return this->AppliedOffset() > before || this->outage;
}

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_LOG_SESSION_LINEAGE_H_
