#include <doctest/doctest.h>

#include <string>

#include "tests/process/deployment.h"

namespace carobrill::process {
namespace {

constexpr std::int64_t kStartLimitMs = 8'000;
constexpr std::int64_t kRecoveryLimitMs = 10'000;

std::int64_t SumStat(Deployment& deployment, const std::string& name) {
  std::int64_t sum = 0;
  for (int worker = 0; worker < 2; ++worker) {
    sum += deployment.WorkerStats(worker)[name].get<std::int64_t>();
  }
  return sum;
}

std::int64_t SucceededCount(Deployment& deployment) {
  std::int64_t sum = 0;
  for (int worker = 0; worker < 2; ++worker) {
    sum += deployment.WorkerStats(worker)["ended"].value("succeeded",
                                                         std::int64_t{0});
  }
  return sum;
}

void StartGang(Deployment& deployment, std::int64_t run_ms, std::string& job) {
  job = deployment.SubmitGang(0, 2, run_ms, false);
  REQUIRE(WaitUntil([&] { return SumStat(deployment, "running") == 2; },
                    kStartLimitMs));
  REQUIRE(WaitUntil([&] { return deployment.JobState(1, job) == "running"; },
                    kStartLimitMs));
}

void KillEntries(Deployment& deployment) {
  deployment.Entry(0).Kill();
  deployment.Entry(1).Kill();
}

void RestartEntries(Deployment& deployment) {
  deployment.RestartEntry(0);
  deployment.RestartEntry(1);
}

void CheckSucceedsOnce(Deployment& deployment,
                       const std::string& job,
                       std::int64_t limit_ms) {
  for (int entry = 0; entry < 2; ++entry) {
    CHECK(WaitUntil(
        [&] { return deployment.JobState(entry, job) == "succeeded"; },
        limit_ms));
    CAPTURE(deployment.Get(entry, "/v1/jobs/" + job).dump());
    CHECK(deployment.JobState(entry, job) == "succeeded");
  }
  CHECK(SumStat(deployment, "started") == 2);
  CHECK(SucceededCount(deployment) == 2);
}

TEST_CASE("holds.recovery: all entries restart while the log is down") {
  // Guards against an outage that stops running work, against entries that
  // serve before they have recovered their state from the log, and against a
  // job that starts or ends twice.
  Deployment deployment({2, 0, 2});
  std::string job;
  StartGang(deployment, 8'000, job);
  deployment.ControlLog({{"outage", true}});
  KillEntries(deployment);
  RestartEntries(deployment);
  WaitUntil([] { return false; }, 2'500);  // Sleeps.
  CHECK(SumStat(deployment, "running") == 2);
  for (int entry = 0; entry < 2; ++entry) {
    CHECK_FALSE(deployment.Call(entry, "GET", "/readyz").get().Ok());
  }
  deployment.ControlLog({{"outage", false}});
  for (int entry = 0; entry < 2; ++entry) {
    CHECK(WaitUntil(
        [&] { return deployment.Call(entry, "GET", "/readyz").get().Ok(); },
        kRecoveryLimitMs));
    CHECK(deployment.Get(entry, "/v1/rules").value("version", 0) == 1);
  }
  CheckSucceedsOnce(deployment, job, kRecoveryLimitMs);
}

TEST_CASE("holds.recovery: a job ends while no entry runs") {
  // Guards against a completion that is reported only once and lost, which
  // would leave the job running in the log forever or end it with a wrong
  // outcome.
  Deployment deployment({2, 0, 2});
  std::string job;
  StartGang(deployment, 2'000, job);
  KillEntries(deployment);
  REQUIRE(WaitUntil([&] { return SucceededCount(deployment) == 2; }, 5'000));
  WaitUntil([] { return false; }, 1'000);  // Sleeps.
  RestartEntries(deployment);
  CheckSucceedsOnce(deployment, job, kRecoveryLimitMs);
}

}  // namespace
}  // namespace carobrill::process
