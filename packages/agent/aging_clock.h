#ifndef PACKAGES_AGENT_AGING_CLOCK_H_
#define PACKAGES_AGENT_AGING_CLOCK_H_

#include <algorithm>
#include <cstdint>

#include "packages/core/time.h"

namespace carobrill::agent {

/// Clock for expiring remembered state. It advances by at most one second per
/// reading: a process that resumes after a freeze may still read old messages
/// from its sockets, so the state that detects them must not expire during the
/// freeze.
class AgingClock {
 public:
  /// Returns the time to compare with expiry times at boot clock time `now`.
  Instant Advance(Instant now) {
    const auto elapsed_ms =
        std::clamp<std::int64_t>(now.ms - this->last_reading.ms, 0, kMaxStepMs);
    this->last_reading = std::max(this->last_reading, now);
    this->expiry_now = this->expiry_now.After(elapsed_ms);
    return this->expiry_now;
  }

 private:
  static constexpr std::int64_t kMaxStepMs = 1'000;

  Instant last_reading;
  Instant expiry_now;
};

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_AGING_CLOCK_H_
