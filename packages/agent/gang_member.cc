#include "packages/agent/gang_member.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace carobrill::agent {
namespace {

// Stop calls to the worker are repeated at this interval until the task list
// shows the end.
constexpr std::int64_t kRepeatStopMs = 1'000;

// A watcher that has been gone for so long has ended its gang.
constexpr std::int64_t kTellEndMs = 10'000;

// A gang's checkpoint is an array with one entry per member.
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
                       Instant promise_until)
    : chart(chart),
      self(self),
      timing(timing),
      spec(std::move(spec)),
      key(KeyOf(this->spec)),
      state(chart.Initial()),
      promise_until(promise_until) {
  this->spec.set_checkpoint(
      CheckpointOfMember(this->spec.checkpoint(), this->key.member));
}

void GangMember::ExtendPromise(Instant until) {
  if (this->state == MemberState::kPrepared) {
    this->promise_until = std::max(this->promise_until, until);
  }
}

// The promise is compared with the clock here as well as in Tick: a message
// that is handled first after a freeze must not revive an expired promise.
bool GangMember::Start(Instant now, GangActions& actions) {
  if (this->state != MemberState::kPrepared) {
    return this->state != MemberState::kEnded;
  }
  if (now >= this->promise_until || !this->On(MemberEvent::kStart)) {
    return false;
  }
  this->was_started = true;
  this->watcher_heard_at = now;
  this->alive_at = now;
  this->renew_at = now.After(this->timing.renew_ms);
  this->lease_ends_by =
      now.After(this->timing.worker_call_ms + this->timing.task_lease_ms);
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
      if (this->On(MemberEvent::kStarted)) {
        this->alive_at = now;
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

// A list that was asked for before the start was answered may not show the
// task yet. After a start without an answer, the task may still appear until
// its first lease has ended.
void GangMember::OnListed(const ListedTask& task,
                          Instant asked_at,
                          Instant now) {
  if (this->start_answered_at == Instant::Never() ||
      asked_at < this->start_answered_at ||
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
      asked_at < this->lease_ends_by) {
    return;
  }
  this->End(this->PhaseOfEnd(task), now);
}

void GangMember::OnAliveReply(const rpc::MemberAliveReply& reply,
                              Instant sent_at,
                              Instant now) {
  if (reply.peers().receiver_incarnation() != this->self.incarnation) {
    return;
  }
  const Incarnation watcher = this->spec.watcher_incarnation();
  if (watcher != 0 && reply.peers().sender_incarnation() != watcher) {
    this->end_known = this->state == MemberState::kEnded;
    this->Stop(false, now);
    return;
  }
  this->watcher_answered = true;
  this->watcher_heard_at = std::max(this->watcher_heard_at, sent_at);
  if (this->state == MemberState::kEnded) {
    this->end_known = this->end_known || sent_at >= this->ended_at;
  } else if (reply.stop()) {
    this->Stop(reply.checkpoint(), now);
  }
}

void GangMember::Tick(Instant now, GangActions& actions) {
  if (this->state == MemberState::kPrepared && now >= this->promise_until) {
    this->On(MemberEvent::kExpire);
  }
  this->TickLease(now, actions);
  this->TickStop(now, actions);
  this->TickAlive(now, actions);
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
      return this->lapsed ? this->final_phase : rpc::GANG_PHASE_STOPPING;
    case MemberState::kEnded:
      return this->final_phase;
  }
  return rpc::GANG_PHASE_UNSPECIFIED;
}

bool GangMember::Settled() const {
  return this->state == MemberState::kEnded &&
         (!this->was_started || this->end_known);
}

bool GangMember::MayRun() const {
  return this->was_started && this->state != MemberState::kEnded;
}

bool GangMember::On(MemberEvent event) {
  const auto next = this->chart.Next(this->state, event);
  this->state = next.value_or(this->state);
  return next.has_value();
}

bool GangMember::WatcherIsSilent(Instant now) const {
  return now >= this->watcher_heard_at.After(this->timing.silence_ms);
}

void GangMember::End(rpc::GangPhase phase, Instant now) {
  if (!this->On(MemberEvent::kEnd)) {
    return;
  }
  this->final_phase = phase;
  this->ended_at = now;
  this->alive_at = now;
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
  if (!this->On(MemberEvent::kStop)) {
    return;
  }
  this->final_phase = phase;
  this->checkpoint_due = with_checkpoint;
  this->stop_at = with_checkpoint ? now.After(this->timing.checkpoint_ms) : now;
  this->alive_at = now;
}

// The lease of the task is renewed only while the watcher is heard, so that a
// member which is cut off from its gang ends without a message. A task that
// makes its checkpoint still needs its lease.
void GangMember::TickLease(Instant now, GangActions& actions) {
  const bool runs = this->state == MemberState::kRunning ||
                    (this->state == MemberState::kStopping &&
                     !this->stop_sent && now < this->stop_at);
  if (runs && now < this->lease_ends_by && now >= this->renew_at &&
      !this->WatcherIsSilent(now)) {
    this->renew_at = now.After(this->timing.renew_ms);
    this->lease_ends_by =
        now.After(this->timing.worker_call_ms + this->timing.task_lease_ms);
    actions.emplace_back(RenewTask{this->key, this->timing.task_lease_ms});
  }
  if (!this->MayRun() || now < this->lease_ends_by) {
    return;
  }
  this->BeginStop(rpc::GANG_PHASE_FAILED, false, now);
  if (!this->lapsed) {
    this->lapsed = true;
    this->alive_at = now;
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
    this->stop_at = now.After(kRepeatStopMs);
    actions.emplace_back(StopTask{this->key});
  }
}

void GangMember::TickAlive(Instant now, GangActions& actions) {
  if (this->state == MemberState::kEnded &&
      now >= this->ended_at.After(kTellEndMs)) {
    this->end_known = true;
  }
  if (!this->was_started || this->end_known || now < this->alive_at) {
    return;
  }
  this->alive_at = now.After(this->timing.AliveMs(this->spec.members()));
  actions.emplace_back(
      SendAlive{this->key, this->spec.watcher_address(), this->AliveRequest()});
}

rpc::GangPhase GangMember::PhaseOfEnd(const ListedTask& task) const {
  if (task.state == TaskState::kSucceeded) {
    return rpc::GANG_PHASE_SUCCEEDED;
  }
  if (this->state != MemberState::kStopping ||
      task.state == TaskState::kFailed) {
    return rpc::GANG_PHASE_FAILED;
  }
  const bool saved =
      this->final_phase == rpc::GANG_PHASE_STOPPED && !this->checkpoint.empty();
  return saved ? rpc::GANG_PHASE_CHECKPOINTED : this->final_phase;
}

rpc::MemberAliveRequest GangMember::AliveRequest() const {
  rpc::MemberAliveRequest request;
  *request.mutable_peers() = PeersTo(this->self, this->spec.watcher(),
                                     this->spec.watcher_incarnation());
  request.set_job(this->key.job.value);
  request.set_attempt(this->key.attempt);
  request.set_member(this->key.member);
  request.set_phase(this->Phase());
  // The worker's name is left out of most heartbeats, as it is always the same.
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
