#ifndef PACKAGES_WORKLOAD_URGENT_HEADROOM_H_
#define PACKAGES_WORKLOAD_URGENT_HEADROOM_H_

#include <map>

#include "packages/core/ids.h"
#include "packages/core/time.h"

namespace carobrill::workload {

/// Decides how much of a service's capacity is held free of other work for
/// urgent jobs (priority 0), so that these start without preempting others.
/// Answers loads in which urgent jobs keep arriving while other jobs would fill
/// all workers. All shares are fractions of the service's capacity, 0 to 1.
class UrgentHeadroom {
 public:
  /// Records the share that urgent jobs use or wait for at `now` (boot clock).
  void Observe(const ServiceId& service, double share, Instant now);

  /// Returns the share to hold for urgent jobs, including what they use.
  double ShareFor(const ServiceId& service) const;

  /// True if a job that is not urgent may use what is held, because it has
  /// waited since `waiting_since` although little of the capacity is in use.
  static bool Admits(double used_share, Instant waiting_since, Instant now);

 private:
  struct Demand {
    /// Recent peak, which decreases while the demand is lower.
    double peak = 0;
    Instant observed_at;
  };

  std::map<ServiceId, Demand> demands;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_URGENT_HEADROOM_H_
