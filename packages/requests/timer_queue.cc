#include "packages/requests/timer_queue.h"

namespace carobrill::requests {

std::optional<Timer> TimerQueue::TakeDue(Instant now) {
  if (this->timers.empty() || this->timers.begin()->at > now) {
    return std::nullopt;
  }
  const Timer timer = *this->timers.begin();
  this->timers.erase(this->timers.begin());
  return timer;
}

Instant TimerQueue::NextDueAt() const {
  return this->timers.empty() ? Instant::Never() : this->timers.begin()->at;
}

}  // namespace carobrill::requests
