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

/// Counts exchanges in progress and refuses work while draining. Safe from any
/// thread.
class DrainGate {
 public:
  /// Takes in one exchange.
  void Enter();

  /// Ends one exchange; runs the drain callback after the last one.
  void Leave();

  /// Refuses new work from now on; `drained` runs once, as soon as no exchange
  /// is in progress.
  void BeginDrain(std::function<void()> drained);

  /// True after BeginDrain().
  bool Draining() const { return this->draining.load(); }

  /// Exchanges that have no answer yet.
  std::size_t InProgress() const;

 private:
  std::function<void()> TakeCallbackIfIdle();

  std::atomic<bool> draining = false;
  mutable std::mutex mutex;
  std::size_t in_progress = 0;
  std::function<void()> drained;
};

/// One call of the API from arrival to answer. It is answered exactly once: a
/// second answer is dropped, and an exchange that is dropped without an answer
/// gets the error `internal`.
class ApiExchange {
 public:
  ApiExchange(http::HttpResponder respond,
              std::shared_ptr<DrainGate> gate,
              std::shared_ptr<ApiMetrics> metrics,
              ApiRoute route,
              std::string caller_id);
  ~ApiExchange();

  ApiExchange(const ApiExchange&) = delete;
  ApiExchange& operator=(const ApiExchange&) = delete;

  /// Sends the answer to this exchange's caller.
  void Send(http::HttpResponse response);

  /// Sends `problem` to this exchange's caller.
  void Send(const Problem& problem);

 private:
  http::HttpResponder respond;
  std::shared_ptr<DrainGate> gate;
  std::shared_ptr<ApiMetrics> metrics;
  ApiRoute route;
  std::string caller_id;
  Instant started;
  std::atomic<bool> answered = false;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_API_EXCHANGE_H_
