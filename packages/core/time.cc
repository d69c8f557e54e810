#include "packages/core/time.h"

#include <time.h>

namespace carobrill {
namespace {

constexpr std::int64_t kMsPerSecond = 1000;
constexpr std::int64_t kNsPerMs = 1000 * 1000;
constexpr std::uint64_t kMicrosPerSecond = 1000 * 1000;
constexpr std::uint64_t kNsPerMicro = 1000;

Instant Read(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return Instant{now.tv_sec * kMsPerSecond + now.tv_nsec / kNsPerMs};
}

}  // namespace

// CLOCK_MONOTONIC stops while the machine is suspended, so a lease measured
// with it would be held for too long after a resume.
Instant BootClock::Now() const {
  return Read(CLOCK_BOOTTIME);
}

Instant WallClock::Now() const {
  return Read(CLOCK_REALTIME);
}

std::uint64_t WallClockMicros() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return static_cast<std::uint64_t>(now.tv_sec) * kMicrosPerSecond +
         static_cast<std::uint64_t>(now.tv_nsec) / kNsPerMicro;
}

}  // namespace carobrill
