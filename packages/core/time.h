#ifndef PACKAGES_CORE_TIME_H_
#define PACKAGES_CORE_TIME_H_

#include <algorithm>
#include <compare>
#include <concepts>
#include <cstdint>
#include <limits>

namespace carobrill {

/// A point in time of one clock, in milliseconds. State holds deadlines as
/// instants; durations appear only in settings and on the wire.
struct Instant {
  std::int64_t ms = 0;

  auto operator<=>(const Instant&) const = default;

  /// Returns the instant `duration_ms` later.
  constexpr Instant After(std::int64_t duration_ms) const {
    return Instant{this->ms + duration_ms};
  }

  /// Returns the milliseconds from `now` to this instant, at least zero.
  constexpr std::int64_t RemainingMs(Instant now) const {
    return std::max<std::int64_t>(0, this->ms - now.ms);
  }

  /// Returns an instant that is never reached.
  static constexpr Instant Never() {
    return Instant{std::numeric_limits<std::int64_t>::max() / 2};
  }
};

/// A source of the current time.
template <typename T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<Instant>;
};

/// Time since boot, which advances also while the process or the machine is
/// suspended.
struct BootClock {
  Instant Now() const;
};

/// Time of day. Compare it only with other wall-clock times, and never use it
/// for leases.
struct WallClock {
  Instant Now() const;
};

/// A clock that is set by tests.
struct ManualClock {
  Instant now;
  Instant Now() const { return this->now; }
};

/// Returns the wall-clock time in microseconds, which is used as the
/// incarnation of a process.
std::uint64_t WallClockMicros();

}  // namespace carobrill

#endif  // PACKAGES_CORE_TIME_H_
