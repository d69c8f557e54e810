#ifndef PACKAGES_REQUESTS_RETRY_BUDGET_H_
#define PACKAGES_REQUESTS_RETRY_BUDGET_H_

#include <cstdint>

namespace carobrill::requests {

/// Allows extra attempts up to a percentage of the requests plus a reserve, so
/// that retries cannot multiply the load of an overloaded service.
class RetryBudget {
 public:
  RetryBudget(std::uint32_t percent, std::uint32_t reserve);

  /// A request came in.
  void OnRequest();

  /// Takes one extra attempt, if the budget allows it.
  bool TryConsume();

 private:
  std::int64_t percent;
  std::int64_t limit;
  /// Hundredths of an attempt.
  std::int64_t balance;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_RETRY_BUDGET_H_
