#ifndef PACKAGES_MEMBERSHIP_TRAFFIC_METER_H_
#define PACKAGES_MEMBERSHIP_TRAFFIC_METER_H_

#include <cstdint>

#include "packages/core/time.h"

namespace carobrill::membership {

/// Counts bytes of control traffic and measures their rate over a short window.
class TrafficMeter {
 public:
  void Add(std::int64_t bytes, Instant now);

  std::int64_t TotalBytes() const { return this->total; }

  /// Mean rate over the last complete window of 2 s.
  std::int64_t BytesPerSecond(Instant now) const;

 private:
  std::int64_t total = 0;
  std::int64_t window_bytes = 0;
  std::int64_t previous_window_bytes = 0;
  std::int64_t window_index = 0;
};

/// Token bucket in bytes, refilled at a fixed rate up to a burst size.
class TokenBucket {
 public:
  TokenBucket(std::int64_t bytes_per_s, std::int64_t burst_bytes);

  /// Bytes available at `now`; negative after `Take` has exceeded the balance.
  std::int64_t Available(Instant now);

  /// Consumes `bytes`, which may exceed the available amount.
  void Take(std::int64_t bytes, Instant now);

 private:
  std::int64_t bytes_per_s;
  std::int64_t burst_bytes;
  /// In thousandths of a byte so that short intervals are refilled without
  /// rounding.
  std::int64_t milli_bytes;
  Instant refilled_at;
};

}  // namespace carobrill::membership

#endif  // PACKAGES_MEMBERSHIP_TRAFFIC_METER_H_
