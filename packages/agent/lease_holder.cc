#include "packages/agent/lease_holder.h"

#include <algorithm>

namespace carobrill::agent {
namespace {

// An entry process (entry_core.h) declares an agent dead 2 s after the agent's
// last announcement and may then reassign its work, whatever lease it granted.
constexpr std::int64_t kMaxLeaseMs = 2'000;

}  // namespace

LeaseHolder::LeaseHolder(Incarnation self) : self(self) {}

// The entry process counts from the arrival of the announcement and the agent
// from its sending, so the lease has expired before the entry process declares
// the agent dead. A grant that is read late may have expired already.
bool LeaseHolder::Grant(const LeaseGrant& grant) {
  if (grant.receiver_incarnation != this->self) {
    return false;
  }
  const auto lease_ms =
      std::clamp<std::int64_t>(grant.lease_ms, 0, kMaxLeaseMs);
  this->until = std::max(this->until, grant.sent_at.After(lease_ms));
  return true;
}

}  // namespace carobrill::agent
