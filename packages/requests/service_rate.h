#ifndef PACKAGES_REQUESTS_SERVICE_RATE_H_
#define PACKAGES_REQUESTS_SERVICE_RATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "packages/core/time.h"

namespace carobrill::requests {

/// Rate at which a queue that is never empty is served, as measured.
class ServiceRate {
 public:
  /// One piece of work left the queue; `backlog` tells whether others remain.
  void OnDeparture(Instant now, bool backlog);

  /// The queue became empty otherwise.
  void OnEmpty() { this->backlogged = false; }

  /// True when there are enough samples.
  bool HasEstimate() const;

  /// How long `count` departures take, or nothing while there is no sample.
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
