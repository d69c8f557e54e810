#include "packages/agent/gang_watcher.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace carobrill::agent {
namespace {

// Messages about larger gangs are refused before a watcher is created.
constexpr std::uint32_t kMaxMembers = 64;

bool IsFinal(rpc::GangPhase phase) {
  return phase == rpc::GANG_PHASE_SUCCEEDED ||
         phase == rpc::GANG_PHASE_FAILED || phase == rpc::GANG_PHASE_STOPPED ||
         phase == rpc::GANG_PHASE_CHECKPOINTED;
}

// True when the member is stopping or has ended without success.
bool IsStoppingOrUnsuccessful(rpc::GangPhase phase) {
  return phase == rpc::GANG_PHASE_STOPPING ||
         (IsFinal(phase) && phase != rpc::GANG_PHASE_SUCCEEDED);
}

}  // namespace

GangWatcher::GangWatcher(const Identity& self,
                         const GangTiming& timing,
                         const rpc::GangMember& spec)
    : self(self),
      timing(timing),
      job(spec.job()),
      attempt(spec.attempt()),
      members(std::clamp<std::uint32_t>(spec.members(), 1, kMaxMembers)) {}

void GangWatcher::ExtendReservation(Instant until) {
  this->reserved_until = std::max(this->reserved_until, until);
}

// Heartbeats may arrive late or more than once, so a final phase is kept.
rpc::MemberAliveReply GangWatcher::OnHeartbeat(
    const rpc::MemberAliveRequest& request,
    Instant now) {
  rpc::MemberAliveReply reply;
  *reply.mutable_peers() = IncarnationsOfReply(this->self, request.peers());
  if (request.member() >= this->members.size()) {
    reply.set_stop(true);
    return reply;
  }
  if (!this->started) {
    this->started = true;
    this->start_by = now.After(this->timing.heartbeat_timeout_ms);
  }
  Member& member = this->members[request.member()];
  member.last_heard_at = now;
  if (!IsFinal(member.phase)) {
    member.phase = request.phase();
    member.checkpoint = request.checkpoint();
  }
  if (!request.worker().empty()) {
    member.worker = request.worker();
  }
  this->CheckMembers(now);
  reply.set_stop(this->stopping || this->ended);
  reply.set_checkpoint(this->stopping && this->with_checkpoint);
  return reply;
}

void GangWatcher::Stop(bool checkpoint, Instant now) {
  if (!this->started) {
    this->started = true;
    this->start_by = now;
  }
  this->with_checkpoint =
      checkpoint && (!this->stopping || this->with_checkpoint);
  this->stopping = true;
}

void GangWatcher::Tick(Instant now, GangActions& actions) {
  if (!this->started) {
    return;
  }
  this->CheckMembers(now);
  this->CheckEnd(now);
  const rpc::GangReport report = this->Report();
  const bool reportable =
      this->ended || report.phase() == rpc::GANG_PHASE_RUNNING;
  if (reportable && report.phase() != this->recorded_phase &&
      now >= this->next_report_at) {
    this->next_report_at = now.After(this->timing.report_interval_ms);
    actions.emplace_back(SendReport{report});
  }
}

void GangWatcher::OnReportRecorded(rpc::GangPhase phase) {
  this->recorded_phase = phase;
}

rpc::GangReport GangWatcher::Report() const {
  rpc::GangReport report;
  report.set_job(this->job);
  report.set_attempt(this->attempt);
  if (!this->ended) {
    report.set_phase(this->stopping  ? rpc::GANG_PHASE_STOPPING
                     : this->running ? rpc::GANG_PHASE_RUNNING
                     : this->started ? rpc::GANG_PHASE_STARTING
                                     : rpc::GANG_PHASE_PREPARED);
    return report;
  }
  report.set_phase(this->Outcome());
  report.set_run_ms(this->run_ms);
  if (report.phase() == rpc::GANG_PHASE_CHECKPOINTED) {
    report.set_checkpoint(this->Checkpoints());
  }
  if (report.phase() != rpc::GANG_PHASE_FAILED) {
    return report;
  }
  for (std::size_t number = 0; number < this->members.size(); ++number) {
    const Member& member = this->members[number];
    if (!member.caused_stop) {
      continue;
    }
    report.add_failed_members(static_cast<std::uint32_t>(number));
    if (!member.worker.empty()) {
      report.add_failed_workers(member.worker);
    }
  }
  return report;
}

