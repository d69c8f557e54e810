#include "packages/worker_agent/pace_controller.h"

#include <doctest/doctest.h>

namespace carobrill::worker_agent {
namespace {

const workload::TaskKey kServing{JobId("0123456789abcdef"), 0, 0, 0};
const workload::TaskKey kFiller{JobId("fedcba9876543210"), 0, 0, 0};

RunTable MakeTable() {
  RunTable table({});
  table.SetDesired({{kServing, 1, false, true, "", "", "", {false, 100}, {}},
                    {kFiller, 1, false, true, "", "", "", {true, 0}, {}}},
                   Instant{0});
  return table;
}

std::vector<ListedRun> MakeRuns(std::int64_t latency_ms,
                                std::uint32_t run = 1) {
  return {{kServing, 1, 100, "", latency_ms}, {kFiller, run, 40, "", 0}};
}

TEST_CASE(
    "fillers are throttled within the time that a target may be exceeded") {
  // Guards against a filler that keeps a serving task above its latency target.
  // The platform allows 4 s, and a rate change takes effect after 0.1 s.
  const RunTable table = MakeTable();
  PaceController pace({});
  std::int64_t now = 0;
  for (; now <= 3'000; now += 500) {
    pace.Update(MakeRuns(/*latency_ms=*/130), table, Instant{now});
  }
  CHECK(pace.Percent() <= 5);
}

TEST_CASE("fillers are throttled near the target and sped up again below it") {
  const RunTable table = MakeTable();
  PaceController pace({});
  CHECK(pace.Update(MakeRuns(60), table, Instant{0}).empty());
  const auto slowed = pace.Update(MakeRuns(120), table, Instant{500});
  REQUIRE(slowed.size() == 1);
  CHECK(slowed[0].task == kFiller);
  CHECK(slowed[0].percent < 100);
  CHECK(pace.Update(MakeRuns(80), table, Instant{2'000}).empty());
  const auto back = pace.Update(MakeRuns(50), table, Instant{3'000});
  REQUIRE(back.size() == 1);
  CHECK(back[0].percent > slowed[0].percent);
}

TEST_CASE("failed rate orders are resent, and new runs are sent the rate") {
  // Guards against a lost order, and against a new run that stays at the full
  // rate.
  RunTable table = MakeTable();
  PaceController pace({});
  REQUIRE(pace.Update(MakeRuns(120), table, Instant{0}).size() == 1);
  CHECK(pace.Update(MakeRuns(95), table, Instant{100}).empty());
  pace.OnFailure({kFiller, 1});
  CHECK(pace.Update(MakeRuns(95), table, Instant{200}).size() == 1);
  table.SetDesired({{kServing, 1, false, true, "", "", "", {false, 100}, {}},
                    {kFiller, 2, false, true, "", "", "", {true, 0}, {}}},
                   Instant{0});
  CHECK(pace.Update(MakeRuns(95, 2), table, Instant{300}).size() == 1);
}

TEST_CASE("serving tasks are never throttled") {
  RunTable table({});
  table.SetDesired({{kServing, 1, false, true, "", "", "", {false, 100}, {}}},
                   Instant{0});
  PaceController pace({});
  CHECK(pace.Update({{kServing, 1, 100, "", 500}}, table, Instant{0}).empty());
}

}  // namespace
}  // namespace carobrill::worker_agent
