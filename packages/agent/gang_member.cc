#include "packages/agent/gang_member.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace carobrill::agent {
namespace {

// Stop calls to the worker are repeated at this interval until the task list
// shows that the task has ended.
constexpr std::int64_t kStopRetryMs = 1'000;

// A watcher that has not answered for this long has ended the gang, so the
// member stops reporting its end.
constexpr std::int64_t kEndReportTimeoutMs = 10'000;

// The checkpoint of a gang is a JSON array with one string per member.
std::string CheckpointOfMember(const std::string& gang, std::uint32_t member) {
  const auto json = nlohmann::json::parse(gang, nullptr, false);
  if (!json.is_array() || member >= json.size() || !json[member].is_string()) {
    return gang;
  }
  return json[member].get<std::string>();
}

}  // namespace

GangMember::GangMember(const MemberChart& chart,
                       const Identity& self,
                       const GangTiming& timing,
                       rpc::GangMember spec,
                       Instant reserved_until)
    : chart(chart),
      self(self),
      timing(timing),
      spec(std::move(spec)),
      key(KeyOf(this->spec)),
      state(chart.Initial()),
      reserved_until(reserved_until) {
  this->spec.set_checkpoint(
      CheckpointOfMember(this->spec.checkpoint(), this->key.member));
}

void GangMember::ExtendReservation(Instant until) {
  if (this->state == MemberState::kPrepared) {
    this->reserved_until = std::max(this->reserved_until, until);
  }
}

// The reservation is compared with the clock here as well as in Tick: after a
// freeze, a start message may be handled before Tick and must not use an
// expired reservation.
bool GangMember::Start(Instant now, GangActions& actions) {
  if (this->state != MemberState::kPrepared) {
    return this->state != MemberState::kEnded;
  }
  if (now >= this->reserved_until || !this->Apply(MemberEvent::kStart)) {
    return false;
  }
  this->was_started = true;
  this->watcher_last_heard_at = now;
  this->next_heartbeat_at = now;
  this->next_renewal_at = now.After(this->timing.renewal_interval_ms);
  this->lease_ends_by = now.After(this->timing.worker_call_timeout_ms +
                                  this->timing.task_lease_ms);
  actions.emplace_back(
      StartTask{this->key, this->spec, this->timing.task_lease_ms});
  return true;
}

void GangMember::Stop(bool with_checkpoint, Instant now) {
  this->BeginStop(rpc::GANG_PHASE_STOPPED,
                  with_checkpoint && this->spec.can_checkpoint(), now);
}

void GangMember::OnStarted(StartResult result, Instant now) {
  if (this->start_answered_at != Instant::Never()) {
    return;
  }
  this->start_answered_at = now;
  this->start_result = result;
  switch (result) {
    case StartResult::kStarted:
      if (this->Apply(MemberEvent::kStarted)) {
        this->next_heartbeat_at = now;
      }
      return;
    case StartResult::kRefused:
      this->End(this->state == MemberState::kStopping ? this->final_phase
                                                      : rpc::GANG_PHASE_FAILED,
                now);
      return;
    case StartResult::kUnknown:
      this->BeginStop(rpc::GANG_PHASE_FAILED, false, now);
      return;
  }
}

void GangMember::OnCheckpointed(Instant now) {
  if (this->state == MemberState::kStopping && !this->stop_sent) {
    this->stop_at = now;
  }
}

// A list that was requested before the start call was answered may not show the
// task yet. If the start call was not answered, the task may still appear until
// its first lease has ended.
void GangMember::OnListed(const ListedTask& task,
                          Instant requested_at,
                          Instant now) {
  if (this->start_answered_at == Instant::Never() ||
      requested_at < this->start_answered_at ||
      this->state == MemberState::kEnded) {
    return;
  }
  if (!task.checkpoint.empty()) {
    this->checkpoint = task.checkpoint;
  }
  if (task.state == TaskState::kRunning) {
    return;
  }
  if (task.state == TaskState::kMissing &&
      this->start_result != StartResult::kStarted &&
      requested_at < this->lease_ends_by) {
    return;
  }
  this->End(this->FinalPhaseFor(task), now);
}

void GangMember::OnHeartbeatReply(const rpc::MemberAliveReply& reply,
                                  const SentHeartbeat& sent,
                                  Instant now) {
  if (reply.peers().receiver_incarnation() != this->self.incarnation) {
    return;
  }
  const Incarnation watcher = this->spec.watcher_incarnation();
  if (watcher != 0 && reply.peers().sender_incarnation() != watcher) {
    this->end_acknowledged = this->state == MemberState::kEnded;
    this->Stop(false, now);
    return;
  }
  this->watcher_answered = true;
  this->watcher_last_heard_at = std::max(this->watcher_last_heard_at, sent.at);
  if (this->state == MemberState::kEnded) {
    // An earlier heartbeat may have been sent in the same millisecond.
    this->end_acknowledged =
        this->end_acknowledged ||
        (sent.phase == this->final_phase && sent.at >= this->ended_at);
  } else if (reply.stop()) {
    this->Stop(reply.checkpoint(), now);
  }
}

void GangMember::Tick(Instant now, GangActions& actions) {
  if (this->state == MemberState::kPrepared && now >= this->reserved_until) {
    this->Apply(MemberEvent::kExpire);
  }
  this->TickLease(now, actions);
  this->TickStop(now, actions);
  this->TickHeartbeat(now, actions);
}

