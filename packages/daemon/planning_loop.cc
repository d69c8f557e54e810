#include "packages/daemon/planning_loop.h"

#include <string>
#include <utility>

#include "packages/core/log.h"

namespace carobrill::daemon {
namespace {

// If the time between two ticks is longer than this, the process counts as
// paused, and its membership data is too old to decide which workers are dead.
constexpr std::int64_t kPauseThresholdMs = 700;

// Interval at which the workers are copied from the directory. With 900
// workers, a copy at every tick would cost more than planning.
constexpr std::int64_t kRefreshIntervalMs = 200;

constexpr std::size_t kMaxUsageSamples = 10'000;

}  // namespace

PlanningLoop::PlanningLoop(PlanningSettings settings,
                           EntrySession& session,
                           Proposer& proposer,
                           rpc::AgentClient& agents,
                           Instant now)
    : settings(std::move(settings)),
      session(session),
      proposer(proposer),
      agents(agents),
      planner(this->settings.planner),
      liveness(this->settings.liveness),
      observe_until(now.After(this->settings.observation_ms)),
      last_tick(now),
      next_refresh_at(now),
      next_plan_at(now) {}

void PlanningLoop::OnAnnounce(const rpc::AnnounceRequest& announcement) {
  if (!this->planning || this->view.usage.size() >= kMaxUsageSamples) {
    return;
  }
  const Instant log_time = this->session.LogTimeNow();
  for (const auto& usage : announcement.usage()) {
    scheduling::UsageSample sample;
    sample.job = JobId(usage.job());
    sample.attempt = usage.attempt();
    sample.worker = WorkerId(announcement.worker().worker());
    sample.cores_milli = usage.cores_milli();
    sample.memory_mb = usage.memory_mb();
    sample.sampled_at = Instant{log_time.ms - usage.age_ms()};
    this->view.usage.push_back(std::move(sample));
  }
}

void PlanningLoop::Tick(const membership::Directory& directory, Instant now) {
  if (now.ms - this->last_tick.ms > kPauseThresholdMs) {
    this->observe_until = now.After(this->settings.observation_ms);
  }
  this->last_tick = now;
  const bool can_plan = this->CanPlan(directory, now);
  if (can_plan != this->planning) {
    this->planning = can_plan;
    this->gangs.Reset();
    this->view = {};
    this->liveness.Reset();
    Log(LogLevel::kInfo, can_plan ? "this entry is now the planner"
                                  : "this entry is no longer the planner");
  }
  if (!can_plan) {
    return;
  }
  this->RefreshWorkers(directory, now);
  for (const auto& call : this->gangs.Step(this->session.State().GetCluster(),
                                           this->workers, now)) {
    this->CallAgent(call);
  }
  if (this->pending_proposals == 0 &&
      (this->plan_needed || this->next_plan_at <= now)) {
    this->Plan(now);
  }
}

bool PlanningLoop::CanPlan(const membership::Directory& directory,
                           Instant now) {
  return this->settings.enabled && this->session.CanPropose() &&
         !this->session.InOutage() && this->observe_until <= now &&
         directory.IsPreferredPlanner(now);
}

void PlanningLoop::RefreshWorkers(const membership::Directory& directory,
                                  Instant now) {
  if (now < this->next_refresh_at) {
    return;
  }
  this->next_refresh_at = now.After(kRefreshIntervalMs);
  this->workers.clear();
  for (auto& worker : directory.Workers(now)) {
    this->workers[worker.worker] = std::move(worker);
  }
  std::set<WorkerId> dead =
      this->liveness.FindLost(this->session.State().GetCluster().Workers(),
                              this->workers, directory.Entries(now), now);
  if (dead != this->view.dead_workers) {
    this->view.dead_workers = std::move(dead);
    this->plan_needed = true;
  }
}

void PlanningLoop::Plan(Instant now) {
  this->plan_needed = false;
  this->next_plan_at = now.After(this->settings.interval_ms);
  const auto& cluster = this->session.State().GetCluster();
  this->view.reports = this->gangs.Reports(cluster);
  scheduling::Plan plan =
      this->planner.Propose(cluster, this->session.LogTimeNow(), this->view);
  this->view.usage.clear();
  ++this->counters.plans;
  this->Propose(std::move(plan.records));
}

void PlanningLoop::Propose(std::vector<records::Record> records) {
  for (auto& record : records) {
    ++this->pending_proposals;
    ++this->counters.proposals;
    this->proposer.Propose(
        std::move(record), "planner", Instant::Never(),
        [this](const ledger::ProposalResult& result) {
          --this->pending_proposals;
          this->plan_needed = true;
          if (result.outcome == ledger::ProposalOutcome::kDecided &&
              result.verdict != records::Verdict::kAccepted) {
            ++this->counters.rejected;
          }
        });
  }
}

void PlanningLoop::CallAgent(const MemberCall& call) {
  const auto on_reply =
      [this, id = call.id](const rpc::RpcResult<rpc::MemberReply>& reply) {
        if (reply.Ok()) {
          this->gangs.OnReply(id, reply.value);
        } else {
          this->gangs.OnFailure(id);
        }
        this->plan_needed = true;
      };
  switch (call.id.kind) {
    case MemberCallKind::kPrepare: {
      rpc::PrepareMemberRequest request;
      *request.mutable_peers() = this->PeersTo(call);
      *request.mutable_member() = call.body;
      request.set_promise_ms(
          static_cast<std::uint32_t>(this->settings.reservation_ms));
      this->agents.PrepareMember(call.address, request, call.deadline,
                                 on_reply);
      return;
    }
    case MemberCallKind::kStart: {
      rpc::StartMemberRequest request;
      *request.mutable_peers() = this->PeersTo(call);
      *request.mutable_member() = call.body;
      this->agents.StartMember(call.address, request, call.deadline, on_reply);
      return;
    }
    case MemberCallKind::kStop: {
      rpc::StopMemberRequest request;
      *request.mutable_peers() = this->PeersTo(call);
      request.set_job(call.id.job.value);
      request.set_attempt(call.id.attempt);
      request.set_checkpoint(call.checkpoint);
      this->agents.StopMember(call.address, request, call.deadline, on_reply);
      return;
    }
  }
}

rpc::Peers PlanningLoop::PeersTo(const MemberCall& call) const {
  rpc::Peers peers;
  peers.set_sender(this->settings.self.value);
  peers.set_sender_incarnation(this->settings.self_incarnation);
  peers.set_receiver(call.agent.value);
  peers.set_receiver_incarnation(call.agent_incarnation);
  return peers;
}

}  // namespace carobrill::daemon
