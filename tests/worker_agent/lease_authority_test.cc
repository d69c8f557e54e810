#include "packages/worker_agent/lease_authority.h"

#include <doctest/doctest.h>
#include <glib.h>

namespace carobrill::worker_agent {
namespace {

TEST_CASE("a delayed message does not shorten the permission to renew leases") {
  // Guards against runs that lapse although a later message extended it.
  LeaseAuthority authority;
  CHECK_FALSE(authority.Valid());
  const Instant until = BootClock{}.Now().After(10'000);
  authority.Extend(until, 1);
  authority.Extend(until.After(-5'000), 1);
  CHECK(authority.Until() == until);
  CHECK(authority.Valid());
}

TEST_CASE("a permission that has ended is not valid") {
  // Guards against leases that are renewed after the planner has started their
  // tasks elsewhere.
  constexpr std::int64_t kPermittedMs = 30;
  LeaseAuthority authority;
  authority.Extend(BootClock{}.Now().After(kPermittedMs), 1);
  CHECK(authority.Valid());
  g_usleep(1'000 * (kPermittedMs + 20));
  CHECK_FALSE(authority.Valid());
}

}  // namespace
}  // namespace carobrill::worker_agent
