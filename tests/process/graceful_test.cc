#include <doctest/doctest.h>
#include <signal.h>

#include <string>
#include <vector>

#include "tests/process/deployment.h"

namespace carobrill::process {
namespace {

constexpr std::int64_t kEndLimitMs = 10'000;
// Another entry takes over planning after 1 s without a digest (docs/design.md,
// section 2.1). The remainder is the limit for the start of urgent work
// (docs/design.md, section 1.4).
constexpr std::int64_t kTakeoverLimitMs = 1'000 + 1'900;

int FindPlanner(Deployment& deployment) {
  int planner = -1;
  WaitUntil(
      [&] {
        const auto body = deployment.Get(0, "/v1/instances");
        for (const auto& instance :
             body.value("instances", nlohmann::json::array())) {
          if (instance.value("planner", false)) {
            planner = instance.value("instance", "") == "entry-0" ? 0 : 1;
          }
        }
        return planner >= 0;
      },
      5'000);
  REQUIRE(planner >= 0);
  return planner;
}

TEST_CASE("holds.graceful: SIGTERM to the planning entry under load") {
  // Guards against a shutdown that drops calls, that misreports whether they
  // ran, or that leaves the deployment without a planner.
  Deployment deployment({2, 2, 1});
  const int leaving = FindPlanner(deployment);
  std::vector<std::string> payloads;
  std::vector<std::future<RequestOutcome>> calls;
  const auto send = [&](int count) {
    for (int i = 0; i < count; ++i) {
      const auto name = "stop " + std::to_string(payloads.size());
      const auto key =
          i % 2 == 0 ? "" : "stop-" + std::to_string(payloads.size());
      payloads.push_back(name);
      calls.push_back(deployment.Request(leaving, {name, key, 800, 5'000}));
      WaitUntil([] { return false; }, 5);  // Sleeps.
    }
  };
  send(30);
  deployment.Entry(leaving).Signal(SIGTERM);
  send(20);
  int completed = 0;
  for (std::size_t i = 0; i < calls.size(); ++i) {
    const auto outcome = calls[i].get();
    CAPTURE(payloads[i]);
    CAPTURE(outcome.status);
    CAPTURE(outcome.body.dump());
    CHECK(outcome.answered);
    if (outcome.status == 200) {
      ++completed;
      CHECK(deployment.Runs(payloads[i]) >= 1);
    } else {
      CHECK(outcome.Ran() == "no");
      CHECK(deployment.Runs(payloads[i]) == 0);
    }
  }
  CHECK(completed > 0);
  const auto status = deployment.Entry(leaving).Wait(kEndLimitMs);
  REQUIRE(status.has_value());
  CHECK(status->code == 0);
  deployment.SubmitGang(1 - leaving, 1, 5'000, true);
  CHECK(WaitUntil([&] { return deployment.WorkerStats(0)["running"] == 1; },
                  kTakeoverLimitMs));
}

}  // namespace
}  // namespace carobrill::process
