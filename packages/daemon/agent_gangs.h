#ifndef PACKAGES_DAEMON_AGENT_GANGS_H_
#define PACKAGES_DAEMON_AGENT_GANGS_H_

#include <functional>
#include <string>
#include <vector>

#include "packages/agent/gang_table.h"
#include "packages/core/time.h"
#include "packages/daemon/agent_context.h"
#include "packages/platform/worker_client.h"
#include "packages/rpc/control.pb.h"
#include "packages/rpc/rpc_types.h"

namespace carobrill::daemon {

/// Performs the actions that the gang table returns: calls to the worker,
/// heartbeats to watchers and reports to entries.
class AgentGangs {
 public:
  /// Sends a report to an entry and calls the given function when the report
  /// has been recorded.
  using Reporter =
      std::function<void(const rpc::GangReport&, std::function<void()>)>;

  /// `context` must outlive this object.
  AgentGangs(AgentContext& context,
             const agent::MemberChart& chart,
             Reporter send_report);

  void Prepare(const rpc::PrepareMemberRequest& request,
               const rpc::Responder<rpc::MemberReply>& respond);
  void Start(const rpc::StartMemberRequest& request,
             const rpc::Responder<rpc::MemberReply>& respond);
  void Stop(const rpc::StopMemberRequest& request,
            const rpc::Responder<rpc::MemberReply>& respond);
  void MemberAlive(const rpc::MemberAliveRequest& request,
                   const rpc::Responder<rpc::MemberAliveReply>& respond);

  /// Performs the actions of the gang table that are due, and queries the
  /// worker.
  void Tick(Instant now);

  /// Stops all members on this worker and all gangs that this agent watches.
  void StopAll(Instant now);

  /// True once the worker has reported its capacity.
  bool Ready() const { return this->table.Capacity().Size().has_value(); }

  const agent::GangTable& Table() const { return this->table; }

 private:
  void Perform(const agent::GangActions& actions);
  void Perform(const agent::StartTask& action);
  void Perform(const agent::RenewTask& action);
  void Perform(const agent::CheckpointTask& action);
  void Perform(const agent::StopTask& action);
  void Perform(const agent::SendHeartbeat& action);
  void Perform(const agent::SendReport& action);
  void DescribeWorker(Instant now);
  void ListTasks(Instant now);
  Instant CallDeadline() const;

  AgentContext& context;
  Reporter send_report;
  agent::GangTiming timing;
  agent::GangTable table;
  platform::WorkerClient worker;
  Instant next_describe_at;
  Instant next_list_at;
  bool list_in_flight = false;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_AGENT_GANGS_H_
