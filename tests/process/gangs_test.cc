#include <doctest/doctest.h>

#include <map>
#include <string>

#include "tests/process/deployment.h"

namespace carobrill::process {
namespace {

constexpr std::int64_t kStartLimitMs = 8'000;
// A member that lost its gang ends within the lease of 3 s; the watcher notices
// a silent member after 2 s.
constexpr std::int64_t kEndLimitMs = 6'000;
// The design names no limit for the end of the job once its watcher is gone,
// only that the leases must have expired. The parts are: dead after 2 s
// (design 7.6), the planner's stop timeout of 10 s (planner.h), and the limit
// of 1.9 s for the start of urgent work as the time for its records.
constexpr std::int64_t kJobEndLimitMs = 2'000 + 10'000 + 1'900;
constexpr std::int64_t kLongRunMs = 60'000;

std::int64_t Running(Deployment& deployment, int worker) {
  return deployment.WorkerStats(worker)["running"].get<std::int64_t>();
}

std::int64_t Started(Deployment& deployment) {
  return deployment.WorkerStats(0)["started"].get<std::int64_t>() +
         deployment.WorkerStats(1)["started"].get<std::int64_t>();
}

bool AllRun(Deployment& deployment) {
  return Running(deployment, 0) == 1 && Running(deployment, 1) == 1;
}

bool NoneRuns(Deployment& deployment) {
  return Running(deployment, 0) == 0 && Running(deployment, 1) == 0;
}

std::string StartGang(Deployment& deployment, bool idempotent) {
  auto job = deployment.SubmitGang(0, 2, kLongRunMs, idempotent);
  REQUIRE(WaitUntil([&] { return AllRun(deployment); }, kStartLimitMs));
  REQUIRE(WaitUntil([&] { return deployment.JobState(1, job) == "running"; },
                    kStartLimitMs));
  return job;
}

// Number of the worker that holds the given member; member 0 is the watcher.
int WorkerOf(Deployment& deployment, const std::string& job, int member) {
  const auto view = deployment.Get(0, "/v1/jobs/" + job);
  REQUIRE(view.is_object());
  return view["workers"][member].get<std::string>() == "w0" ? 0 : 1;
}

void CheckEndsAsDesigned(Deployment& deployment,
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
  deployment.WorkerAgent(WorkerOf(deployment, job, member)).Kill();
  CHECK(WaitUntil([&] { return NoneRuns(deployment); }, kEndLimitMs));
  CheckEndsAsDesigned(deployment, job, idempotent);
  // With one agent left there is no room for both members.
  CHECK(NoneRuns(deployment));
  CHECK(Started(deployment) == 2);
}

TEST_CASE("holds.whole_gang: the agent of a member dies") {
  // Guards against a member that goes on without the other one.
  KillAgentOfMember(1, true);
}

TEST_CASE("holds.whole_gang: the watcher's agent dies") {
  // Guards against members that keep their leases without a watcher, and
  // against a second start of work that may have had effects.
  KillAgentOfMember(0, false);
}

// While the agent is frozen its own task lapses, and the other member ends
// without an answer of the watcher.
void FreezeWatcher(bool idempotent) {
  Deployment deployment({2, 0, 2});
  const auto job = StartGang(deployment, idempotent);
  Process& agent = deployment.WorkerAgent(WorkerOf(deployment, job, 0));
  const Instant frozen = BootClock{}.Now();
  agent.Freeze();
  CHECK(WaitUntil([&] { return NoneRuns(deployment); }, kEndLimitMs));
  const auto rest = frozen.After(5'000).RemainingMs(BootClock{}.Now());
  WaitUntil([] { return false; }, rest);
  agent.Resume();
  if (idempotent) {
    // The job starts again as a whole, each member once.
    CHECK(WaitUntil([&] { return AllRun(deployment); }, kStartLimitMs));
    CHECK(Started(deployment) == 4);
  } else {
    CheckEndsAsDesigned(deployment, job, false);
    CHECK_FALSE(WaitUntil([&] { return Started(deployment) > 2; }, 1'000));
  }
  for (int worker = 0; worker < 2; ++worker) {
    const auto stats = deployment.WorkerStats(worker);
    CHECK(stats["peak"]["tasks_per_accelerator"] == 1);
  }
}

TEST_CASE("holds.whole_gang: the watcher's agent is frozen for 5 s") {
  // Guards against a resumed watcher that acts on a gang that has ended.
  FreezeWatcher(true);
}

TEST_CASE("holds.whole_gang: a frozen watcher of non-idempotent work") {
  // Guards against a second start of work that may have had effects.
  FreezeWatcher(false);
}

}  // namespace
}  // namespace carobrill::process
