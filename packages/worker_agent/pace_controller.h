#ifndef PACKAGES_WORKER_AGENT_PACE_CONTROLLER_H_
#define PACKAGES_WORKER_AGENT_PACE_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "packages/core/time.h"
#include "packages/worker_agent/run_table.h"

namespace carobrill::worker_agent {

/// Settings of the pace of filler tasks.
struct PaceSettings {
  /// Time between two changes, in ms: the worker applies a pace after 0.1 s,
  /// and the tail latency that it shows covers the last half second.
  std::int64_t interval_ms = 650;
  /// Tail latency, in percent of its target, above which fillers slow down.
  std::int64_t high_percent = 90;
  /// Tail latency, in percent of its target, below which they speed up again.
  std::int64_t low_percent = 70;
  /// A pace above the target is multiplied by this many percent, so that three
  /// changes, 2 s, nearly stop the fillers; a target may be missed for 4 s.
  std::uint32_t slow_down_percent = 30;
  /// Share that is given back at a time, in percent of the full pace.
  std::uint32_t speed_up_percent = 15;
};

/// A change of the share at which a filler task works.
struct PaceChange {
  workload::TaskKey task;
  std::uint32_t run = 0;
  std::uint32_t percent = 0;
};

/// Chooses the share, in percent, at which the filler tasks of a worker work,
/// so that the tail latency of the serving tasks beside them stays below its
/// target. Slows down in proportion and speeds up in small steps. Pure.
class PaceController {
 public:
  explicit PaceController(PaceSettings settings) : settings(settings) {}

  /// Forgets everything: another life of the worker.
  void Reset();

  /// Notes what the worker lists, and returns the orders that are due; each
  /// counts as sent until it fails.
  std::vector<PaceChange> Update(const std::vector<ListedRun>& running,
                                 const RunTable& runs,
                                 Instant now);

  /// An order did not succeed, so it is due again.
  void OnFailure(const RunKey& run);

  /// Share at which fillers are to work.
  std::uint32_t Percent() const { return this->percent; }

 private:
  void Adjust(std::int64_t worst_percent, Instant now);

  PaceSettings settings;
  std::uint32_t percent = kFullPace;
  Instant next_change;
  /// Shares that the worker has been told; a task starts at the full one.
  std::map<RunKey, std::uint32_t> told;

  static constexpr std::uint32_t kFullPace = 100;
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_PACE_CONTROLLER_H_
