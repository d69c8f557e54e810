#ifndef PACKAGES_LEDGER_LOG_CLOCK_H_
#define PACKAGES_LEDGER_LOG_CLOCK_H_

#include <optional>

#include "packages/core/time.h"

namespace carobrill::ledger {

/// Estimates the current time of the log service's clock from append times and
/// the local boot clock.
class LogClock {
 public:
  /// Updates the estimate with the append time of a record read at `now`.
  void Observe(Instant appended_at, Instant now) {
    if (!this->observed_at.has_value() || appended_at > this->Estimate(now)) {
      this->last_append = appended_at;
      this->observed_at = now;
    }
  }

  /// Returns the latest append time plus the time elapsed since it was read.
  /// Never ahead of the log's clock as long as both clocks run at the same
  /// rate; 0 before the first record.
  Instant Estimate(Instant now) const {
    if (!this->observed_at.has_value()) {
      return Instant{};
    }
    return this->last_append.After(now.RemainingMs(*this->observed_at));
  }

 private:
  Instant last_append;
  std::optional<Instant> observed_at;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_LOG_CLOCK_H_
