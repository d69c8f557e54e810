#include "packages/gateway/planner_lease.h"

#include <algorithm>
#include <utility>

namespace carobrill::gateway {

PlannerLease::PlannerLease(PlannerLeaseSettings settings,
                           std::uint32_t rank,
                           InstanceId own,
                           std::uint32_t processor_millis)
    : settings(settings),
      rank(rank),
      own(std::move(own)),
      processor_millis(processor_millis) {}

void PlannerLease::Observe(const PlannerClaim& claim, Instant now) {
  if (this->has_claim && claim.epoch < this->newest.epoch) {
    return;
  }
  if (!this->has_claim || claim.epoch != this->newest.epoch) {
    this->epoch_began_at = now;
  }
  this->newest = claim;
  this->has_claim = true;
  this->last_heard_at = std::max(this->last_heard_at, now);
}

void PlannerLease::RestartSilence(Instant now) {
  this->last_heard_at = std::max(this->last_heard_at, now);
}

bool PlannerLease::ShouldClaim(Instant now) const {
  const bool abandoned = this->has_claim &&
                         this->newest.instance == this->own &&
                         this->newest.epoch > this->claimed_epoch;
  if (abandoned) {
    return true;
  }
  if (this->newest.resigned && this->newest.successor == this->own) {
    return true;
  }
  std::int64_t delay_ms = this->rank * this->settings.rank_delay_ms;
  if (!this->has_claim || !this->newest.resigned) {
    delay_ms += this->has_claim ? this->settings.takeover_ms : 0;
  } else if (!this->newest.successor.empty()) {
    delay_ms += this->settings.successor_delay_ms;
  }
  if (IsMuchStronger(this->newest.processor_millis, this->processor_millis)) {
    delay_ms += this->settings.weak_instance_delay_ms;
  }
  return now >= this->last_heard_at.After(delay_ms);
}

bool PlannerLease::ShouldRequestHandover(Instant now) {
  const bool due =
      this->has_claim && !this->newest.resigned &&
      this->newest.instance != this->own &&
      this->newest.epoch > this->requested_epoch &&
      IsMuchStronger(this->processor_millis, this->newest.processor_millis) &&
      now >=
          this->epoch_began_at.After(this->settings.handover_after_ms +
                                     this->rank * this->settings.rank_delay_ms);
  if (due) {
    this->requested_epoch = this->newest.epoch;
  }
  return due;
}

}  // namespace carobrill::gateway
