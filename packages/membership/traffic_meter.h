#ifndef PACKAGES_MEMBERSHIP_TRAFFIC_METER_H_
#define PACKAGES_MEMBERSHIP_TRAFFIC_METER_H_

#include <cstdint>

#include "packages/core/time.h"

namespace carobrill::membership {

/// Bytes of control traffic and their rate over the last seconds.
class TrafficMeter {
 public:
  /// Counts `bytes` at `now`.
  void Add(std::int64_t bytes, Instant now);

  /// All bytes counted.
  std::int64_t TotalBytes() const { return this->total; }

  /// Mean rate over the last complete window of 2 s.
  std::int64_t BytesPerSecond(Instant now) const;

 private:
  std::int64_t total = 0;
  std::int64_t window_bytes = 0;
  std::int64_t last_window_bytes = 0;
  std::int64_t window = 0;
};

/// Bytes that may be sent, refilled at a fixed rate up to a burst.
class TokenBucket {
 public:
  TokenBucket(std::int64_t bytes_per_s, std::int64_t burst_bytes);

  /// Bytes available at `now`; may be below zero after a large message.
  std::int64_t Available(Instant now);

  /// Takes `bytes`, which may exceed what is available.
  void Take(std::int64_t bytes, Instant now);

 private:
  std::int64_t bytes_per_s;
  std::int64_t burst_bytes;
  /// Thousandths of a byte, so that short intervals refill exactly.
  std::int64_t milli_bytes;
  Instant refilled_at;
};

}  // namespace carobrill::membership

#endif  // PACKAGES_MEMBERSHIP_TRAFFIC_METER_H_
