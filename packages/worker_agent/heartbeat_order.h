#ifndef PACKAGES_WORKER_AGENT_HEARTBEAT_ORDER_H_
#define PACKAGES_WORKER_AGENT_HEARTBEAT_ORDER_H_

#include <cstdint>
#include <optional>

#include "packages/core/time.h"

namespace carobrill::worker_agent {

/// Tells which heartbeats of a worker arrive out of order.
class HeartbeatOrder {
 public:
  /// `max_late_ms` as in WorkerAgentSettings::max_late_heartbeats_ms.
  explicit HeartbeatOrder(std::int64_t max_late_ms)
      : max_late_ms(max_late_ms) {}

  /// Takes over the sequence number of a heartbeat.
  void Follow(std::uint64_t sequence) { this->sequence = sequence; }

  // The heartbeats that a partition has delayed arrive together.
  bool ArrivesLate(std::uint64_t sequence) {
    if (sequence >= this->sequence) {
      this->late_until.reset();
      return false;
    }
    const Instant now = BootClock{}.Now();
    if (!this->late_until.has_value()) {
      this->late_until = now.After(this->max_late_ms);
    }
    return now < *this->late_until;
  }

 private:
  std::int64_t max_late_ms;
  std::uint64_t sequence = 0;
  /// Until when heartbeats with a lower sequence number count as late; not set
  /// after one that arrived in order.
  std::optional<Instant> late_until;
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_HEARTBEAT_ORDER_H_
