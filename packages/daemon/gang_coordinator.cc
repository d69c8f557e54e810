#include "packages/daemon/gang_coordinator.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace carobrill::daemon {
namespace {

using scheduling::Job;
using scheduling::JobState;

// Short, so that a lost call uses only a small part of the 1.9 s within which
// urgent work has to start.
constexpr std::int64_t kCallTimeoutMs = 500;
constexpr std::int64_t kCallIntervalMs = 250;

rpc::GangMember BodyOf(const scheduling::Cluster& cluster,
                       const Job& job,
                       std::uint32_t member,
                       const membership::KnownWorker* watcher) {
  const auto size = cluster.EffectiveSize(job.spec);
  const auto& cell = job.members[member];
  rpc::GangMember body;
  body.set_job(job.id.value);
  body.set_attempt(job.attempt);
  body.set_member(member);
  body.set_members(static_cast<std::uint32_t>(job.members.size()));
  body.set_first_accelerator(cell.first_accelerator);
  body.set_accelerators(cell.accelerators);
  body.set_cores_milli(size.cores_milli);
  body.set_memory_mb(size.memory_mb);
  body.set_run_ms(job.spec.expected_run_ms());
  body.set_payload(job.spec.payload());
  body.set_checkpoint(job.checkpoint);
  body.set_can_checkpoint(job.spec.preemption() ==
                          records::PREEMPTION_CHECKPOINT);
  if (watcher != nullptr) {
    body.set_watcher(watcher->agent.value);
    body.set_watcher_address(watcher->address);
    body.set_watcher_incarnation(watcher->agent_incarnation);
  }
  return body;
}

const membership::KnownWorker* FindWorker(const WorkerMap& workers,
                                          const WorkerId& id) {
  const auto found = workers.find(id);
  return found == workers.end() ? nullptr : &found->second;
}

// A cancelled gang does not need a checkpoint.
bool WantsCheckpoint(const Job& job) {
  return !job.cancel_requested &&
         job.spec.preemption() == records::PREEMPTION_CHECKPOINT;
}

}  // namespace

std::vector<MemberCall> GangCoordinator::Step(
    const scheduling::Cluster& cluster,
    const WorkerMap& workers,
    Instant now) {
  this->RemoveSettled(cluster);
  std::vector<MemberCall> calls;
  this->StepGangsInState(cluster, JobState::kPlaced, MemberCallKind::kPrepare,
                         workers, now, calls);
  this->StepGangsInState(cluster, JobState::kStarting, MemberCallKind::kStart,
                         workers, now, calls);
  this->StepGangsInState(cluster, JobState::kStopping, MemberCallKind::kStop,
                         workers, now, calls);
  return calls;
}

void GangCoordinator::OnReply(const MemberCallId& id,
                              const rpc::MemberReply& reply) {
  MemberProgress* member = this->Find(id);
  if (member == nullptr) {
    return;
  }
  member->call_in_flight = false;
  // A stop is repeated until the agent confirms that nothing of the gang runs
  // or will start there.
  member->accepted =
      id.kind == MemberCallKind::kStop ? reply.settled() : reply.accepted();
  member->refusal = reply.accepted() ? rpc::REFUSAL_NONE : reply.refusal();
}

void GangCoordinator::OnFailure(const MemberCallId& id) {
  if (MemberProgress* member = this->Find(id)) {
    member->call_in_flight = false;
  }
}

