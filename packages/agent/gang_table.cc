#include "packages/agent/gang_table.h"

#include <algorithm>
#include <optional>
#include <variant>

namespace carobrill::agent {
namespace {

constexpr std::uint32_t kMaxMembers = 64;

// Upper bound on how long one prepare message can reserve a cell.
constexpr std::int64_t kMaxReservationMs = 30'000;

// Ended jobs need not be recorded for longer: a planner that was paused for
// longer than this reads newer log records and finds its view outdated before
// it sends a message.
constexpr std::int64_t kEndedJobRetentionMs = 600'000;

bool IsWellFormed(const rpc::GangMember& spec) {
  return !spec.job().empty() && spec.members() >= 1 &&
         spec.members() <= kMaxMembers && spec.member() < spec.members();
}

}  // namespace

GangTable::GangTable(const Identity& self,
                     const GangTiming& timing,
                     const MemberChart& chart,
                     const EndpointGate& gate,
                     const LeaseHolder& lease)
    : self(self), timing(timing), chart(chart), gate(gate), lease(lease) {}

rpc::MemberReply GangTable::Prepare(const rpc::PrepareMemberRequest& request,
                                    Instant now) {
  rpc::Refusal refusal = this->CheckPrepare(request, now);
  if (refusal == rpc::REFUSAL_NONE) {
    refusal = this->Reserve(request, now);
  }
  return this->ReplyTo(request.peers(), refusal);
}

// The checks of Prepare are repeated, since the gate or the lease may have
// changed in the meantime.
rpc::MemberReply GangTable::Start(const rpc::StartMemberRequest& request,
                                  Instant now,
                                  GangActions& actions) {
  if (!IsAddressedTo(this->self, request.peers())) {
    return this->ReplyTo(request.peers(), rpc::REFUSAL_WRONG_INCARNATION);
  }
  const auto found = this->members.find(KeyOf(request.member()));
  if (found == this->members.end() ||
      CellOf(found->second.Spec()) != CellOf(request.member())) {
    return this->ReplyTo(request.peers(), rpc::REFUSAL_NOT_PREPARED);
  }
  GangMember& member = found->second;
  if (member.State() == MemberState::kPrepared) {
    const rpc::Refusal refusal = this->CheckMayStart(now);
    if (refusal != rpc::REFUSAL_NONE) {
      return this->ReplyTo(request.peers(), refusal);
    }
  }
  return this->ReplyTo(request.peers(), member.Start(now, actions)
                                            ? rpc::REFUSAL_NONE
                                            : rpc::REFUSAL_NOT_PREPARED);
}

rpc::MemberReply GangTable::Stop(const rpc::StopMemberRequest& request,
                                 Instant now,
                                 GangActions& actions) {
  if (!IsAddressedTo(this->self, request.peers())) {
    return this->ReplyTo(request.peers(), rpc::REFUSAL_WRONG_INCARNATION);
  }
  const GangKey gang{JobId(request.job()), request.attempt()};
  const auto watcher = this->watchers.find(gang);
  if (watcher != this->watchers.end() && watcher->second.Started()) {
    watcher->second.Stop(request.checkpoint(), now);
  }
  for (auto& [key, member] : this->members) {
    if (key.job == gang.first && key.attempt == gang.second) {
      member.Stop(request.checkpoint(), now);
    }
  }
  // A prepare or start message that arrives after the stop must be refused.
  this->RecordEnd(gang.first, gang.second);
  this->Tick(now, actions);
  rpc::MemberReply reply = this->ReplyTo(request.peers(), rpc::REFUSAL_NONE);
  reply.set_settled(!this->HasMemberOf(gang) && !this->watchers.contains(gang));
  return reply;
}

// A gang without a watcher here has ended or belongs to an earlier incarnation
// of this agent, so its members are told to stop. The reply carries the current
// incarnation.
rpc::MemberAliveReply GangTable::OnHeartbeat(
    const rpc::MemberAliveRequest& request,
    Instant now) {
  const auto watcher =
      this->watchers.find({JobId(request.job()), request.attempt()});
  if (IsAddressedTo(this->self, request.peers()) &&
      watcher != this->watchers.end()) {
    return watcher->second.OnHeartbeat(request, now);
  }
  rpc::MemberAliveReply reply;
  *reply.mutable_peers() = IncarnationsOfReply(this->self, request.peers());
  reply.set_stop(true);
  return reply;
}

void GangTable::OnStarted(const MemberKey& key,
                          StartResult result,
                          Instant now) {
  const auto found = this->members.find(key);
  if (found != this->members.end()) {
    found->second.OnStarted(result, now);
  }
}

void GangTable::OnCheckpointed(const MemberKey& key, Instant now) {
  const auto found = this->members.find(key);
  if (found != this->members.end()) {
    found->second.OnCheckpointed(now);
  }
}

void GangTable::OnHeartbeatReply(const MemberKey& key,
                                 const rpc::MemberAliveReply& reply,
                                 const SentHeartbeat& sent,
                                 Instant now) {
  const auto found = this->members.find(key);
  if (found != this->members.end()) {
    found->second.OnHeartbeatReply(reply, sent, now);
  }
}

void GangTable::OnReportRecorded(const rpc::GangReport& report) {
  const auto found =
      this->watchers.find({JobId(report.job()), report.attempt()});
  if (found != this->watchers.end()) {
    found->second.OnReportRecorded(report.phase());
  }
}

// A running task without a member was started by an earlier incarnation; it
// ends when its lease expires.
void GangTable::OnTaskList(const TaskList& tasks,
                           Instant requested_at,
                           Instant now) {
  std::size_t own_running = 0;
  this->usage.clear();
  for (auto& [key, member] : this->members) {
    const auto found = tasks.find(TaskNameOf(key));
    const ListedTask task = found == tasks.end() ? ListedTask{} : found->second;
    const bool running = task.state == TaskState::kRunning;
    own_running += running && member.MayBeRunning() ? 1 : 0;
    if (running && task.has_usage) {
      this->usage[key] = task;
    }
    member.OnListed(task, requested_at, now);
  }
  const auto running = static_cast<std::size_t>(
      std::count_if(tasks.begin(), tasks.end(), [](const auto& item) {
        return item.second.state == TaskState::kRunning;
      }));
  this->capacity.SetUnknownTasksRunning(running > own_running);
}

void GangTable::StopAll(Instant now) {
  for (auto& [gang, watcher] : this->watchers) {
    if (watcher.Started()) {
      watcher.Stop(true, now);
    }
  }
  for (auto& [key, member] : this->members) {
    member.Stop(true, now);
  }
}

void GangTable::Tick(Instant now, GangActions& actions) {
  this->expiry_now = this->clock.Advance(now);
  for (auto& [key, member] : this->members) {
    member.Tick(now, actions);
  }
  this->HandleLocalHeartbeats(now, actions);
  for (auto& [gang, watcher] : this->watchers) {
    watcher.Tick(now, actions);
  }
  this->RemoveSettled();
}

bool GangTable::Empty() const {
  return this->members.empty() && this->watchers.empty();
}

bool GangTable::MayBeRunning() const {
  return std::any_of(
      this->members.begin(), this->members.end(),
      [](const auto& item) { return item.second.MayBeRunning(); });
}

std::vector<rpc::GangReport> GangTable::Reports() const {
  std::vector<rpc::GangReport> reports;
  for (const auto& [gang, watcher] : this->watchers) {
    reports.push_back(watcher.Report());
  }
  return reports;
}

std::vector<rpc::TaskUsage> GangTable::Usage(Instant now) const {
  std::vector<rpc::TaskUsage> result;
  for (const auto& [key, task] : this->usage) {
    rpc::TaskUsage usage_of_task;
    usage_of_task.set_job(key.job.value);
    usage_of_task.set_attempt(key.attempt);
    usage_of_task.set_member(key.member);
    usage_of_task.set_cores_milli(task.cores_milli);
    usage_of_task.set_memory_mb(task.memory_mb);
    usage_of_task.set_age_ms(
        static_cast<std::uint32_t>(now.RemainingMs(task.sampled_at)));
    result.push_back(std::move(usage_of_task));
  }
  return result;
}

rpc::Refusal GangTable::CheckPrepare(const rpc::PrepareMemberRequest& request,
                                     Instant now) const {
  if (!IsAddressedTo(this->self, request.peers())) {
    return rpc::REFUSAL_WRONG_INCARNATION;
  }
  const rpc::GangMember& spec = request.member();
  if (!IsWellFormed(spec) ||
      this->HasEnded(JobId(spec.job()), spec.attempt())) {
    return rpc::REFUSAL_UNKNOWN_GANG;
  }
  return this->CheckMayStart(now);
}

rpc::Refusal GangTable::CheckMayStart(Instant now) const {
  if (this->gate.State() != GateState::kServing) {
    return rpc::REFUSAL_LEAVING;
  }
  return this->lease.Holds(now) ? rpc::REFUSAL_NONE : rpc::REFUSAL_NO_LEASE;
}

rpc::Refusal GangTable::Reserve(const rpc::PrepareMemberRequest& request,
                                Instant now) {
  const rpc::GangMember& spec = request.member();
  const MemberKey key = KeyOf(spec);
  if (!this->capacity.Reserve(key, CellOf(spec))) {
    return rpc::REFUSAL_CELL_TAKEN;
  }
  const Instant reserved_until = now.After(
      std::min<std::int64_t>(request.promise_ms(), kMaxReservationMs));
  const auto [found, added] = this->members.try_emplace(
      key, this->chart, this->self, this->timing, spec, reserved_until);
  if (!added) {
    found->second.ExtendReservation(reserved_until);
  }
  // The agent of member 0 watches the gang.
  if (spec.member() == 0) {
    const auto watcher =
        this->watchers
            .try_emplace({key.job, key.attempt}, this->self, this->timing, spec)
            .first;
    watcher->second.ExtendReservation(reserved_until);
  }
  return rpc::REFUSAL_NONE;
}

bool GangTable::HasEnded(const JobId& job, std::uint32_t attempt) const {
  const auto found = this->ended_jobs.find(job);
  return found != this->ended_jobs.end() && attempt <= found->second.attempt;
}

void GangTable::RecordEnd(const JobId& job, std::uint32_t attempt) {
  EndedJob& ended = this->ended_jobs[job];
  ended.attempt = std::max(ended.attempt, attempt);
  ended.expires_at = this->expiry_now.After(kEndedJobRetentionMs);
}

bool GangTable::HasMemberOf(const GangKey& gang) const {
  const auto first =
      this->members.lower_bound(MemberKey{gang.first, gang.second, 0});
  return first != this->members.end() && first->first.job == gang.first &&
         first->first.attempt == gang.second;
}

// Heartbeats to a watcher on this same agent are handled without a remote call.
void GangTable::HandleLocalHeartbeats(Instant now, GangActions& actions) {
  std::erase_if(actions, [this, now](const GangAction& action) {
    const auto* alive = std::get_if<SendHeartbeat>(&action);
    if (alive == nullptr ||
        alive->request.peers().receiver() != this->self.instance.value) {
      return false;
    }
    this->OnHeartbeatReply(alive->key, this->OnHeartbeat(alive->request, now),
                           {alive->request.phase(), now}, now);
    return true;
  });
}

void GangTable::RemoveSettled() {
  for (auto it = this->members.begin(); it != this->members.end();) {
    const GangMember& member = it->second;
    if (member.State() == MemberState::kEnded) {
      this->capacity.Release(it->first);
    }
    if (member.WasStarted()) {
      this->RecordEnd(it->first.job, it->first.attempt);
    }
    it = member.Settled() ? this->members.erase(it) : std::next(it);
  }
  std::erase_if(this->watchers, [this](const auto& item) {
    const auto& [gang, watcher] = item;
    return watcher.Settled() ||
           (!watcher.Started() && !this->HasMemberOf(gang));
  });
  std::erase_if(this->ended_jobs, [this](const auto& item) {
    return item.second.expires_at <= this->expiry_now;
  });
}

rpc::MemberReply GangTable::ReplyTo(const rpc::Peers& peers,
                                    rpc::Refusal refusal) const {
  rpc::MemberReply reply;
  *reply.mutable_peers() = PeersOfReply(this->self, peers);
  reply.set_accepted(refusal == rpc::REFUSAL_NONE);
  reply.set_refusal(refusal);
  return reply;
}

}  // namespace carobrill::agent
