#ifndef PACKAGES_GATEWAY_WORKER_LINK_H_
#define PACKAGES_GATEWAY_WORKER_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/task.h"
#include "packages/rpc/rpc_types.h"
#include "packages/rpc/worker_control.pb.h"
#include "packages/workload/job_planner.h"

namespace carobrill::gateway {

/// Timing of exchanges with an agent, in ms.
struct WorkerLinkSettings {
  /// How long an agent's leases last after its last report to the planner. Must
  /// not exceed the longest time for which the platform (the runners and the
  /// metadata store) lets a worker run a task without a renewed lease.
  std::int64_t lease_ms = 5'500;
  /// How long an exchange waits for changes. Several fit into a lease.
  std::int64_t wait_ms = 1'000;
  /// Added to wait_ms to give the timeout of an exchange.
  std::int64_t answer_timeout_ms = 800;
  std::int64_t retry_delay_ms = 200;
};

/// Sends one exchange. Set by the owner.
using ExchangeFunction =
    std::function<void(const std::string& address,
                       const rpc::ExchangeRequest& request,
                       Instant deadline,
                       rpc::RpcCallback<rpc::ExchangeReply> callback)>;

/// Callbacks of a link to its planner session.
struct WorkerLinkCallbacks {
  /// Called for each report from the agent. `lease_expires_at` as in
  /// JobPlanner::UpdateWorker; it covers all leases that are granted until the
  /// next report.
  std::function<void(const InstanceId&,
                     const rpc::ExchangeReply&,
                     Instant lease_expires_at)>
      on_report;
  std::function<void(const InstanceId&)> on_unreachable;
  /// Called when the link has dropped its orders because the agent reports
  /// another incarnation of its worker.
  std::function<void(const InstanceId&)> on_orders_dropped;
  /// Called when a process of the agent answers for the first time, with the
  /// latest time (boot clock) at which it may have started. Returns whether it
  /// gets orders and leases at once; otherwise it gets none until
  /// ConfirmRole().
  std::function<bool(const InstanceId&, Instant started_by)> on_process_changed;
  /// Called when the agent follows a planner with a higher epoch.
  std::function<void(std::uint64_t epoch)> on_superseded;
};

/// The planner's connection to one agent. Keeps one long-polling exchange open,
/// and sends another immediately when the orders change. Each exchange that
/// names a worker carries the complete set of orders for it.
class WorkerLink {
 public:
  WorkerLink(Task& task,
             InstanceId agent,
             std::string address,
             std::uint64_t epoch,
             WorkerLinkSettings settings,
             ExchangeFunction exchange,
             WorkerLinkCallbacks callbacks);
  ~WorkerLink();

  WorkerLink(const WorkerLink&) = delete;
  WorkerLink& operator=(const WorkerLink&) = delete;

  const std::string& Address() const { return this->address; }

  /// Replaces the set of orders and the acknowledged end, which is the highest
  /// number up to which the results of all ended runs are stored, and sends
  /// them if they changed.
  void SetOrders(std::vector<workload::TaskOrder> orders,
                 std::uint64_t acknowledged_end);

  /// Replaces only the acknowledged end.
  void SetAcknowledgedEnd(std::uint64_t acknowledged_end);

  /// The planner was still in office after the agent's present process had
  /// answered.
  void ConfirmRole();

  /// Sets how long an exchange waits for changes, in ms.
  void SetWaitMs(std::int64_t wait_ms) { this->settings.wait_ms = wait_ms; }

  /// Sets the time (boot clock) up to which the planner may let the agent
  /// renew the leases of its worker.
  void SetLeaseLimit(Instant limit) { this->lease_limit = limit; }

  /// Sets the time (boot clock) until which the agent may start runs on the
  /// orders that are sent from now on.
  void SetStartLimit(Instant limit) { this->start_limit = limit; }

 private:
  void Send(std::int64_t wait_ms);
  void OnReply(const rpc::RpcResult<rpc::ExchangeReply>& reply,
               std::uint64_t sequence);
  void OnFailure(const rpc::RpcResult<rpc::ExchangeReply>& reply);
  bool IsOutdated(const rpc::ExchangeReply& reply,
                  std::uint64_t sequence) const;
  void ApplyReport(const rpc::ExchangeReply& reply, std::uint64_t sequence);
  void LogProcess(const rpc::ExchangeReply& reply) const;
  void ExtendLease(Instant now);
  void GrantLease(rpc::ExchangeRequest& request, Instant now) const;
  void AddOrders(rpc::ExchangeRequest& request) const;

  Task& task;
  InstanceId agent;
  std::string address;
  std::uint64_t epoch;
  WorkerLinkSettings settings;
  ExchangeFunction exchange;
  WorkerLinkCallbacks callbacks;
  std::vector<workload::TaskOrder> orders;
  /// The orders for the present worker have been set.
  bool orders_known = false;
  std::uint64_t acknowledged_end = 0;
  /// Begins at the time of creation, in ms, so that the agent follows a link
  /// that replaces another one of the same planner.
  std::uint64_t sequence;
  /// Highest sequence number whose answer has been applied.
  std::uint64_t answered_sequence = 0;
  bool connected = false;
  bool has_failed = false;
  /// The agent has answered this planner.
  bool has_reported = false;
  /// As of ConfirmRole().
  bool role_confirmed = false;
  /// Agent clock minus boot clock of this process. Never greater than the true
  /// difference.
  std::int64_t clock_offset_ms = 0;
  std::uint64_t agent_incarnation = 0;
  std::uint64_t seen_report = 0;
  rpc::WorkerIdentity worker;
  /// @{
  /// Boot clock: until when the agent may be let renew leases, and when the
  /// last of them has certainly expired.
  Instant authority_ends_at;
  Instant lease_expires_at;
  /// @}
  Instant lease_limit;
  Instant start_limit = Instant::Never();
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// Extracts the description of the worker from an agent's report.
workload::WorkerDescription DecodeDescription(const InstanceId& agent,
                                              const rpc::ExchangeReply& reply);

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_WORKER_LINK_H_
