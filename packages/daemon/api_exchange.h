#ifndef PACKAGES_DAEMON_API_EXCHANGE_H_
#define PACKAGES_DAEMON_API_EXCHANGE_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "packages/core/time.h"
#include "packages/daemon/api_metrics.h"
#include "packages/daemon/api_route.h"
#include "packages/daemon/api_types.h"
#include "packages/http/http_types.h"

namespace carobrill::daemon {

/// Counts exchanges in progress and tracks whether the API is draining.
/// Thread-safe.
class DrainTracker {
 public:
  /// Registers a new exchange.
  void BeginExchange();

  /// Unregisters an exchange. While draining, the last one runs the drain
  /// callback.
  void EndExchange();

  /// Starts draining. `drained` is called once, as soon as no exchange is in
  /// progress.
  void BeginDrain(std::function<void()> drained);

  /// Returns true after BeginDrain().
  bool Draining() const { return this->draining.load(); }

  /// Number of exchanges that have no response yet.
  std::size_t InProgress() const;

 private:
  std::function<void()> TakeCallbackIfDrained();

  std::atomic<bool> draining = false;
  mutable std::mutex mutex;
  std::size_t in_progress = 0;
  std::function<void()> drained;
};

/// One API call from arrival to response. Sends exactly one response: further
/// responses are discarded, and an exchange that is destroyed without a
/// response sends the error `internal`.
class ApiExchange {
 public:
  ApiExchange(http::HttpResponder respond,
              std::shared_ptr<DrainTracker> drain_tracker,
              std::shared_ptr<ApiMetrics> metrics,
              ApiRoute route,
              std::string client_request_id);
  ~ApiExchange();

  ApiExchange(const ApiExchange&) = delete;
  ApiExchange& operator=(const ApiExchange&) = delete;

  /// Sends `response` unless a response was sent before.
  void Send(http::HttpResponse response);

  /// Sends `problem` as an error response unless a response was sent before.
  void Send(const Problem& problem);

 private:
  http::HttpResponder respond;
  std::shared_ptr<DrainTracker> drain_tracker;
  std::shared_ptr<ApiMetrics> metrics;
  ApiRoute route;
  std::string client_request_id;
  Instant started_at;
  std::atomic<bool> responded = false;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_API_EXCHANGE_H_
