#include "packages/agent/lease_holder.h"

#include <algorithm>

namespace carobrill::agent {
namespace {

// An entry process declares an agent dead after 2 s and may then reassign its
// work, whatever lease it granted.
constexpr std::int64_t kMaxLeaseMs = 2'000;

}  // namespace

LeaseHolder::LeaseHolder(Incarnation self) : self(self) {}

// The entry process counts from the arrival of the announcement and the agent
// from its sending, so the agent's lease ends first. A grant that is read late
// may have expired already.
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
