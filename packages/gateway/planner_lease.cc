#include "packages/gateway/planner_lease.h"

#include <algorithm>
#include <utility>

namespace carobrill::gateway {

PlannerLease::PlannerLease(PlannerLeaseSettings settings,
                           std::uint32_t rank,
                           InstanceId own)
    : settings(settings), rank(rank), own(std::move(own)) {}

void PlannerLease::Observe(const PlannerClaim& claim, Instant now) {
  if (this->has_claim && claim.epoch < this->newest.epoch) {
    return;
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
  const std::int64_t claim_delay_ms = this->rank * this->settings.rank_delay_ms;
  const bool vacant = !this->has_claim || this->newest.resigned;
  return now >= this->last_heard_at.After(
                    claim_delay_ms + (vacant ? 0 : this->settings.takeover_ms));
}

}  // namespace carobrill::gateway
