#ifndef PACKAGES_AGENT_AGING_CLOCK_H_
#define PACKAGES_AGENT_AGING_CLOCK_H_

#include <algorithm>
#include <cstdint>

#include "packages/core/time.h"

namespace carobrill::agent {

/// Time for forgetting: it advances at most one second per reading. A process
/// that was frozen may still find old messages in its sockets when it resumes,
/// so what it remembers must not have aged in the meantime.
class AgingClock {
 public:
  /// The aged time at `now` of the boot clock.
  Instant Advance(Instant now) {
    const auto passed =
        std::clamp<std::int64_t>(now.ms - this->seen.ms, 0, kLongestStepMs);
    this->seen = std::max(this->seen, now);
    this->aged = this->aged.After(passed);
    return this->aged;
  }

 private:
  static constexpr std::int64_t kLongestStepMs = 1'000;

  Instant seen;
  Instant aged;
};

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_AGING_CLOCK_H_
