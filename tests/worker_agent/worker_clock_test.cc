#include "packages/worker_agent/worker_clock.h"

#include <doctest/doctest.h>
#include <glib.h>

namespace carobrill::worker_agent {
namespace {

TEST_CASE("a lease on a slow clock that was read long ago ends in time") {
  // Guards against a task that works on after the planner has started it
  // elsewhere, on a worker that carries out its calls but does not answer.
  constexpr std::int64_t kAgeMs = 1'000;
  constexpr std::int64_t kWorkerMs = 50'000;
  constexpr std::int64_t kPermilleOfSlowClock = 980;
  WorkerClock clock;
  const Instant measured = BootClock{}.Now();
  clock.Update(kWorkerMs);
  g_usleep(1'000 * kAgeMs);
  const Instant now = BootClock{}.Now();
  const std::int64_t worker_now =
      kWorkerMs + (now.ms - measured.ms) * kPermilleOfSlowClock / 1'000;
  constexpr std::int64_t kLeftMs = 500;
  const std::int64_t until = clock.LeaseUntil(now.After(kLeftMs));
  CHECK(until <= worker_now + kLeftMs);
  CHECK(until >= worker_now + kLeftMs / 2);
}

}  // namespace
}  // namespace carobrill::worker_agent
