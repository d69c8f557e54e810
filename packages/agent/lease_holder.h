#ifndef PACKAGES_AGENT_LEASE_HOLDER_H_
#define PACKAGES_AGENT_LEASE_HOLDER_H_

#include <cstdint>

#include "packages/core/ids.h"
#include "packages/core/time.h"

namespace carobrill::agent {

/// A lease as granted in the reply to an announcement.
struct LeaseGrant {
  /// The incarnation that the reply is addressed to.
  Incarnation receiver_incarnation = 0;
  /// When the announcement was sent (boot clock).
  Instant sent_at;
  std::int64_t lease_ms = 0;
};

/// The right to start work, granted by any entry for at most 2 s.
class LeaseHolder {
 public:
  explicit LeaseHolder(Incarnation self);

  /// Takes in a grant; false when it is addressed to another incarnation.
  bool Grant(const LeaseGrant& grant);

  /// True while work may be started. Ask again after every wait.
  bool Holds(Instant now) const { return now < this->until; }

  /// When the lease ends.
  Instant Until() const { return this->until; }

 private:
  Incarnation self;
  Instant until;
};

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_LEASE_HOLDER_H_
