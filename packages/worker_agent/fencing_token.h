#ifndef PACKAGES_WORKER_AGENT_FENCING_TOKEN_H_
#define PACKAGES_WORKER_AGENT_FENCING_TOKEN_H_

#include <cstdint>

#include "packages/core/time.h"

namespace carobrill::worker_agent {

/// Fence of all orders of an agent, normally higher than in any order of an
/// earlier process of this agent.
class FencingToken {
 public:
  std::uint64_t Value() const { return this->value; }

  /// Makes the worker reject calls that were sent before.
  void Advance() { ++this->value; }

  /// The worker has rejected the fence: an earlier process of this agent sent
  /// orders with a higher one, because the clock was set back in between.
  void Raise() {
    constexpr std::uint64_t kStep = 10'000;
    this->value += kStep;
  }

 private:
  std::uint64_t value = static_cast<std::uint64_t>(WallClock{}.Now().ms);
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_FENCING_TOKEN_H_
