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

/// Carries out what the gang table decides: calls to the worker, heartbeats to
/// watchers and reports to entries.
class AgentGangs {
 public:
  /// Sends a report to an entry; the function it is given is to be called when
  /// the report is recorded.
  using Reporter =
      std::function<void(const rpc::GangReport&, std::function<void()>)>;

  /// `context` must outlive this object.
  AgentGangs(AgentContext& context,
             const agent::MemberChart& chart,
             Reporter report);

  void Prepare(const rpc::PrepareMemberRequest& request,
               const rpc::Responder<rpc::MemberReply>& respond);
  void Start(const rpc::StartMemberRequest& request,
             const rpc::Responder<rpc::MemberReply>& respond);
  void Stop(const rpc::StopMemberRequest& request,
            const rpc::Responder<rpc::MemberReply>& respond);
  void MemberAlive(const rpc::MemberAliveRequest& request,
                   const rpc::Responder<rpc::MemberAliveReply>& respond);

  /// What is due now.
  void Tick(Instant now);

  /// Stops all members and the gangs watched here.
  void StopAll(Instant now);

  /// True when the worker has described itself.
  bool Ready() const { return this->table.Capacity().Size().has_value(); }

  const agent::GangTable& Table() const { return this->table; }

 private:
  void Do(const agent::GangActions& actions);
  void Do(const agent::StartTask& action);
  void Do(const agent::RenewTask& action);
  void Do(const agent::CheckpointTask& action);
  void Do(const agent::StopTask& action);
  void Do(const agent::SendAlive& action);
  void Do(const agent::SendReport& action);
  void AskWorker(Instant now);
  void AskList(Instant now);
  Instant CallDeadline() const;

  AgentContext& context;
  Reporter report;
  agent::GangTiming timing;
  agent::GangTable table;
  platform::WorkerClient worker;
  Instant describe_at;
  Instant list_at;
  bool listing = false;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_AGENT_GANGS_H_
