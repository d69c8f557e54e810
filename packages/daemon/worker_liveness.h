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

/// Time limits for taking workers for lost.
struct LivenessSettings {
  RegionId own_region;
  /// Silence after which a worker is lost while its region can be heard.
  std::int64_t silent_ms = 2'000;
  /// The same while nothing in its region is heard, or while this entry hears
  /// next to nothing at all.
  std::int64_t partition_ms = 600'000;
};

/// Judges which registered workers are lost. Silence of a whole region, or of
/// nearly everything, is more likely a partition than a mass failure, and work
/// on the other side goes on; such workers are given more time.
class WorkerLiveness {
 public:
  explicit WorkerLiveness(const LivenessSettings& settings)
      : settings(settings) {}

  /// Workers of `registered` that are lost at `now`. `heard` is what the
  /// directory knows, `entries` the entries with their liveness.
  std::set<WorkerId> Lost(
      const std::map<WorkerId, scheduling::Worker>& registered,
      const WorkerMap& heard,
      const std::vector<membership::KnownEntry>& entries,
      Instant now);

  /// Starts to count the silence of every worker anew.
  void Reset() { this->silent_since.clear(); }

 private:
  bool InPartition(const RegionId& region,
                   const std::set<RegionId>& audible,
                   bool isolated) const;

  LivenessSettings settings;
  std::map<WorkerId, Instant> silent_since;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_WORKER_LIVENESS_H_
