#ifndef PACKAGES_DAEMON_WORKER_LIVENESS_H_
#define PACKAGES_DAEMON_WORKER_LIVENESS_H_

#include <map>
#include <set>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/time.h"
#include "packages/daemon/gang_coordinator.h"
#include "packages/membership/directory.h"
#include "packages/scheduling/worker.h"

namespace carobrill::daemon {

/// Timeouts for declaring workers lost.
struct LivenessSettings {
  RegionId own_region;
  /// Time without announcements after which a worker is lost while its region
  /// is reachable.
  std::int64_t silence_timeout_ms = 2'000;
  /// The same while nothing in its region is reachable, or while this entry
  /// reaches no other entry and most workers are silent.
  std::int64_t partition_timeout_ms = 600'000;
};

/// Decides which registered workers are lost. If a whole region or most of the
/// cluster is silent, a network partition is more likely than a mass failure,
/// and the work on the other side continues. A longer timeout applies then.
class WorkerLiveness {
 public:
  explicit WorkerLiveness(const LivenessSettings& settings)
      : settings(settings) {}

  /// Returns the workers of `registered` that are lost at `now`.
  /// `known_workers` and `entries` are the workers and entries in the
  /// directory, with their liveness.
  std::set<WorkerId> FindLost(
      const std::map<WorkerId, scheduling::Worker>& registered,
      const WorkerMap& known_workers,
      const std::vector<membership::KnownEntry>& entries,
      Instant now);

  /// Restarts the timeout of every worker.
  void Reset() { this->silent_since.clear(); }

 private:
  bool InPartition(const RegionId& region,
                   const std::set<RegionId>& reachable_regions,
                   bool isolated) const;

  LivenessSettings settings;
  std::map<WorkerId, Instant> silent_since;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_WORKER_LIVENESS_H_
