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

/// What a worker says of itself in a heartbeat.
struct WorkerHeartbeat {
  workload::WorkerDescription description;
  /// Rises with each heartbeat of one life.
  std::uint64_t sequence = 0;
};

/// An order to start a run. A repeated order has no further effect.
struct StartOrder {
  workload::TaskKey task;
  std::uint32_t run = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  /// Time of the worker's clock until which it may run what it holds.
  std::int64_t lease_until_worker_ms = 0;
  std::uint64_t fence = 0;
  WorkerId worker;
};

/// An order to stop a run; later starts of that run and of earlier ones are
/// refused by the worker.
struct StopOrder {
  workload::TaskKey task;
  std::uint32_t run = 0;
  std::uint64_t fence = 0;
  WorkerId worker;
};

/// An order to let a run work at a share of its speed, from 0 to 100 percent.
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
  /// The worker has seen a higher fence.
  kFenced,
  /// The run is not newer than one that ended or was stopped.
  kOutdated,
  /// The lease of the order is over already.
  kLeaseOver,
  kNoRoom,
  kTicketRefused,
  kMalformed,
  /// The worker is not well and has done nothing.
  kUnhealthy,
  /// Another life of the worker answered.
  kOtherLife,
  /// No whole answer; the order may be carried out, even later.
  kNoAnswer,
  /// Nobody listens at the worker's address.
  kUnreachable,
};

constexpr auto NamesOf(OrderResult) {
  return MakeNameTable<OrderResult>({
      {OrderResult::kDone, "done"},
      {OrderResult::kFenced, "fenced"},
      {OrderResult::kOutdated, "outdated"},
      {OrderResult::kLeaseOver, "lease_over"},
      {OrderResult::kNoRoom, "no_room"},
      {OrderResult::kTicketRefused, "ticket_refused"},
      {OrderResult::kMalformed, "malformed"},
      {OrderResult::kUnhealthy, "unhealthy"},
      {OrderResult::kOtherLife, "other_life"},
      {OrderResult::kNoAnswer, "no_answer"},
      {OrderResult::kUnreachable, "unreachable"},
  });
}

/// A run as the worker lists it.
struct ListedRun {
  workload::TaskKey task;
  std::uint32_t run = 0;
  std::uint32_t percent = 0;
  std::string checkpoint;
  std::int64_t usage = 0;
};

/// An ended run as the worker lists it until it is acknowledged.
struct ListedEnd {
  std::uint64_t number = 0;
  workload::TaskKey task;
  std::uint32_t run = 0;
  workload::RunEnd end = workload::RunEnd::kStopped;
  std::string checkpoint;
};

/// Extends the leases, acknowledges ends and asks for the lists.
struct LeaseCall {
  std::uint64_t fence = 0;
  /// Ends up to this number may be forgotten.
  std::uint64_t acknowledged_end = 0;
  /// 0 leaves the leases as they are.
  std::int64_t lease_until_worker_ms = 0;
  /// The answer waits this long for an end.
  std::int64_t wait_ms = 0;
  WorkerId worker;
};

/// The worker's lists; they count with kDone only.
struct LeaseReply {
  OrderResult result = OrderResult::kDone;
  std::int64_t worker_clock_ms = 0;
  std::int64_t born_ms = 0;
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
};

/// Answer to a start; the clock is 0 when the answer names none.
struct StartReply {
  OrderResult result = OrderResult::kDone;
  std::int64_t worker_clock_ms = 0;
};

/// The worker beside an agent. Callbacks run on the agent's task.
template <typename T>
concept WorkerPort = requires(T& port,
                              StartOrder start,
                              StopOrder stop,
                              PaceOrder pace,
                              LeaseCall lease,
                              Instant deadline,
                              std::function<void(StartReply)> started,
                              std::function<void(OrderResult)> stopped,
                              std::function<void(LeaseReply)> held) {
  port.Start(start, deadline, started);
  port.Stop(stop, deadline, stopped);
  port.Pace(pace, deadline, stopped);
  port.Hold(lease, deadline, held);
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_WORKER_PORT_H_
