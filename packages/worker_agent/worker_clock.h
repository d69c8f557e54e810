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
      this->measured_at = BootClock{}.Now();
      this->offset_ms = worker_ms - this->measured_at.ms;
    }
  }

  /// Returns the time on the worker's clock until which leases may last, in ms;
  /// 0 for none. `limit` is the same on the boot clock.
  std::int64_t LeaseUntil(Instant limit) const {
    const Instant now = BootClock{}.Now();
    if (!this->offset_ms.has_value() || limit <= now) {
      return 0;
    }
    // A slow clock has fallen behind since the last answer, so a lease by the
    // old offset would outlast the limit.
    constexpr std::int64_t kPercent = 100;
    const std::int64_t age_ms = now.ms - this->measured_at.ms;
    const std::int64_t drift_ms =
        (age_ms * kMaxSlownessPercent + kPercent - 1) / kPercent;
    return limit.ms + *this->offset_ms - drift_ms;
  }

 private:
  /// How much slower than the boot clock the worker's clock may run.
  static constexpr std::int64_t kMaxSlownessPercent = 2;

  /// Worker clock minus boot clock when it was measured, in ms.
  std::optional<std::int64_t> offset_ms;
  /// Boot clock.
  Instant measured_at;
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_WORKER_CLOCK_H_
