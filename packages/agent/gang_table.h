#ifndef PACKAGES_AGENT_GANG_TABLE_H_
#define PACKAGES_AGENT_GANG_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "packages/agent/aging_clock.h"
#include "packages/agent/endpoint_gate.h"
#include "packages/agent/gang_action.h"
#include "packages/agent/gang_member.h"
#include "packages/agent/gang_watcher.h"
#include "packages/agent/identity.h"
#include "packages/agent/lease_holder.h"
#include "packages/agent/worker_capacity.h"
#include "packages/core/time.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::agent {

/// The task list of a worker, by task name.
using TaskList = std::map<std::string, ListedTask>;

/// Manages the gang members and gang watchers of one agent.
class GangTable {
 public:
  /// The references must outlive the table.
  GangTable(const Identity& self,
            const GangTiming& timing,
            const MemberChart& chart,
            const EndpointGate& gate,
            const LeaseHolder& lease);

  rpc::MemberReply Prepare(const rpc::PrepareMemberRequest& request,
                           Instant now);
  rpc::MemberReply Start(const rpc::StartMemberRequest& request,
                         Instant now,
                         GangActions& actions);
  rpc::MemberReply Stop(const rpc::StopMemberRequest& request,
                        Instant now,
                        GangActions& actions);
  rpc::MemberAliveReply OnHeartbeat(const rpc::MemberAliveRequest& request,
                                    Instant now);

  void OnStarted(const MemberKey& key, StartResult result, Instant now);
  void OnCheckpointed(const MemberKey& key, Instant now);
  void OnHeartbeatReply(const MemberKey& key,
                        const rpc::MemberAliveReply& reply,
                        const SentHeartbeat& sent,
                        Instant now);
  void OnReportRecorded(const rpc::GangReport& report);

  /// Handles the worker's task list that was requested at `requested_at`.
  void OnTaskList(const TaskList& tasks, Instant requested_at, Instant now);

  /// Sets the total resources of the worker.
  void SetWorkerResources(const WorkerResources& size) {
    this->capacity.SetSize(size);
  }

  /// Stops all members and all gangs watched by this agent, with checkpoints.
  void StopAll(Instant now);

  /// Emits the actions that are due at `now` and removes settled state.
  void Tick(Instant now, GangActions& actions);

  /// True when there are no members and no gangs to report.
  bool Empty() const;

  /// True while a task of this agent may be running on the worker.
  bool MayBeRunning() const;

  /// Returns a report on each gang watched by this agent.
  std::vector<rpc::GangReport> Reports() const;

  /// Returns the last known resource usage of running tasks.
  std::vector<rpc::TaskUsage> Usage(Instant now) const;

  const WorkerCapacity& Capacity() const { return this->capacity; }

 private:
  using GangKey = std::pair<JobId, std::uint32_t>;

  struct EndedJob {
    std::uint32_t attempt = 0;
    Instant expires_at;
  };

  rpc::Refusal CheckPrepare(const rpc::PrepareMemberRequest& request,
                            Instant now) const;
  rpc::Refusal CheckMayStart(Instant now) const;
  rpc::Refusal Reserve(const rpc::PrepareMemberRequest& request, Instant now);
  bool HasEnded(const JobId& job, std::uint32_t attempt) const;
  void RecordEnd(const JobId& job, std::uint32_t attempt);
  bool HasMemberOf(const GangKey& gang) const;
  void HandleLocalHeartbeats(Instant now, GangActions& actions);
  void RemoveSettled();
  rpc::MemberReply ReplyTo(const rpc::Peers& peers, rpc::Refusal refusal) const;

  const Identity& self;
  GangTiming timing;
  const MemberChart& chart;
  const EndpointGate& gate;
  const LeaseHolder& lease;
  WorkerCapacity capacity;
  std::map<MemberKey, GangMember> members;
  std::map<GangKey, GangWatcher> watchers;
  std::map<MemberKey, ListedTask> usage;
  /// The highest attempt of each job that was started or stopped on this agent.
  std::map<JobId, EndedJob> ended_jobs;
  AgingClock clock;
  Instant expiry_now;
};

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_GANG_TABLE_H_
