#ifndef PACKAGES_AGENT_LEASE_HOLDER_H_
#define PACKAGES_AGENT_LEASE_HOLDER_H_

#include <cstdint>

#include "packages/core/ids.h"
#include "packages/core/time.h"

namespace carobrill::agent {

/// A lease granted in the reply to an announcement, the message in which an
/// agent periodically reports its state to an entry process.
struct LeaseGrant {
  /// The incarnation that the reply is addressed to.
  Incarnation receiver_incarnation = 0;
  /// When the announcement was sent (boot clock).
  Instant sent_at;
  std::int64_t lease_ms = 0;
};

/// Holds the agent's lease, which is the permission to start work. Any entry
/// process grants it, for at most 2 s.
class LeaseHolder {
 public:
  explicit LeaseHolder(Incarnation self);

  /// Applies a grant. Returns false when it is addressed to another
  /// incarnation.
  bool Grant(const LeaseGrant& grant);

  /// True while work may be started. Callers must check again after every wait.
  bool Holds(Instant now) const { return now < this->until; }

  Instant Until() const { return this->until; }

 private:
  Incarnation self;
  Instant until;
};

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_LEASE_HOLDER_H_
