#include <doctest/doctest.h>
#include <signal.h>

#include <string>
#include <vector>

#include "tests/process/deployment.h"

namespace carobrill::process {
namespace {

// An endpoint gets no new work a few seconds after it starts leaving
// (docs/design.md, section 1.1).
constexpr std::int64_t kLeavingLimitMs = 3'000;
constexpr std::int64_t kObservationMs = 1'500;
constexpr std::int64_t kPauseMs = 10;

// Sends short idempotent requests through both entries at a steady rate.
class SteadyLoad {
 public:
  SteadyLoad(Deployment& deployment, std::int64_t deadline_ms)
      : deployment(deployment), deadline_ms(deadline_ms) {}

  void RunFor(std::int64_t duration_ms) {
    const Instant end = BootClock{}.Now().After(duration_ms);
    while (BootClock{}.Now() < end) {
      const RequestPlan plan{"load " + std::to_string(this->sent), "", 20,
                             this->deadline_ms};
      this->calls.push_back(this->deployment.Request(this->sent % 2, plan));
      ++this->sent;
      WaitUntil([] { return false; }, kPauseMs);  // Sleeps.
    }
  }

  // Checks that every call was answered. Returns the number of successful
  // calls.
  int Finish() {
    int completed = 0;
    for (auto& call : this->calls) {
      const auto outcome = call.get();
      CHECK(outcome.answered);
      completed += outcome.status == 200 ? 1 : 0;
    }
    this->calls.clear();
    return completed;
  }

 private:
  Deployment& deployment;
  std::int64_t deadline_ms;
  int sent = 0;
  std::vector<std::future<RequestOutcome>> calls;
};

// Calls `leave`, which makes `endpoint` leave, under load. Checks that the load
// moves to the other endpoint.
template <typename Leave>
void CheckStopsReceivingWork(int endpoint, Leave leave) {
  Deployment deployment({});
  // A long request at each endpoint keeps a leaving agent from exiting at once.
  std::vector<std::future<RequestOutcome>> long_requests;
  long_requests.reserve(2);
  for (int i = 0; i < 2; ++i) {
    long_requests.push_back(deployment.Request(
        0, {"held " + std::to_string(i), "", 6'000, 10'000}));
  }
  SteadyLoad load(deployment, 3'000);
  load.RunFor(1'000);
  REQUIRE(deployment.RunsAt(endpoint) > 1);
  leave(deployment);
  load.RunFor(kLeavingLimitMs);
  const auto runs_at_leaving = deployment.RunsAt(endpoint);
  const auto runs_at_other = deployment.RunsAt(1 - endpoint);
  load.RunFor(kObservationMs);
  CHECK(deployment.RunsAt(endpoint) == runs_at_leaving);
  CHECK(deployment.RunsAt(1 - endpoint) > runs_at_other);
  CHECK(load.Finish() > 0);
  for (auto& call : long_requests) {
    const auto outcome = call.get();
    CAPTURE(outcome.body.dump());
    CHECK(outcome.status == 200);
  }
}

TEST_CASE("holds.leaving: SIGTERM to an endpoint's agent") {
  // Guards against entries that keep sending to an agent that is stopping, and
  // against an agent that still admits work or aborts running work.
  CheckStopsReceivingWork(0, [](Deployment& deployment) {
    deployment.EndpointAgent(0).Signal(SIGTERM);
  });
}

TEST_CASE("holds.leaving: a rule withdraws the endpoint's partner") {
  // Guards against a withdrawal that takes effect only at some entries.
  CheckStopsReceivingWork(1, [](Deployment& deployment) {
    const auto reply =
        deployment
            .Publish(0, 1, "K. Boateng",
                     Deployment::Rules() +
                         "withdraw partner=p1   # asked by: K. Boateng\n")
            .get();
    CAPTURE(reply.body);
    REQUIRE(reply.Ok());
  });
}

TEST_CASE("holds.leaving: a suspended agent resumes") {
  // Guards against an agent that, after a pause longer than its lease, forwards
  // to its endpoint requests that their callers have abandoned or that were
  // answered elsewhere. The deadlines of the entries' calls also end most of
  // these requests, so this case can pass without the lease check; the
  // admission tests cover the check alone.
  Deployment deployment({});
  SteadyLoad load(deployment, 1'500);
  load.RunFor(500);
  const Instant suspended_at = BootClock{}.Now();
  deployment.EndpointAgent(0).Suspend();
  load.RunFor(1'500);
  CHECK(load.Finish() > 0);
  // Sleeps until 4 s after the suspension.
  WaitUntil([] { return false; },
            suspended_at.After(4'000).RemainingMs(BootClock{}.Now()));
  const auto before = deployment.RunsAt(0);
  deployment.EndpointAgent(0).Resume();
  CHECK_FALSE(WaitUntil([&] { return deployment.RunsAt(0) != before; }, 2'000));
  // The agent serves again once it holds a new lease.
  load.RunFor(2'000);
  CHECK(load.Finish() > 0);
  CHECK(deployment.RunsAt(0) > before);
}

}  // namespace
}  // namespace carobrill::process
