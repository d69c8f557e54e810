#ifndef PACKAGES_CORE_TIME_H_
#define PACKAGES_CORE_TIME_H_

#include <algorithm>
#include <compare>
#include <concepts>
#include <cstdint>
#include <limits>

namespace carobrill {

/// A point in time in milliseconds of one clock. State stores deadlines as
/// instants; durations exist only in settings and on the wire.
struct Instant {
  std::int64_t ms = 0;

  auto operator<=>(const Instant&) const = default;

  /// The instant `duration_ms` later.
  constexpr Instant After(std::int64_t duration_ms) const {
    return Instant{this->ms + duration_ms};
  }

  /// Milliseconds from `now` to this instant, never below zero.
  constexpr std::int64_t RemainingMs(Instant now) const {
    return std::max<std::int64_t>(0, this->ms - now.ms);
  }

  /// An instant that is never reached.
  static constexpr Instant Never() {
    return Instant{std::numeric_limits<std::int64_t>::max() / 2};
  }
};

/// A source of the current time.
template <typename T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<Instant>;
};

/// Time since boot, which goes on while the process or machine is suspended.
struct BootClock {
  Instant Now() const;
};

/// Time of day; compared only with times of the same kind, never for leases.
struct WallClock {
  Instant Now() const;
};

/// A clock that tests set.
struct ManualClock {
  Instant now;
  Instant Now() const { return this->now; }
};

/// Wall-clock time in microseconds, which names a process incarnation.
std::uint64_t WallClockMicros();

}  // namespace carobrill

#endif  // PACKAGES_CORE_TIME_H_
