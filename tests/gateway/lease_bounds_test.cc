#include "packages/gateway/lease_bounds.h"

#include <doctest/doctest.h>

#include <optional>

namespace carobrill::gateway {
namespace {

constexpr LeaseLimits kLimits{5'000, 20'000};

PlannerClaim ClaimOf(const std::string& instance,
                     bool resigned,
                     std::optional<std::int64_t> earlier_leases_left_ms) {
  return {InstanceId(instance), 4, 9, resigned, 0, {}, earlier_leases_left_ms};
}

std::int64_t Bound(const PlannerClaim& previous) {
  return EarlierLeasesMs(previous, InstanceId("own"), kLimits);
}

TEST_CASE("a planner that may not know of the claim grants until its limit") {
  // Guards against two runs of a task on a worker that only the earlier planner
  // reaches.
  CHECK(Bound(ClaimOf("other", false, 0)) >= kLimits.max_store_outage_ms);
  CHECK(Bound(PlannerClaim{}) >= kLimits.max_store_outage_ms);
}

TEST_CASE(
    "a planner that has resigned or ended grants one more lease at most") {
  // Guards against tasks of a lost machine that wait for a store outage that
  // did not take place.
  for (const PlannerClaim& previous :
       {ClaimOf("other", true, 0), ClaimOf("own", false, 0)}) {
    CHECK(Bound(previous) >= kLimits.lease_ms);
    CHECK(Bound(previous) < kLimits.lease_ms + 500);
  }
}

TEST_CASE("leases of planners before the previous one are waited for") {
  CHECK(Bound(ClaimOf("own", false, 9'000)) == 9'000);
  CHECK(Bound(ClaimOf("other", true, 9'000)) == 9'000);
  // A planner of an older version does not say how long they may last.
  CHECK(Bound(ClaimOf("own", false, {})) >= kLimits.max_store_outage_ms);
  CHECK(Bound(ClaimOf("other", true, {})) >= kLimits.max_store_outage_ms);
}

TEST_CASE("odd values in a claim do not change the limits") {
  // Guards against an entry of another writer that keeps tasks waiting.
  const std::int64_t longest = Bound(ClaimOf("other", false, 0));
  CHECK(Bound(ClaimOf("own", false, 1LL << 60)) == longest);
  CHECK(Bound(ClaimOf("own", false, -(1LL << 60))) ==
        Bound(ClaimOf("own", false, 0)));
}

}  // namespace
}  // namespace carobrill::gateway
