#ifndef PACKAGES_DAEMON_API_METRICS_H_
#define PACKAGES_DAEMON_API_METRICS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "packages/core/metrics.h"
#include "packages/daemon/api_route.h"

namespace carobrill::daemon {

/// Metrics of the HTTP API. Caches each metric after its first look-up, so that
/// responses don't contend for the registry lock.
class ApiMetrics {
 public:
  /// `registry` must outlive this object.
  explicit ApiMetrics(MetricsRegistry& registry);

  /// Records the status and duration of a response. Thread-safe.
  void RecordResponse(ApiRoute route, int status, std::int64_t elapsed_ms);

 private:
  static constexpr std::size_t kRouteCount = NamesOf(ApiRoute{}).entries.size();
  static constexpr int kFirstStatus = 200;
  static constexpr int kLastStatus = 599;
  static constexpr std::size_t kStatusCount = kLastStatus - kFirstStatus + 1;

  struct RouteMetrics {
    std::atomic<Histogram*> duration = nullptr;
    std::array<std::atomic<Counter*>, kStatusCount> responses{};
  };

  MetricsRegistry& registry;
  std::array<RouteMetrics, kRouteCount> routes;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_API_METRICS_H_