std::vector<scheduling::GangReport> GangCoordinator::Reports(
    const scheduling::Cluster& cluster) const {
  std::vector<scheduling::GangReport> reports;
  for (const auto& [id, gang] : this->gangs) {
    const Job* job = cluster.FindJob(id);
    if (job == nullptr || job->attempt != gang.attempt) {
      continue;
    }
    if (const auto phase = PhaseOf(gang, job->state)) {
      scheduling::GangReport report;
      report.job = id;
      report.attempt = gang.attempt;
      report.phase = *phase;
      report.outcome = records::GANG_OUTCOME_STOPPED;
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

// If the watcher of a gang was never started, no agent reports the end of the
// gang. It has ended as well once the agents of all members have settled it.
std::optional<scheduling::GangPhase> GangCoordinator::PhaseOf(const Gang& gang,
                                                              JobState state) {
  const bool all_accepted = std::ranges::all_of(
      gang.members, [](const auto& member) { return member.accepted; });
  const bool refused = std::ranges::any_of(
      gang.members,
      [](const auto& member) { return member.refusal != rpc::REFUSAL_NONE; });
  if (state == JobState::kPlaced && gang.step == MemberCallKind::kPrepare) {
    if (all_accepted) {
      return scheduling::GangPhase::kPrepared;
    }
    if (refused) {
      return scheduling::GangPhase::kRefused;
    }
  }
  if (state == JobState::kStopping && gang.step == MemberCallKind::kStop &&
      all_accepted) {
    return scheduling::GangPhase::kEnded;
  }
  return std::nullopt;
}

void GangCoordinator::Reset() {
  this->gangs.clear();
}

void GangCoordinator::StepGangsInState(const scheduling::Cluster& cluster,
                                       JobState state,
                                       MemberCallKind kind,
                                       const WorkerMap& workers,
                                       Instant now,
                                       std::vector<MemberCall>& calls) {
  for (const auto& [since, id] : cluster.JobsInState(state)) {
    const Job* job = cluster.FindJob(id);
    // Members are prepared only after all preempted jobs have released their
    // cells.
    if (job != nullptr && job->pending_victims.empty()) {
      this->StepGang(cluster, *job, kind, workers, now, calls);
    }
  }
}

void GangCoordinator::StepGang(const scheduling::Cluster& cluster,
                               const Job& job,
                               MemberCallKind kind,
                               const WorkerMap& workers,
                               Instant now,
                               std::vector<MemberCall>& calls) {
  Gang& gang = this->FindOrResetGang(job, kind);
  const auto* watcher = FindWorker(workers, job.members.front().worker);
  for (std::uint32_t i = 0; i < gang.members.size(); ++i) {
    MemberProgress& member = gang.members[i];
    const auto* worker = FindWorker(workers, job.members[i].worker);
    if (member.accepted || member.call_in_flight || now < member.next_call_at ||
        worker == nullptr ||
        worker->agent_incarnation != job.members[i].incarnation) {
      continue;
    }
    MemberCall call;
    call.id = {job.id, job.attempt, i, kind};
    call.agent = worker->agent;
    call.agent_incarnation = worker->agent_incarnation;
    call.address = worker->address;
    call.checkpoint = WantsCheckpoint(job);
    call.deadline = now.After(kCallTimeoutMs);
    call.body = BodyOf(cluster, job, i, watcher);
    calls.push_back(std::move(call));
    member.call_in_flight = true;
    member.next_call_at = now.After(kCallIntervalMs);
  }
}

GangCoordinator::Gang& GangCoordinator::FindOrResetGang(const Job& job,
                                                        MemberCallKind kind) {
  Gang& gang = this->gangs[job.id];
  if (gang.members.empty() || gang.attempt != job.attempt ||
      gang.step != kind) {
    gang.attempt = job.attempt;
    gang.step = kind;
    gang.members.assign(job.members.size(), MemberProgress{});
  }
  return gang;
}

GangCoordinator::MemberProgress* GangCoordinator::Find(const MemberCallId& id) {
  const auto found = this->gangs.find(id.job);
  if (found == this->gangs.end() || found->second.attempt != id.attempt ||
      found->second.step != id.kind ||
      id.member >= found->second.members.size()) {
    return nullptr;
  }
  return &found->second.members[id.member];
}

void GangCoordinator::RemoveSettled(const scheduling::Cluster& cluster) {
  std::erase_if(this->gangs, [&](const auto& entry) {
    const Job* job = cluster.FindJob(entry.first);
    return job == nullptr || job->state == JobState::kRunning ||
           !scheduling::HoldsCells(job->state);
  });
}

}  // namespace carobrill::daemon
