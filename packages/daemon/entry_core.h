#ifndef PACKAGES_DAEMON_ENTRY_CORE_H_
#define PACKAGES_DAEMON_ENTRY_CORE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "packages/core/metrics.h"
#include "packages/core/task.h"
#include "packages/core/task_scheduler.h"
#include "packages/core/time.h"
#include "packages/daemon/api_types.h"
#include "packages/daemon/audit_trail.h"
#include "packages/daemon/entry_metrics.h"
#include "packages/daemon/entry_session.h"
#include "packages/daemon/gang_report_recorder.h"
#include "packages/daemon/peer_exchange.h"
#include "packages/daemon/planning_loop.h"
#include "packages/daemon/proposer.h"
#include "packages/daemon/request_executor.h"
#include "packages/daemon/settings.h"
#include "packages/daemon/worker_registrar.h"
#include "packages/http/http_client.h"
#include "packages/ledger/recovery.h"
#include "packages/membership/directory.h"
#include "packages/platform/log_client.h"
#include "packages/rpc/agent_client.h"
#include "packages/rpc/channel_pool.h"
#include "packages/rpc/entry_client.h"
#include "packages/rpc/entry_server.h"

namespace carobrill::daemon {

/// Identity of an entry process, which accepts requests and jobs from clients
/// and keeps the replicated state: its settings, its incarnation and the
/// address at which others call it.
struct EntryIdentity {
  Settings settings;
  Incarnation incarnation = 0;
  /// gRPC address, "ip:port".
  std::string address;
};

/// The replicated state of an entry and the components that use it. Every
/// function except `CurrentReadiness` must be called on `task`.
class EntryCore {
 public:
  /// `task` and `metrics` must outlive the core.
  EntryCore(const EntryIdentity& identity,
            ReplicatedState initial_state,
            ledger::Recovery recovery,
            Task& task,
            MetricsRegistry& metrics);

  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  /// Starts to read the log and starts the periodic work.
  void Start();

  /// Handlers of the gRPC service Entry. They run on the task.
  rpc::EntryHandlers Handlers();

  /// Announces to peers and agents that this entry is draining, and hands over
  /// planning.
  void BeginDrain();

  /// True if no accepted request is in progress.
  bool Idle() const { return this->requests.Idle(); }

  /// Thread-safe.
  Readiness CurrentReadiness() const;

  EntrySession& Session() { return this->session; }
  Proposer& GetProposer() { return this->proposer; }
  RequestExecutor& Requests() { return this->requests; }
  const ReplicatedState& State() const { return this->session.State(); }
  const membership::Directory& Directory() const { return this->directory; }
  const AuditTrail& Audit() const { return this->audit; }
  const EntryIdentity& Identity() const { return this->identity; }
  bool IsPlanning() const { return this->planning.IsPlanning(); }

 private:
  ledger::SessionHooks MakeHooks();
  void OnRecord(const ledger::AppliedRecord& folded);
  void OnStateReplaced();
  void OnRulesChanged();
  void OnAnnounce(const rpc::AnnounceRequest& request,
                  const rpc::Responder<rpc::AnnounceReply>& respond);
  void OnDigest(const rpc::DigestRequest& request,
                const rpc::Responder<rpc::DigestReply>& respond);
  void OnFetchState(const rpc::FetchStateRequest& request,
                    const rpc::StateStream& stream);
  void Tick();
  void TickMembership(Instant now);
  void UpdateLogState();
  void UpdateReadiness(Instant now);
  bool RulesAreOutdated(Instant now) const;
  bool LogAvailable() const;
  void UpdateSelfStatus();

  EntryIdentity identity;
  Task& task;
  EntryMetrics metrics;
  http::HttpClient http;
  platform::LogClient log;
  TaskScheduler scheduler;
  EntrySession session;
  Proposer proposer;
  rpc::ChannelPool channels;
  rpc::AgentClient agents;
  rpc::EntryClient entries;
  membership::Directory directory;
  RequestExecutor requests;
  PlanningLoop planning;
  WorkerRegistrar registrar;
  GangReportRecorder report_recorder;
  PeerExchange peers;
  AuditTrail audit;
  bool draining = false;
  bool log_was_available = false;
  Instant next_membership_at;
  Instant rules_outdated_since = Instant::Never();
  std::atomic<bool> ready = false;
  std::atomic<bool> rules_outdated = false;
  std::atomic<bool> log_unresponsive = false;
  /// Expires with the core, so that later timers have no effect.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_ENTRY_CORE_H_
