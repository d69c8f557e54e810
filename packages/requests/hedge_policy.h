#ifndef PACKAGES_REQUESTS_HEDGE_POLICY_H_
#define PACKAGES_REQUESTS_HEDGE_POLICY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "packages/core/ids.h"
#include "packages/requests/retry_budget.h"
#include "packages/requests/run_time_model.h"

namespace carobrill::requests {

/// Decides when an idempotent request that takes unusually long gets a second
/// attempt at another endpoint.
class HedgePolicy {
 public:
  HedgePolicy(bool enabled, std::uint32_t percent);

  /// Counts a request; hedges are limited to a percentage of requests.
  void OnRequest() { this->budget.OnRequest(); }

  /// Delay after the first attempt before a hedge may be sent; nothing if the
  /// request must not be hedged.
  std::optional<std::int64_t> DelayMs(const RunTimeModel& model,
                                      const ServiceId& service,
                                      const std::string& kind) const;

  /// Consumes budget for one hedge; returns false if there is none left.
  bool TryConsume() { return this->budget.TryConsume(); }

 private:
  bool enabled;
  RetryBudget budget;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_HEDGE_POLICY_H_
