#ifndef PACKAGES_WORKER_AGENT_WORKER_CLOCK_H_
#define PACKAGES_WORKER_AGENT_WORKER_CLOCK_H_

#include <cstdint>
#include <optional>

#include "packages/core/time.h"

namespace carobrill::worker_agent {

/// The worker's clock, as far as its answers tell.
class WorkerClock {
 public:
  /// Forgets the clock, for another process of the worker.
  void Reset() { this->offset_ms.reset(); }

  /// Handles an answer; `worker_ms` is 0 if it contains no time.
  void Update(std::int64_t worker_ms) {
    if (worker_ms != 0) {
      // The worker read its clock before the answer was transmitted, so the
      // offset is never too large.
      this->offset_ms = worker_ms - BootClock{}.Now().ms;
    }
  }

  /// Returns the time on the worker's clock until which leases may last, in ms;
  /// 0 for none. `limit` is the same on the boot clock.
  std::int64_t LeaseUntil(Instant limit) const {
    if (!this->offset_ms.has_value() || limit <= BootClock{}.Now()) {
      return 0;
    }
    return limit.ms + *this->offset_ms;
  }

 private:
  /// Worker clock minus boot clock, in ms.
  std::optional<std::int64_t> offset_ms;
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_WORKER_CLOCK_H_
