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
/// attempt elsewhere.
class HedgePolicy {
 public:
  HedgePolicy(bool enabled, std::uint32_t percent);

  /// A request came in; hedges are limited to a percentage of them.
  void OnRequest() { this->budget.OnRequest(); }

  /// How long after the first attempt a second one may start, if at all.
  std::optional<std::int64_t> DelayMs(const RunTimeModel& model,
                                      const ServiceId& service,
                                      const std::string& kind) const;

  /// Takes one hedge, if the budget allows it.
  bool TryConsume() { return this->budget.TryConsume(); }

 private:
  bool enabled;
  RetryBudget budget;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_HEDGE_POLICY_H_
