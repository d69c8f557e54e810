#include "packages/worker_agent/lease_authority.h"

#include <algorithm>
#include <string>
#include <utility>

#include "packages/core/log.h"

namespace carobrill::worker_agent {

void LeaseAuthority::Extend(Instant until, std::uint64_t epoch) {
  this->until = std::max(this->until, until);
  if (this->Valid() && !std::exchange(this->logged_as_valid, true)) {
    Log(LogLevel::kInfo, "dependency regained",
        {{"dependency", "planner"}, {"epoch", std::to_string(epoch)}});
  }
}

// Compared with the planner's worker_given_up, the time shows whether the
// planner waited until this agent could no longer renew.
void LeaseAuthority::LogEnd(const WorkerId& worker) {
  const Instant now = BootClock{}.Now();
  if (now < this->until || !std::exchange(this->logged_as_valid, false)) {
    return;
  }
  Log(LogLevel::kWarning, "dependency lost",
      {{"dependency", "planner"},
       {"worker", worker.value},
       {"authority_ended_ms_ago", std::to_string(now.ms - this->until.ms)}});
}

bool LeaseAuthority::Valid() const {
  return BootClock{}.Now() < this->until;
}

}  // namespace carobrill::worker_agent
