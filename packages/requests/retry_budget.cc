#include "packages/requests/retry_budget.h"

#include <algorithm>

namespace carobrill::requests {
namespace {

constexpr std::int64_t kUnitsPerAttempt = 100;

// Limits the budget saved in quiet periods to ten attempts above the reserve,
// so that it does not pay for a retry storm later.
constexpr std::int64_t kMaxSavedAttempts = 10;

}  // namespace

RetryBudget::RetryBudget(std::uint32_t percent, std::uint32_t reserve)
    : percent(percent),
      limit((reserve + kMaxSavedAttempts) * kUnitsPerAttempt),
      balance(reserve * kUnitsPerAttempt) {}

void RetryBudget::OnRequest() {
  this->balance = std::min(this->limit, this->balance + this->percent);
}

bool RetryBudget::TryConsume() {
  if (this->balance < kUnitsPerAttempt) {
    return false;
  }
  this->balance -= kUnitsPerAttempt;
  return true;
}

}  // namespace carobrill::requests
