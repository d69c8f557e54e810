#ifndef PACKAGES_REQUESTS_TIMER_QUEUE_H_
#define PACKAGES_REQUESTS_TIMER_QUEUE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <set>

#include "packages/core/time.h"

namespace carobrill::requests {

/// What a timer of the dispatcher is for.
enum class TimerKind { kCallDeadline, kHedge, kOverrun, kNoEndpoint };

/// A deadline and what it concerns (a call, an attempt's number or a work).
struct Timer {
  Instant at;
  TimerKind kind = TimerKind::kCallDeadline;
  std::uint64_t id = 0;

  auto operator<=>(const Timer&) const = default;
};

/// Deadlines in order of time.
class TimerQueue {
 public:
  void Add(const Timer& timer) { this->timers.insert(timer); }
  void Remove(const Timer& timer) { this->timers.erase(timer); }

  /// Takes the first timer that is due at `now`, if any.
  std::optional<Timer> TakeDue(Instant now);

  /// When the first timer is due.
  Instant NextDueAt() const;

 private:
  std::set<Timer> timers;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_TIMER_QUEUE_H_
