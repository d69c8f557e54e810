#ifndef PACKAGES_REQUESTS_SERVICE_RATE_H_
#define PACKAGES_REQUESTS_SERVICE_RATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "packages/core/time.h"

namespace carobrill::requests {

/// Measured service rate of a queue, sampled only while requests are waiting.
class ServiceRate {
 public:
  /// A request left the queue to be served; `backlog` is true if others remain.
  void OnDeparture(Instant now, bool backlog);

  /// The queue became empty other than by a departure.
  void OnEmpty() { this->backlogged = false; }

  /// True when there are enough samples.
  bool HasEstimate() const;

  /// Estimated time for `count` departures; nothing until there are enough
  /// samples.
  std::optional<std::int64_t> EstimateMs(std::size_t count, Instant now) const;

 private:
  Instant last_departure;
  bool backlogged = false;
  std::uint32_t samples = 0;
  /// Mean time between departures in microseconds.
  std::int64_t interval_us = 0;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_SERVICE_RATE_H_
