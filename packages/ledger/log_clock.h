#ifndef PACKAGES_LEDGER_LOG_CLOCK_H_
#define PACKAGES_LEDGER_LOG_CLOCK_H_

#include <optional>

#include "packages/core/time.h"

namespace carobrill::ledger {

/// Estimates the log's present time from append times and the boot clock.
class LogClock {
 public:
  /// Takes the append time of a record that was read at `now`.
  void Observe(Instant appended_at, Instant now) {
    if (!this->seen_at.has_value() || appended_at > this->Estimate(now)) {
      this->last_append = appended_at;
      this->seen_at = now;
    }
  }

  /// The last append time plus the time that has passed since. Never higher
  /// than the log's own time while clocks run equally fast; 0 before the first
  /// record.
  Instant Estimate(Instant now) const {
    if (!this->seen_at.has_value()) {
      return Instant{};
    }
    return this->last_append.After(now.RemainingMs(*this->seen_at));
  }

 private:
  Instant last_append;
  std::optional<Instant> seen_at;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_LOG_CLOCK_H_
