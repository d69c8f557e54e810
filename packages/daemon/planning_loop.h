#ifndef PACKAGES_DAEMON_PLANNING_LOOP_H_
#define PACKAGES_DAEMON_PLANNING_LOOP_H_

#include <cstdint>
#include <vector>

#include "packages/core/time.h"
#include "packages/daemon/entry_session.h"
#include "packages/daemon/gang_coordinator.h"
#include "packages/daemon/proposer.h"
#include "packages/daemon/worker_liveness.h"
#include "packages/membership/directory.h"
#include "packages/rpc/agent_client.h"
#include "packages/rpc/control.pb.h"
#include "packages/scheduling/planner.h"

namespace carobrill::daemon {

/// Settings of the planning loop.
struct PlanningSettings {
  InstanceId self;
  Incarnation self_incarnation = 0;
  bool enabled = true;
  /// Time between planning passes while nothing has changed.
  std::int64_t interval_ms = 500;
  /// How long this entry collects announcements after its start, or after its
  /// process was paused, before it plans and decides which workers are dead.
  std::int64_t observation_ms = 3'000;
  /// How long an agent reserves the cells of a prepared member.
  std::int64_t reservation_ms = 2'000;
  scheduling::PlannerSettings planner;
  LivenessSettings liveness;
};

/// Counters of the planning loop, for metrics.
struct PlanningCounters {
  std::uint64_t plans = 0;
  std::uint64_t proposals = 0;
  std::uint64_t rejected = 0;
};

/// While this entry is first in the planner rank, plans placements and makes
/// the calls that prepare, start and stop gang members. Used on the entry's
/// task only.
class PlanningLoop {
 public:
  PlanningLoop(PlanningSettings settings,
               EntrySession& session,
               Proposer& proposer,
               rpc::AgentClient& agents,
               Instant now);

  /// Adds the task usage in an agent's announcement.
  void OnAnnounce(const rpc::AnnounceRequest& announcement);

  /// Requests a planning pass after a change of the replicated state.
  void OnStateChanged() { this->plan_needed = true; }

  /// Does the work that is due. Called often; most calls do nothing.
  void Tick(const membership::Directory& directory, Instant now);

  /// True if this entry was the planner at the last tick.
  bool IsPlanning() const { return this->planning; }

  const PlanningCounters& Counters() const { return this->counters; }

 private:
  bool CanPlan(const membership::Directory& directory, Instant now);
  void RefreshWorkers(const membership::Directory& directory, Instant now);
  void Plan(Instant now);
  void Propose(std::vector<records::Record> records);
  void CallAgent(const MemberCall& call);
  rpc::Peers PeersTo(const MemberCall& call) const;

  PlanningSettings settings;
  EntrySession& session;
  Proposer& proposer;
  rpc::AgentClient& agents;
  scheduling::Planner planner;
  WorkerLiveness liveness;
  GangCoordinator gangs;
  PlanningCounters counters;
  WorkerMap workers;
  scheduling::PlannerInput view;
  std::uint32_t pending_proposals = 0;
  bool planning = false;
  bool plan_needed = true;
  Instant observe_until;
  Instant last_tick;
  Instant next_refresh_at;
  Instant next_plan_at;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_PLANNING_LOOP_H_
