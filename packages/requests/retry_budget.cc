#include "packages/requests/retry_budget.h"

#include <algorithm>

namespace carobrill::requests {
namespace {

constexpr std::int64_t kUnitsPerAttempt = 100;

// Requests of quiet times do not pay for a storm of retries later: no more
// than ten attempts above the reserve are saved up.
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
