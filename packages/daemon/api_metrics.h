#ifndef PACKAGES_DAEMON_API_METRICS_H_
#define PACKAGES_DAEMON_API_METRICS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "packages/core/metrics.h"
#include "packages/daemon/api_route.h"

namespace carobrill::daemon {

/// The metrics of the HTTP API. Each is looked up in the registry once, so that
/// answers take no lock of it.
class ApiMetrics {
 public:
  /// `registry` must outlive this object.
  explicit ApiMetrics(MetricsRegistry& registry);

  /// Counts an answer. Safe from any thread.
  void CountAnswer(ApiRoute route, int status, std::int64_t elapsed_ms);

 private:
  static constexpr std::size_t kRoutes = NamesOf(ApiRoute{}).entries.size();
  static constexpr int kFirstStatus = 200;
  static constexpr int kLastStatus = 599;
  static constexpr std::size_t kStatuses = kLastStatus - kFirstStatus + 1;

  struct RouteMetrics {
    std::atomic<Histogram*> duration = nullptr;
    std::array<std::atomic<Counter*>, kStatuses> answers{};
  };

  MetricsRegistry& registry;
  std::array<RouteMetrics, kRoutes> routes;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_API_METRICS_H_
