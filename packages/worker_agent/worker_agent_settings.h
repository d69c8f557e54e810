#ifndef PACKAGES_WORKER_AGENT_WORKER_AGENT_SETTINGS_H_
#define PACKAGES_WORKER_AGENT_WORKER_AGENT_SETTINGS_H_

#include <cstdint>

#include "packages/core/ids.h"
#include "packages/worker_agent/pace_controller.h"
#include "packages/worker_agent/run_table.h"
#include "packages/worker_agent/worker_probe.h"

namespace carobrill::worker_agent {

/// Settings of an agent; times in ms.
struct WorkerAgentSettings {
  /// Instance that the agent is registered as.
  InstanceId instance;
  /// How long a request for the worker's lists waits for a run to end.
  std::int64_t list_wait_ms = 500;
  /// Delay before the lists are requested again while listed run ends have not
  /// been stored by the planner.
  std::int64_t ack_poll_delay_ms = 60;
  /// Timeout of a worker call beyond its wait. An order that is answered too
  /// late is repeated, which has no further effect.
  std::int64_t answer_timeout_ms = 400;
  std::int64_t retry_delay_ms = 150;
  /// Number of consecutive refused connections after which the worker's process
  /// is considered to have exited.
  std::uint32_t max_refused_connections = 2;
  /// A worker that has not returned its lists for this long is not named to the
  /// planner, so that its leases end. It must exceed the time of two requests
  /// for the lists.
  std::int64_t max_silence_ms = 3'000;
  /// Heartbeats that arrive out of order for longer than this are not late: the
  /// one that overtook them was odd.
  std::int64_t max_late_heartbeats_ms = 3'000;
  /// Age of the planner's latest orders from which starts wait for new ones, so
  /// that a start that the worker leaves unanswered is not repeated after the
  /// planner has withdrawn it; 0 for no limit.
  std::int64_t max_order_age_ms = 0;
  RunTableSettings runs;
  PaceSettings pace;
  WorkerProbeSettings probe;
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_WORKER_AGENT_SETTINGS_H_
