#ifndef PACKAGES_REQUESTS_TIMER_QUEUE_H_
#define PACKAGES_REQUESTS_TIMER_QUEUE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <set>

#include "packages/core/time.h"

namespace carobrill::requests {

/// Purpose of a timer.
enum class TimerKind { kCallDeadline, kHedge, kOverrun, kNoEndpoint };

/// When a timer fires and what it concerns: a call, the number of an attempt or
/// a pending request.
struct Timer {
  Instant at;
  TimerKind kind = TimerKind::kCallDeadline;
  std::uint64_t id = 0;

  auto operator<=>(const Timer&) const = default;
};

/// Timers ordered by time.
class TimerQueue {
 public:
  void Add(const Timer& timer) { this->timers.insert(timer); }
  void Remove(const Timer& timer) { this->timers.erase(timer); }

  /// Removes and returns the first timer that is due at `now`, if any.
  std::optional<Timer> TakeDue(Instant now);

  /// When the first timer is due; Never if there is none.
  Instant NextDueAt() const;

 private:
  std::set<Timer> timers;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_TIMER_QUEUE_H_
