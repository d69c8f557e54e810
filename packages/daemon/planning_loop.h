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

/// Limits of the planning loop.
struct PlanningSettings {
  InstanceId self;
  Incarnation self_incarnation = 0;
  bool enabled = true;
  /// Time between plans when nothing has changed.
  std::int64_t interval_ms = 500;
  /// How long this entry listens before it judges who is dead, after its start
  /// or after it was paused itself.
  std::int64_t listen_ms = 3'000;
  std::int64_t promise_ms = 2'000;
  scheduling::PlannerSettings planner;
  LivenessSettings liveness;
};

/// Counts of the planning loop, for metrics.
struct PlanningCounters {
  std::uint64_t plans = 0;
  std::uint64_t proposals = 0;
  std::uint64_t rejected = 0;
};

/// Plans placements while this entry is first in rank, and takes gangs through
/// prepare, start and stop. Used on the entry's task only.
class PlanningLoop {
 public:
  PlanningLoop(PlanningSettings settings,
               EntrySession& session,
               Proposer& proposer,
               rpc::AgentClient& agents,
               Instant now);

  /// Takes the usage that an agent announced.
  void OnAnnounce(const rpc::AnnounceRequest& announcement);

  /// The folded state has changed.
  void OnFolded() { this->changed = true; }

  /// Does what is due. Called often; most calls do nothing.
  void Tick(const membership::Directory& directory, Instant now);

  /// True when this entry planned at the last tick.
  bool Planning() const { return this->planning; }

  const PlanningCounters& Counters() const { return this->counters; }

 private:
  bool MayPlan(const membership::Directory& directory, Instant now);
  void RefreshWorkers(const membership::Directory& directory, Instant now);
  void Plan(Instant now);
  void Propose(std::vector<records::Record> records);
  void Call(const MemberCall& call);
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
  scheduling::PlannerView view;
  std::uint32_t open_proposals = 0;
  bool planning = false;
  bool changed = true;
  Instant listen_until;
  Instant last_tick;
  Instant refresh_at;
  Instant plan_at;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_PLANNING_LOOP_H_
