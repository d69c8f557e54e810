#include "packages/daemon/api_metrics.h"

#include <algorithm>
#include <string>

namespace carobrill::daemon {
namespace {

constexpr double kMsPerSecond = 1000.0;

/// Returns the cached metric, or looks it up and caches it. Concurrent look-ups
/// are harmless, since the registry returns the same metric to each.
template <typename Metric, typename LookUp>
Metric& GetCached(std::atomic<Metric*>& cache, LookUp&& look_up) {
  Metric* metric = cache.load(std::memory_order_acquire);
  if (metric == nullptr) {
    metric = &look_up();
    cache.store(metric, std::memory_order_release);
  }
  return *metric;
}

}  // namespace

ApiMetrics::ApiMetrics(MetricsRegistry& registry) : registry(registry) {}

void ApiMetrics::RecordResponse(ApiRoute route,
                                int status,
                                std::int64_t elapsed_ms) {
  RouteMetrics& metrics = this->routes.at(static_cast<std::size_t>(route));
  const std::string name(NameOf(route));
  const int clamped_status = std::clamp(status, kFirstStatus, kLastStatus);
  GetCached(
      metrics.responses.at(
          static_cast<std::size_t>(clamped_status - kFirstStatus)),
      [&]() -> Counter& {
        return this->registry.GetCounter(
            "carobrill_http_requests_total",
            "HTTP requests answered, by route and status.",
            {{"route", name}, {"status", std::to_string(clamped_status)}});
      })
      .Increment();
  GetCached(metrics.duration, [&]() -> Histogram& {
    return this->registry.GetHistogram(
        "carobrill_http_request_duration_seconds",
        "Time from arrival to answer of HTTP requests.", LatencyBounds(),
        {{"route", name}});
  }).Observe(static_cast<double>(elapsed_ms) / kMsPerSecond);
}

}  // namespace carobrill::daemon
