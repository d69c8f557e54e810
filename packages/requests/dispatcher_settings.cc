#include "packages/requests/dispatcher_settings.h"

namespace carobrill::requests {

std::optional<std::string> DispatcherSettings::ValidationError() const {
  constexpr std::uint32_t kMaxPercent = 100;
  if (this->self.empty() || this->self_incarnation == 0) {
    return "the dispatcher needs the name and incarnation of its entry";
  }
  if (this->queue_limit == 0) {
    return "queue_limit must be above 0";
  }
  if (this->retry_percent > kMaxPercent || this->hedge_percent > kMaxPercent) {
    return "retry_percent and hedge_percent must not exceed 100";
  }
  if (this->fence_interval_ms <= 0 || this->fence_timeout_ms <= 0) {
    return "fence_interval_ms and fence_timeout_ms must be above 0";
  }
  return std::nullopt;
}

}  // namespace carobrill::requests
