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
#include "packages/daemon/gang_reports.h"
#include "packages/daemon/peer_exchange.h"
#include "packages/daemon/planning_loop.h"
#include "packages/daemon/proposer.h"
#include "packages/daemon/request_path.h"
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

/// Who this process is: its settings, its incarnation and the address that
/// others call.
struct EntryIdentity {
  Settings settings;
  Incarnation incarnation = 0;
  /// gRPC address, "ip:port".
  std::string address;
};

/// The state of an entry and all that acts on it. Lives on one task; every
/// function but `CurrentReadiness` is called there.
class EntryCore {
 public:
  /// `task` and `metrics` must outlive the core.
  EntryCore(const EntryIdentity& identity,
            Fold empty,
            ledger::Recovery recovery,
            Task& task,
            MetricsRegistry& metrics);

  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  /// Starts to follow the log and to tick.
  void Start();

  /// What the gRPC service Entry does; the handlers run on the task.
  rpc::EntryHandlers Handlers();

  /// Tells peers and agents that this entry leaves, and hands over planning.
  void BeginDrain();

  /// True when no accepted request is open any more.
  bool Idle() const { return this->requests.Idle(); }

  /// Safe from any thread.
  Readiness CurrentReadiness() const;

  EntrySession& Session() { return this->session; }
  Proposer& GetProposer() { return this->proposer; }
  RequestPath& Requests() { return this->requests; }
  const Fold& State() const { return this->session.State(); }
  const membership::Directory& Directory() const { return this->directory; }
  const AuditTrail& Audit() const { return this->audit; }
  const EntryIdentity& Identity() const { return this->identity; }
  bool Planning() const { return this->planning.Planning(); }

 private:
  ledger::SessionHooks Hooks();
  void OnFolded(const ledger::FoldedRecord& folded);
  void OnStateReplaced();
  void OnRulesInForce();
  void OnAnnounce(const rpc::AnnounceRequest& request,
                  const rpc::Responder<rpc::AnnounceReply>& respond);
  void OnDigest(const rpc::DigestRequest& request,
                const rpc::Responder<rpc::DigestReply>& respond);
  void OnFetchState(const rpc::FetchStateRequest& request,
                    const rpc::StateStream& stream);
  void Tick();
  void TickMembership(Instant now);
  void NoteLogState();
  void NoteReadiness(Instant now);
  bool IsBehindPeers(Instant now) const;
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
  RequestPath requests;
  PlanningLoop planning;
  WorkerRegistrar registrar;
  GangReports reports;
  PeerExchange peers;
  AuditTrail audit;
  bool draining = false;
  bool log_was_available = false;
  Instant membership_at;
  Instant behind_since = Instant::Never();
  std::atomic<bool> ready = false;
  std::atomic<bool> behind = false;
  std::atomic<bool> log_silent = false;
  /// Tells timers that outlive the core to do nothing.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_ENTRY_CORE_H_
