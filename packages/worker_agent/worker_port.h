#ifndef PACKAGES_WORKER_AGENT_WORKER_PORT_H_
#define PACKAGES_WORKER_AGENT_WORKER_PORT_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "packages/core/name_table.h"
#include "packages/core/time.h"
#include "packages/workload/job.h"
#include "packages/workload/worker.h"

namespace carobrill::worker_agent {

/// Heartbeat sent by a worker.
struct WorkerHeartbeat {
  workload::WorkerDescription description;
  /// Increases with each heartbeat of one incarnation of the worker.
  std::uint64_t sequence = 0;
};

/// Order to start a run. Idempotent.
struct StartOrder {
  workload::TaskKey task;
  std::uint32_t run = 0;
  std::string payload;
  std::string checkpoint;
  /// Authorization by an external placement policy to run the step on this
  /// worker; empty for none.
  std::string ticket;
  /// Time on the worker's clock until which it may run its tasks.
  std::int64_t lease_until_worker_ms = 0;
  /// Fencing token: the worker rejects orders whose token is lower than the
  /// highest that it has received.
  std::uint64_t fence = 0;
  WorkerId worker;
};

/// Order to stop a run. Afterwards the worker rejects starts of this run and of
/// earlier runs of the task.
struct StopOrder {
  workload::TaskKey task;
  std::uint32_t run = 0;
  std::uint64_t fence = 0;
  WorkerId worker;
};

/// Order to run at a fraction of the full rate, from 0 to 100 percent.
struct PaceOrder {
  workload::TaskKey task;
  std::uint32_t run = 0;
  std::uint32_t percent = 0;
  std::uint64_t fence = 0;
  WorkerId worker;
};

/// Outcome of an order.
enum class OrderResult {
  kDone,
  /// The worker has received a higher fencing token.
  kFenced,
  /// The run is not newer than a run of the task that ended or was stopped.
  kOutdated,
  /// The lease in the order has already expired.
  kLeaseExpired,
  kNoCapacity,
  kTicketRefused,
  kMalformed,
  /// The worker is unhealthy and did not execute the order.
  kUnhealthy,
  /// Another incarnation of the worker answered.
  kOtherIncarnation,
  /// No complete answer. The order may still be executed, even later.
  kNoAnswer,
  /// Nothing listens at the worker's address.
  kUnreachable,
};

constexpr auto NamesOf(OrderResult) {
  return MakeNameTable<OrderResult>({
      {OrderResult::kDone, "done"},
      {OrderResult::kFenced, "fenced"},
      {OrderResult::kOutdated, "outdated"},
      {OrderResult::kLeaseExpired, "lease_over"},
      {OrderResult::kNoCapacity, "no_room"},
      {OrderResult::kTicketRefused, "ticket_refused"},
      {OrderResult::kMalformed, "malformed"},
      {OrderResult::kUnhealthy, "unhealthy"},
      {OrderResult::kOtherIncarnation, "other_life"},
      {OrderResult::kNoAnswer, "no_answer"},
      {OrderResult::kUnreachable, "unreachable"},
  });
}

/// A running task as listed by the worker.
struct ListedRun {
  workload::TaskKey task;
  std::uint32_t run = 0;
  std::uint32_t percent = 0;
  std::string checkpoint;
  std::int64_t usage = 0;
};

/// An ended run, listed by the worker until its end is acknowledged.
struct ListedRunEnd {
  std::uint64_t number = 0;
  workload::TaskKey task;
  std::uint32_t run = 0;
  workload::RunEnd end = workload::RunEnd::kStopped;
  std::string checkpoint;
};

/// Request to renew the leases, acknowledge run ends and read the worker's
/// lists.
struct LeaseRequest {
  std::uint64_t fence = 0;
  /// The worker may discard the listed run ends up to this number.
  std::uint64_t acknowledged_end = 0;
  /// 0 leaves the leases unchanged.
  std::int64_t lease_until_worker_ms = 0;
  /// How long the worker waits for a run to end before it answers.
  std::int64_t wait_ms = 0;
  WorkerId worker;
};

/// The worker's lists. Valid only with kDone.
struct LeaseReply {
  OrderResult result = OrderResult::kDone;
  std::int64_t worker_clock_ms = 0;
  std::int64_t born_ms = 0;
  std::vector<ListedRun> running;
  std::vector<ListedRunEnd> ended;
  /// The worker has listed as many ends as it lists at a time, so that further
  /// ones may exist.
  bool ends_truncated = false;
};

/// Answer to a start order. The clock is 0 if the answer contains none.
struct StartReply {
  OrderResult result = OrderResult::kDone;
  std::int64_t worker_clock_ms = 0;
};

/// Client interface through which an agent controls its worker. Callbacks run
/// on the agent's task.
template <typename T>
concept WorkerPort = requires(T& port,
                              StartOrder start,
                              StopOrder stop,
                              PaceOrder pace,
                              LeaseRequest lease,
                              Instant deadline,
                              std::function<void(StartReply)> started,
                              std::function<void(OrderResult)> stopped,
                              std::function<void(LeaseReply)> renewed) {
  port.Start(start, deadline, started);
  port.Stop(stop, deadline, stopped);
  port.Throttle(pace, deadline, stopped);
  port.RenewLeases(lease, deadline, renewed);
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_WORKER_PORT_H_
