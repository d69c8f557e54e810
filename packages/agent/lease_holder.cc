#include "packages/agent/lease_holder.h"

#include <algorithm>

namespace carobrill::agent {
namespace {

// An entry counts an agent as dead after 2 s and may then give its work to
// others, whatever it granted.
constexpr std::int64_t kLongestLeaseMs = 2'000;

}  // namespace

LeaseHolder::LeaseHolder(Incarnation self) : self(self) {}

// The entry counts from the arrival of the announcement, which is not before
// it was sent, so the agent's lease ends first. A reply that was read late
// brings a lease that has ended already.
bool LeaseHolder::Grant(const LeaseGrant& grant) {
  if (grant.receiver_incarnation != this->self) {
    return false;
  }
  const auto lease_ms =
      std::clamp<std::int64_t>(grant.lease_ms, 0, kLongestLeaseMs);
  this->until = std::max(this->until, grant.sent_at.After(lease_ms));
  return true;
}

}  // namespace carobrill::agent