// A member that loses the watcher stops renewing its task's lease after
// `heartbeat_timeout_ms`; the last renewal call may take up to its timeout. A
// member that never sent a heartbeat may have started at the end of its
// reservation.
bool GangWatcher::HasEnded(const Member& member, Instant now) const {
  if (IsFinal(member.phase)) {
    return true;
  }
  const bool reported = member.phase != rpc::GANG_PHASE_UNSPECIFIED;
  const Instant last_start = reported ? this->start_by : this->reserved_until;
  const Instant last_alive_at =
      std::max({member.last_heard_at, this->start_by, last_start});
  return now >= last_alive_at.After(this->timing.heartbeat_timeout_ms +
                                    this->timing.worker_call_timeout_ms +
                                    this->timing.task_lease_ms);
}

bool GangWatcher::IsOverdue(const Member& member, Instant now) const {
  if (IsFinal(member.phase)) {
    return false;
  }
  if (now < this->start_by) {
    return false;
  }
  return member.phase != rpc::GANG_PHASE_RUNNING ||
         now >= member.last_heard_at.After(this->timing.heartbeat_timeout_ms);
}

// Only events before the stop count as its cause; afterwards members end
// because they were told to stop.
void GangWatcher::CheckMembers(Instant now) {
  if (this->stopping || this->ended) {
    return;
  }
  bool all_run = true;
  for (Member& member : this->members) {
    member.caused_stop =
        IsStoppingOrUnsuccessful(member.phase) || this->IsOverdue(member, now);
    this->stopping = this->stopping || member.caused_stop;
    all_run = all_run && (member.phase == rpc::GANG_PHASE_RUNNING ||
                          member.phase == rpc::GANG_PHASE_SUCCEEDED);
  }
  if (all_run && !this->running) {
    this->running = true;
    this->running_since = now;
  }
}

void GangWatcher::CheckEnd(Instant now) {
  if (this->ended) {
    return;
  }
  this->ended = std::all_of(this->members.begin(), this->members.end(),
                            [this, now](const Member& member) {
                              return this->HasEnded(member, now);
                            });
  if (this->ended && this->running) {
    this->run_ms = now.ms - this->running_since.ms;
  }
}

// If a member stopped without a failure, for example because its agent shut
// down, the gang counts as stopped, not as failed.
rpc::GangPhase GangWatcher::Outcome() const {
  bool all_succeeded = true;
  bool all_checkpointed = true;
  for (const Member& member : this->members) {
    const bool succeeded = member.phase == rpc::GANG_PHASE_SUCCEEDED;
    all_succeeded = all_succeeded && succeeded;
    all_checkpointed = all_checkpointed && !member.checkpoint.empty() &&
                       member.phase == rpc::GANG_PHASE_CHECKPOINTED;
    const bool stopped_cleanly = member.phase == rpc::GANG_PHASE_STOPPED ||
                                 member.phase == rpc::GANG_PHASE_CHECKPOINTED;
    if (member.caused_stop && !stopped_cleanly && !succeeded) {
      return rpc::GANG_PHASE_FAILED;
    }
  }
  if (all_succeeded) {
    return rpc::GANG_PHASE_SUCCEEDED;
  }
  return all_checkpointed ? rpc::GANG_PHASE_CHECKPOINTED
                          : rpc::GANG_PHASE_STOPPED;
}

std::string GangWatcher::Checkpoints() const {
  nlohmann::json checkpoints = nlohmann::json::array();
  for (const Member& member : this->members) {
    checkpoints.push_back(member.checkpoint);
  }
  return checkpoints.dump();
}

}  // namespace carobrill::agent
