#include "packages/requests/service_rate.h"

#include <algorithm>

namespace carobrill::requests {
namespace {

// The mean covers about 32 departures, four rounds of the 8 slots of an
// endpoint, so that it follows a change of demand within a second.
constexpr std::int64_t kMeanWindow = 32;
constexpr std::uint32_t kMinSamples = 16;
constexpr std::int64_t kMicrosPerMs = 1'000;

}  // namespace

void ServiceRate::OnDeparture(Instant now, bool backlog) {
  if (this->backlogged) {
    const std::int64_t gap_us =
        now.RemainingMs(this->last_departure) * kMicrosPerMs;
    ++this->samples;
    const auto weight = std::min<std::int64_t>(kMeanWindow, this->samples);
    this->interval_us += (gap_us - this->interval_us) / weight;
  }
  this->last_departure = now;
  this->backlogged = backlog;
}

bool ServiceRate::HasEstimate() const {
  return this->samples >= kMinSamples;
}

std::optional<std::int64_t> ServiceRate::EstimateMs(std::size_t count,
                                                    Instant now) const {
  if (!this->HasEstimate()) {
    return std::nullopt;
  }
  std::int64_t interval = this->interval_us;
  if (this->backlogged) {
    // A stalled queue has no departures, so the time since the last one counts.
    const std::int64_t gap_us =
        now.RemainingMs(this->last_departure) * kMicrosPerMs;
    interval = std::max(interval, gap_us / kMeanWindow);
  }
  return static_cast<std::int64_t>(count) * interval / kMicrosPerMs;
}

}  // namespace carobrill::requests
