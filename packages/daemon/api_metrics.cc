#include "packages/daemon/api_metrics.h"

#include <algorithm>
#include <string>

namespace carobrill::daemon {
namespace {

constexpr double kMsPerSecond = 1000.0;

/// Returns the cached pointer, or looks it up. Two threads may both look it up;
/// the registry gives them the same metric.
template <typename Metric, typename LookUp>
Metric& Cached(std::atomic<Metric*>& cache, LookUp&& look_up) {
  Metric* metric = cache.load(std::memory_order_acquire);
  if (metric == nullptr) {
    metric = &look_up();
    cache.store(metric, std::memory_order_release);
  }
  return *metric;
}

}  // namespace

ApiMetrics::ApiMetrics(MetricsRegistry& registry) : registry(registry) {}

void ApiMetrics::CountAnswer(ApiRoute route,
                             int status,
                             std::int64_t elapsed_ms) {
  RouteMetrics& metrics = this->routes.at(static_cast<std::size_t>(route));
  const std::string name(NameOf(route));
  const int known = std::clamp(status, kFirstStatus, kLastStatus);
  Cached(metrics.answers.at(static_cast<std::size_t>(known - kFirstStatus)),
         [&]() -> Counter& {
           return this->registry.GetCounter(
               "carobrill_http_requests_total",
               "HTTP requests answered, by route and status.",
               {{"route", name}, {"status", std::to_string(known)}});
         })
      .Increment();
  Cached(metrics.duration, [&]() -> Histogram& {
    return this->registry.GetHistogram(
        "carobrill_http_request_duration_seconds",
        "Time from arrival to answer of HTTP requests.", LatencyBounds(),
        {{"route", name}});
  }).Observe(static_cast<double>(elapsed_ms) / kMsPerSecond);
}

}  // namespace carobrill::daemon
