#include "packages/membership/traffic_meter.h"

#include <algorithm>

namespace carobrill::membership {
namespace {

constexpr std::int64_t kWindowMs = 2'000;
constexpr std::int64_t kMsPerSecond = 1'000;

}  // namespace

void TrafficMeter::Add(std::int64_t bytes, Instant now) {
  this->total += bytes;
  const std::int64_t current = now.ms / kWindowMs;
  if (current != this->window_index) {
    this->previous_window_bytes =
        current == this->window_index + 1 ? this->window_bytes : 0;
    this->window_bytes = 0;
    this->window_index = current;
  }
  this->window_bytes += bytes;
}

std::int64_t TrafficMeter::BytesPerSecond(Instant now) const {
  const std::int64_t current = now.ms / kWindowMs;
  if (current == this->window_index) {
    return this->previous_window_bytes * kMsPerSecond / kWindowMs;
  }
  if (current == this->window_index + 1) {
    return this->window_bytes * kMsPerSecond / kWindowMs;
  }
  return 0;
}

TokenBucket::TokenBucket(std::int64_t bytes_per_s, std::int64_t burst_bytes)
    : bytes_per_s(bytes_per_s),
      burst_bytes(burst_bytes),
      milli_bytes(burst_bytes * kMsPerSecond) {}

std::int64_t TokenBucket::Available(Instant now) {
  // Bytes per second equal thousandths of a byte per millisecond.
  this->milli_bytes =
      std::min(this->burst_bytes * kMsPerSecond,
               this->milli_bytes +
                   now.RemainingMs(this->refilled_at) * this->bytes_per_s);
  this->refilled_at = std::max(this->refilled_at, now);
  return this->milli_bytes / kMsPerSecond;
}

void TokenBucket::Take(std::int64_t bytes, Instant now) {
  this->Available(now);
  this->milli_bytes -= bytes * kMsPerSecond;
}

}  // namespace carobrill::membership
