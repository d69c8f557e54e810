#include <doctest/doctest.h>

#include <map>
#include <string>

#include "tests/process/deployment.h"

namespace carobrill::process {
namespace {

constexpr std::int64_t kStartLimitMs = 8'000;
// A member without its gang ends within the lease of 3 s; the watcher detects a
// silent member after 2 s.
constexpr std::int64_t kEndLimitMs = 6'000;
// The design sets no limit for ending a job after its watcher is lost; it only
// requires that the leases have expired. The limit is the sum of the dead-after
// time of 2 s (docs/design.md, section 7.6), the planner's stop timeout of 10 s
// (planner.h), and the start limit of urgent work, 1.9 s, as the time to write
// the records.
constexpr std::int64_t kJobEndLimitMs = 2'000 + 10'000 + 1'900;
constexpr std::int64_t kLongRunMs = 60'000;

std::int64_t Running(Deployment& deployment, int worker) {
  return deployment.WorkerStats(worker)["running"].get<std::int64_t>();
}

std::int64_t Started(Deployment& deployment) {
  return deployment.WorkerStats(0)["started"].get<std::int64_t>() +
         deployment.WorkerStats(1)["started"].get<std::int64_t>();
}

bool AllRunning(Deployment& deployment) {
  return Running(deployment, 0) == 1 && Running(deployment, 1) == 1;
}

bool NoneRunning(Deployment& deployment) {
  return Running(deployment, 0) == 0 && Running(deployment, 1) == 0;
}

std::string StartGang(Deployment& deployment, bool idempotent) {
  auto job = deployment.SubmitGang(0, 2, kLongRunMs, idempotent);
  REQUIRE(WaitUntil([&] { return AllRunning(deployment); }, kStartLimitMs));
  REQUIRE(WaitUntil([&] { return deployment.JobState(1, job) == "running"; },
                    kStartLimitMs));
  return job;
}

// Index of the worker that runs the given member; member 0 is the watcher.
int FindWorkerOfMember(Deployment& deployment,
                       const std::string& job,
                       int member) {
  const auto job_view = deployment.Get(0, "/v1/jobs/" + job);
  REQUIRE(job_view.is_object());
  return job_view["workers"][member].get<std::string>() == "w0" ? 0 : 1;
}

void CheckJobStateAfterFailure(Deployment& deployment,
                               const std::string& job,
                               bool idempotent) {
  std::string state;
  const bool ended = WaitUntil(
      [&] {
        state = deployment.JobState(1, job);
        return idempotent ? state == "queued"
                          : state == "outcome_unknown" || state == "failed";
      },
      kJobEndLimitMs);
  CAPTURE(state);
  CAPTURE(deployment.Get(1, "/v1/jobs/" + job).dump());
  CHECK(ended);
}

void KillAgentOfMember(int member, bool idempotent) {
  Deployment deployment({2, 0, 2});
  const auto job = StartGang(deployment, idempotent);
  deployment.WorkerAgent(FindWorkerOfMember(deployment, job, member)).Kill();
  CHECK(WaitUntil([&] { return NoneRunning(deployment); }, kEndLimitMs));
  CheckJobStateAfterFailure(deployment, job, idempotent);
  // One remaining agent has no capacity for both members.
  CHECK(NoneRunning(deployment));
  CHECK(Started(deployment) == 2);
}

TEST_CASE("holds.whole_gang: the agent of a member dies") {
  // Guards against a member that keeps running without the other one.
  KillAgentOfMember(1, true);
}

TEST_CASE("holds.whole_gang: the watcher's agent dies") {
  // Guards against members that keep their leases without a watcher, and
  // against restarting non-idempotent work that may have had effects.
  KillAgentOfMember(0, false);
}

// While the agent is suspended, the lease of its own task expires, and the
// other member ends because the watcher does not respond.
void SuspendWatcher(bool idempotent) {
  Deployment deployment({2, 0, 2});
  const auto job = StartGang(deployment, idempotent);
  Process& agent =
      deployment.WorkerAgent(FindWorkerOfMember(deployment, job, 0));
  const Instant suspended_at = BootClock{}.Now();
  agent.Suspend();
  CHECK(WaitUntil([&] { return NoneRunning(deployment); }, kEndLimitMs));
  const auto pause_ms =
      suspended_at.After(5'000).RemainingMs(BootClock{}.Now());
  WaitUntil([] { return false; }, pause_ms);  // Sleeps.
  agent.Resume();
  if (idempotent) {
    // The whole gang restarts, with each member started once.
    CHECK(WaitUntil([&] { return AllRunning(deployment); }, kStartLimitMs));
    CHECK(Started(deployment) == 4);
  } else {
    CheckJobStateAfterFailure(deployment, job, false);
    CHECK_FALSE(WaitUntil([&] { return Started(deployment) > 2; }, 1'000));
  }
  for (int worker = 0; worker < 2; ++worker) {
    const auto stats = deployment.WorkerStats(worker);
    CHECK(stats["peak"]["tasks_per_accelerator"] == 1);
  }
}

TEST_CASE("holds.whole_gang: the watcher's agent is suspended for 5 s") {
  // Guards against a resumed watcher that acts on a gang that has already
  // ended.
  SuspendWatcher(true);
}

TEST_CASE("holds.whole_gang: the watcher of non-idempotent work is suspended") {
  // Guards against restarting non-idempotent work that may have had effects.
  SuspendWatcher(false);
}

}  // namespace
}  // namespace carobrill::process