rpc::GangPhase GangMember::Phase() const {
  switch (this->state) {
    case MemberState::kPrepared:
      return rpc::GANG_PHASE_PREPARED;
    case MemberState::kStarting:
      return rpc::GANG_PHASE_STARTING;
    case MemberState::kRunning:
      return rpc::GANG_PHASE_RUNNING;
    case MemberState::kStopping:
      return this->lease_expired ? this->final_phase : rpc::GANG_PHASE_STOPPING;
    case MemberState::kEnded:
      return this->final_phase;
  }
  return rpc::GANG_PHASE_UNSPECIFIED;
}

bool GangMember::Settled() const {
  return this->state == MemberState::kEnded &&
         (!this->was_started || this->end_acknowledged);
}

bool GangMember::MayBeRunning() const {
  return this->was_started && this->state != MemberState::kEnded;
}

bool GangMember::Apply(MemberEvent event) {
  const auto next = this->chart.Next(this->state, event);
  this->state = next.value_or(this->state);
  return next.has_value();
}

bool GangMember::WatcherTimedOut(Instant now) const {
  return now >=
         this->watcher_last_heard_at.After(this->timing.heartbeat_timeout_ms);
}

void GangMember::End(rpc::GangPhase phase, Instant now) {
  if (!this->Apply(MemberEvent::kEnd)) {
    return;
  }
  this->final_phase = phase;
  this->ended_at = now;
  this->next_heartbeat_at = now;
}

void GangMember::BeginStop(rpc::GangPhase phase,
                           bool with_checkpoint,
                           Instant now) {
  if (this->state == MemberState::kStopping) {
    if (!with_checkpoint && !this->stop_sent) {
      this->stop_at = std::min(this->stop_at, now);
    }
    return;
  }
  if (!this->Apply(MemberEvent::kStop)) {
    return;
  }
  this->final_phase = phase;
  this->checkpoint_due = with_checkpoint;
  this->stop_at =
      with_checkpoint ? now.After(this->timing.checkpoint_timeout_ms) : now;
  this->next_heartbeat_at = now;
}

// The task's lease is renewed only while the watcher answers, so that the task
// of a member that is partitioned from its gang ends without a message. A task
// that is writing its checkpoint still needs its lease.
void GangMember::TickLease(Instant now, GangActions& actions) {
  const bool needs_lease = this->state == MemberState::kRunning ||
                           (this->state == MemberState::kStopping &&
                            !this->stop_sent && now < this->stop_at);
  if (needs_lease && now < this->lease_ends_by &&
      now >= this->next_renewal_at && !this->WatcherTimedOut(now)) {
    this->next_renewal_at = now.After(this->timing.renewal_interval_ms);
    this->lease_ends_by = now.After(this->timing.worker_call_timeout_ms +
                                    this->timing.task_lease_ms);
    actions.emplace_back(RenewTask{this->key, this->timing.task_lease_ms});
  }
  if (!this->MayBeRunning() || now < this->lease_ends_by) {
    return;
  }
  this->BeginStop(rpc::GANG_PHASE_FAILED, false, now);
  if (!this->lease_expired) {
    this->lease_expired = true;
    this->next_heartbeat_at = now;
  }
}

void GangMember::TickStop(Instant now, GangActions& actions) {
  if (this->state != MemberState::kStopping) {
    return;
  }
  if (this->checkpoint_due) {
    this->checkpoint_due = false;
    actions.emplace_back(CheckpointTask{this->key});
  }
  if (now >= this->stop_at) {
    this->stop_sent = true;
    this->stop_at = now.After(kStopRetryMs);
    actions.emplace_back(StopTask{this->key});
  }
}

void GangMember::TickHeartbeat(Instant now, GangActions& actions) {
  if (this->state == MemberState::kEnded &&
      now >= this->ended_at.After(kEndReportTimeoutMs)) {
    this->end_acknowledged = true;
  }
  if (!this->was_started || this->end_acknowledged ||
      now < this->next_heartbeat_at) {
    return;
  }
  this->next_heartbeat_at =
      now.After(this->timing.HeartbeatIntervalMs(this->spec.members()));
  actions.emplace_back(SendHeartbeat{this->key, this->spec.watcher_address(),
                                     this->HeartbeatRequest()});
}

rpc::GangPhase GangMember::FinalPhaseFor(const ListedTask& task) const {
  if (task.state == TaskState::kSucceeded) {
    return rpc::GANG_PHASE_SUCCEEDED;
  }
  if (this->state != MemberState::kStopping ||
      task.state == TaskState::kFailed) {
    return rpc::GANG_PHASE_FAILED;
  }
  const bool has_checkpoint =
      this->final_phase == rpc::GANG_PHASE_STOPPED && !this->checkpoint.empty();
  return has_checkpoint ? rpc::GANG_PHASE_CHECKPOINTED : this->final_phase;
}

rpc::MemberAliveRequest GangMember::HeartbeatRequest() const {
  rpc::MemberAliveRequest request;
  *request.mutable_peers() = PeersTo(this->self, this->spec.watcher(),
                                     this->spec.watcher_incarnation());
  request.set_job(this->key.job.value);
  request.set_attempt(this->key.attempt);
  request.set_member(this->key.member);
  request.set_phase(this->Phase());
  // The worker's name never changes, so most heartbeats omit it.
  const bool is_final = request.phase() != rpc::GANG_PHASE_STARTING &&
                        request.phase() != rpc::GANG_PHASE_RUNNING &&
                        request.phase() != rpc::GANG_PHASE_STOPPING;
  if (is_final || !this->watcher_answered) {
    request.set_worker(this->self.worker.value);
    request.set_checkpoint(this->checkpoint);
  }
  return request;
}

}  // namespace carobrill::agent
