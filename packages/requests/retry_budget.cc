#include "packages/requests/retry_budget.h"

#include <algorithm>

namespace carobrill::requests {
namespace {

constexpr std::int64_t kAttempt = 100;

// Requests of quiet times do not pay for a storm of retries later: no more
// than ten attempts above the reserve are saved up.
constexpr std::int64_t kSavedAttempts = 10;

}  // namespace

RetryBudget::RetryBudget(std::uint32_t percent, std::uint32_t reserve)
    : percent(percent),
      limit((reserve + kSavedAttempts) * kAttempt),
      balance(reserve * kAttempt) {}

void RetryBudget::OnRequest() {
  this->balance = std::min(this->limit, this->balance + this->percent);
}

bool RetryBudget::TryTake() {
  if (this->balance < kAttempt) {
    return false;
  }
  this->balance -= kAttempt;
  return true;
}

}  // namespace carobrill::requests
