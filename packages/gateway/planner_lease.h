#ifndef PACKAGES_GATEWAY_PLANNER_LEASE_H_
#define PACKAGES_GATEWAY_PLANNER_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/time.h"

namespace carobrill::gateway {

/// Planner election timing, in ms.
struct PlannerLeaseSettings {
  /// Time without a planner heartbeat after which another instance takes over.
  /// A slow store delays a heartbeat by up to 700 ms (two answers of 350 ms).
  std::int64_t takeover_ms = 1'200;
  /// Additional delay per rank, so that instances do not claim at the same
  /// time.
  std::int64_t rank_delay_ms = 150;
  /// Additional delay of an instance that is much weaker than the last planner.
  /// Must exceed the delay of the highest rank, so that an instance as strong
  /// as the last planner claims first.
  std::int64_t weak_instance_delay_ms = 700;
  /// Additional delay after a resignation in favour of another instance.
  std::int64_t successor_delay_ms = 600;
  /// Age of a planner's term from which a stronger instance asks it to hand
  /// over.
  std::int64_t handover_after_ms = 2'000;
};

/// Planner claim or heartbeat as stored in the log.
struct PlannerClaim {
  InstanceId instance;
  std::uint64_t epoch = 0;
  std::uint64_t heartbeat = 0;
  bool resigned = false;
  /// Processor share of the planner's instance in thousandths of a core; 0 when
  /// unknown.
  std::uint32_t processor_millis = 0;
  /// With `resigned`: the instance that takes over first; empty for any.
  InstanceId successor;
  /// How long leases that earlier planners granted may still last, as of the
  /// sending of this record; nothing if it is not known.
  std::optional<std::int64_t> earlier_leases_left_ms = std::nullopt;
};

/// Request of an instance to take over from the planner of the given epoch.
struct HandoverRequest {
  InstanceId instance;
  std::uint64_t epoch = 0;
};

/// True if an instance with `processor_millis` should plan rather than one with
/// `other_millis`. A small difference is not worth a hand-over.
constexpr bool IsMuchStronger(std::uint32_t processor_millis,
                              std::uint32_t other_millis) {
  constexpr std::uint32_t kFactor = 2;
  return other_millis > 0 && processor_millis / kFactor >= other_millis;
}

/// Decides when this instance claims the planner role. Instances do not compare
/// clocks: each measures the time since it read the last heartbeat.
class PlannerLease {
 public:
  /// `rank` spreads the claims of several instances over time. A claim by `own`
  /// that this process did not make was made by an earlier process of the
  /// instance that no longer runs, so it is taken over immediately.
  /// `processor_millis` is the processor share of `own`; 0 when unknown.
  PlannerLease(PlannerLeaseSettings settings,
               std::uint32_t rank,
               InstanceId own,
               std::uint32_t processor_millis = 0);

  /// Records that this process claims `epoch`.
  void ObserveOwnClaim(std::uint64_t epoch) { this->claimed_epoch = epoch; }

  /// Records a claim or heartbeat that was read from the log at `now` (boot
  /// clock).
  void Observe(const PlannerClaim& claim, Instant now);

  /// Restarts the silence timeout at `now`. Used for example while the log
  /// cannot be read, since missing heartbeats are then no evidence that the
  /// planner has failed.
  void RestartSilence(Instant now);

  /// True if this instance should claim the planner role.
  bool ShouldClaim(Instant now) const;

  /// True if this instance should ask the planner to hand over, because it has
  /// a much larger processor share. True once per epoch.
  bool ShouldRequestHandover(Instant now);

  /// Epoch for a new claim: higher than any epoch read so far.
  std::uint64_t NextEpoch() const { return this->newest.epoch + 1; }

  const PlannerClaim& Newest() const { return this->newest; }

 private:
  PlannerLeaseSettings settings;
  std::uint32_t rank;
  InstanceId own;
  std::uint32_t processor_millis;
  /// Highest epoch claimed by this process; 0 before the first claim.
  std::uint64_t claimed_epoch = 0;
  PlannerClaim newest;
  bool has_claim = false;
  Instant last_heard_at;
  /// Boot clock: when the epoch of `newest` was first read.
  Instant epoch_began_at;
  /// Epoch of the last request for a hand-over.
  std::uint64_t requested_epoch = 0;
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_PLANNER_LEASE_H_
