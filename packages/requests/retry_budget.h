#ifndef PACKAGES_REQUESTS_RETRY_BUDGET_H_
#define PACKAGES_REQUESTS_RETRY_BUDGET_H_

#include <cstdint>

namespace carobrill::requests {

/// Token bucket that limits extra attempts to a percentage of the requests, so
/// that retries cannot multiply the load of an overloaded service. It starts
/// with `reserve` attempts and holds at most ten more than that.
class RetryBudget {
 public:
  RetryBudget(std::uint32_t percent, std::uint32_t reserve);

  /// Counts a request, which adds to the budget.
  void OnRequest();

  /// Consumes budget for one extra attempt; returns false if there is none
  /// left.
  bool TryConsume();

 private:
  std::int64_t percent;
  std::int64_t limit;
  /// In hundredths of an attempt.
  std::int64_t balance;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_RETRY_BUDGET_H_
