#include <doctest/doctest.h>

#include "tests/process/deployment.h"

namespace carobrill::process {
namespace {

constexpr std::int64_t kLimitMs = 8'000;

// Checks that the payload ran at most once and, if it ran, that the response
// does not report it as not run.
void CheckRanAtMostOnce(Deployment& deployment,
                        const std::string& payload,
                        const RequestOutcome& outcome) {
  const auto runs = deployment.Runs(payload);
  CAPTURE(payload);
  CAPTURE(runs);
  CAPTURE(outcome.status);
  CAPTURE(outcome.body.dump());
  CHECK(outcome.answered);
  CHECK(runs <= 1);
  if (runs > 0) {
    CHECK(outcome.Ran() != "no");
  }
  if (outcome.status == 200) {
    CHECK(runs == 1);
    CHECK(outcome.body.value("answer", "") == "answer to " + payload);
  }
}

TEST_CASE("holds.at_most_once: the entry dies while the request runs") {
  // Guards against a second run when a caller retries a key at another entry,
  // and against reporting "not run" after the entry that knew the outcome died.
  Deployment deployment({});
  const RequestPlan plan{"cut 1", "key-1", 1'500, 6'000};
  auto first = deployment.Request(0, plan);
  REQUIRE(WaitUntil([&] { return deployment.Runs("cut 1") == 1; }, kLimitMs));
  deployment.Entry(0).Kill();
  const auto second = deployment.Request(1, plan).get();
  CheckRanAtMostOnce(deployment, "cut 1", second);
  CheckRanAtMostOnce(deployment, "cut 1", deployment.Request(1, plan).get());
  CHECK(deployment.Runs("cut 1") == 1);
}

TEST_CASE("holds.at_most_once: the log loses the responses to appends") {
  // Guards against a retried append that is applied as a second claim.
  Deployment deployment({});
  deployment.ControlLog({{"lose_answers", 4}});
  std::vector<std::future<RequestOutcome>> calls;
  for (int i = 0; i < 8; ++i) {
    const RequestPlan plan{"lost " + std::to_string(i / 2),
                           "lost-" + std::to_string(i / 2), 100, 6'000};
    calls.push_back(deployment.Request(i % 2, plan));
  }
  for (int i = 0; i < 8; ++i) {
    CheckRanAtMostOnce(deployment, "lost " + std::to_string(i / 2),
                       calls[i].get());
  }
}

TEST_CASE("holds.at_most_once: the agent dies while the request runs") {
  // Guards against sending a claimed request to another endpoint when the agent
  // that may have run it stops responding.
  Deployment deployment({});
  const RequestPlan plan{"cut 2", "key-2", 1'500, 6'000};
  auto first = deployment.Request(0, plan);
  REQUIRE(WaitUntil([&] { return deployment.Runs("cut 2") == 1; }, kLimitMs));
  const int at = deployment.RunsAt(0) == 1 ? 0 : 1;
  deployment.EndpointAgent(at).Kill();
  CheckRanAtMostOnce(deployment, "cut 2", first.get());
  CheckRanAtMostOnce(deployment, "cut 2", deployment.Request(1, plan).get());
  CHECK(deployment.Runs("cut 2") == 1);
}

}  // namespace
}  // namespace carobrill::process
