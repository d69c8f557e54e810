#include "packages/gateway/planner_lease.h"

#include <algorithm>
#include <utility>

namespace carobrill::gateway {

PlannerLease::PlannerLease(PlannerLeaseSettings settings,
                           std::uint32_t rank,
                           InstanceId own)
    : settings(settings), rank(rank), own(std::move(own)) {}

void PlannerLease::Observe(const PlannerClaim& claim, Instant now) {
  if (this->seen && claim.epoch < this->newest.epoch) {
    return;
  }
  this->newest = claim;
  this->seen = true;
  this->heard_at = std::max(this->heard_at, now);
}

void PlannerLease::ObserveGap(Instant now) {
  this->heard_at = std::max(this->heard_at, now);
}

bool PlannerLease::ShouldClaim(Instant now) const {
  const bool left_behind = this->seen && this->newest.instance == this->own &&
                           this->newest.epoch > this->claimed_epoch;
  if (left_behind) {
    return true;
  }
  const std::int64_t turn_ms = this->rank * this->settings.rank_delay_ms;
  const bool vacant = !this->seen || this->newest.resigned;
  return now >= this->heard_at.After(turn_ms +
                                     (vacant ? 0 : this->settings.takeover_ms));
}

}  // namespace carobrill::gateway
