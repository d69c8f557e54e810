#ifndef PACKAGES_WORKER_AGENT_LEASE_AUTHORITY_H_
#define PACKAGES_WORKER_AGENT_LEASE_AUTHORITY_H_

#include <cstdint>

#include "packages/core/ids.h"
#include "packages/core/time.h"

namespace carobrill::worker_agent {

/// The planner's permission to renew the worker's leases.
class LeaseAuthority {
 public:
  /// Extends the permission to `until` (boot clock); never shortens it.
  /// `epoch` is that of the planner, for the log.
  void Extend(Instant until, std::uint64_t epoch);

  /// Logs once when the permission has ended.
  void LogEnd(const WorkerId& worker);

  /// Boot clock.
  Instant Until() const { return this->until; }
  bool Valid() const;

 private:
  Instant until;
  /// Whether the permission was valid when it was last logged.
  bool logged_as_valid = false;
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_LEASE_AUTHORITY_H_
