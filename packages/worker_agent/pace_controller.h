#ifndef PACKAGES_WORKER_AGENT_PACE_CONTROLLER_H_
#define PACKAGES_WORKER_AGENT_PACE_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "packages/core/time.h"
#include "packages/worker_agent/run_table.h"

namespace carobrill::worker_agent {

/// Settings for throttling filler tasks.
struct PaceSettings {
  /// Minimum time between two changes, in ms. The worker applies a change
  /// within 0.1 s, and the tail latency that it reports covers the last half
  /// second.
  std::int64_t interval_ms = 650;
  /// Tail latency, in percent of its target, above which fillers are slowed
  /// down.
  std::int64_t high_percent = 90;
  /// Tail latency, in percent of its target, below which fillers are sped up.
  std::int64_t low_percent = 70;
  /// While the latency exceeds its target, each change reduces the rate to this
  /// percentage of its value. Three changes, 2 s, almost stop the fillers; the
  /// target may be exceeded for 4 s.
  std::uint32_t slow_down_percent = 30;
  /// Step of a gradual change, in percentage points of the full rate: each
  /// speed-up, and each slow-down while the latency is still below its target.
  std::uint32_t step_percent = 15;
};

/// A change of the rate at which a filler task runs.
struct PaceChange {
  workload::TaskKey task;
  std::uint32_t run = 0;
  std::uint32_t percent = 0;
};

/// Chooses the rate, in percent, at which the filler tasks of a worker run, so
/// that the tail latency of the serving tasks on the same worker stays below
/// its target. Slows down multiplicatively while the target is exceeded and
/// speeds up in small steps. Performs no I/O.
class PaceController {
 public:
  explicit PaceController(PaceSettings settings) : settings(settings) {}

  /// Clears all state for a new incarnation of the worker.
  void Reset();

  /// Processes the worker's list of runs and returns the orders to send. Each
  /// order counts as sent until OnFailure is called for it.
  std::vector<PaceChange> Update(const std::vector<ListedRun>& running,
                                 const RunTable& runs,
                                 Instant now);

  /// Marks a failed order, so that it is sent again.
  void OnFailure(const RunKey& run);

  /// Rate at which fillers should run.
  std::uint32_t Percent() const { return this->percent; }

 private:
  void Adjust(std::int64_t worst_percent, Instant now);

  PaceSettings settings;
  std::uint32_t percent = kFullPercent;
  Instant next_change_at;
  /// Rates last sent to the worker. A task starts at the full rate.
  std::map<RunKey, std::uint32_t> sent_percent;

  static constexpr std::uint32_t kFullPercent = 100;
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_PACE_CONTROLLER_H_
