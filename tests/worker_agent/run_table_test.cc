#include "packages/worker_agent/run_table.h"

#include <doctest/doctest.h>

namespace carobrill::worker_agent {
namespace {

const workload::TaskKey kTask{JobId("0123456789abcdef"), 0, 0, 0};
const RunKey kRun{kTask, 3};

DesiredRun MakeDesired(bool stop = false, bool started = false) {
  return {kTask, 3, stop, started, "payload", "", "", {}, {}};
}

LeaseReply MakeReply(bool running, std::vector<ListedRunEnd> ended = {}) {
  LeaseReply reply;
  if (running) {
    reply.running.push_back({kTask, 3, 10, "", 0});
  }
  reply.ended = std::move(ended);
  return reply;
}

TEST_CASE("an unanswered start is retried with the same run number") {
  // Guards against a lost order, and against two runs for one order.
  RunTable table({});
  table.SetDesired({MakeDesired()}, Instant{0});
  REQUIRE(table.TakeDue(Instant{0}).starts.size() == 1);
  CHECK(table.TakeDue(Instant{10}).starts.empty());
  table.OnStart(kRun, OrderResult::kNoAnswer, Instant{20});
  CHECK(table.TakeDue(Instant{30}).starts.empty());
  REQUIRE(table.TakeDue(Instant{200}).starts.size() == 1);
}

TEST_CASE(
    "an unanswered start is stopped before the run is reported as refused") {
  // Guards against a late start that runs alongside its replacement.
  RunTable table({});
  table.SetDesired({MakeDesired()}, Instant{0});
  table.TakeDue(Instant{0});
  table.OnStart(kRun, OrderResult::kNoAnswer, Instant{10});
  table.TakeDue(Instant{200});
  table.OnStart(kRun, OrderResult::kUnhealthy, Instant{210});
  CHECK(table.Ends().empty());
  REQUIRE(table.TakeDue(Instant{210}).stops.size() == 1);
  table.OnStop(kRun, OrderResult::kDone, Instant{220});
  table.OnLists(MakeReply(false), Instant{215}, Instant{221});
  CHECK(table.Ends().empty());
  table.OnLists(MakeReply(false), Instant{230}, Instant{240});
  REQUIRE(table.Ends().size() == 1);
  CHECK(table.Ends()[0].end == workload::RunEnd::kRefused);
}

TEST_CASE("a start that the worker rejects ends the run immediately") {
  RunTable table({});
  table.SetDesired({MakeDesired()}, Instant{0});
  table.TakeDue(Instant{0});
  table.OnStart(kRun, OrderResult::kNoCapacity, Instant{10});
  REQUIRE(table.Ends().size() == 1);
  CHECK(table.Ends()[0].end == workload::RunEnd::kRefused);
}

TEST_CASE(
    "covers.unlisted_run: a started run that the worker does not list ends") {
  // Guards against a run that stays assigned for good, its end being forgotten.
  RunTable table({});
  table.SetDesired({MakeDesired(/*stop=*/false, /*started=*/true)}, Instant{0});
  for (std::int64_t now = 10; now < 60'000; now += 500) {
    table.OnLists(MakeReply(false), Instant{now}, Instant{now + 1});
    if (!table.TakeDue(Instant{now + 2}).stops.empty()) {
      table.OnStop(kRun, OrderResult::kDone, Instant{now + 3});
    }
  }
  CHECK(table.Ends().size() == 1);
}

TEST_CASE("a list from before the start was accepted does not stop the run") {
  // Guards against a sound run that is stopped because answers overtook each
  // other.
  RunTable table({});
  table.SetDesired({MakeDesired()}, Instant{0});
  REQUIRE(table.TakeDue(Instant{0}).starts.size() == 1);
  table.OnStart(kRun, OrderResult::kDone, Instant{20});
  table.OnLists(MakeReply(false), Instant{10}, Instant{30});
  CHECK(table.TakeDue(Instant{30}).stops.empty());
  table.OnLists(MakeReply(true), Instant{40}, Instant{50});
  CHECK(table.TakeDue(Instant{50}).stops.empty());
  CHECK(table.Ends().empty());
}

TEST_CASE("a run that the worker does not list is stopped before it ends") {
  // Guards against a late start after the run has been given up.
  RunTable table({});
  table.SetDesired({MakeDesired(/*stop=*/false, /*started=*/true)}, Instant{0});
  table.OnLists(MakeReply(false), Instant{10}, Instant{11});
  CHECK(table.Ends().empty());
  REQUIRE(table.TakeDue(Instant{12}).stops.size() == 1);
  table.OnStop(kRun, OrderResult::kDone, Instant{20});
  table.OnLists(MakeReply(false), Instant{15}, Instant{21});
  CHECK(table.Ends().empty());
  table.OnLists(MakeReply(false), Instant{22}, Instant{30});
  REQUIRE(table.Ends().size() == 1);
  CHECK(table.Ends()[0].end == workload::RunEnd::kStopped);
}

DesiredRun MakeDemanding(std::uint32_t index, std::int64_t accelerators) {
  DesiredRun run = MakeDesired();
  run.task.index = index;
  run.demand = {0, 0, accelerators};
  return run;
}

TEST_CASE("a run that no longer fits the worker's capacity is not started") {
  // Guards against exceeding a capacity that shrank after the run was ordered.
  RunTable table({});
  table.SetCapacity({0, 0, 4});
  table.SetDesired({MakeDemanding(0, 3), MakeDemanding(1, 2)}, Instant{0});
  REQUIRE(table.TakeDue(Instant{0}).starts.size() == 1);
  REQUIRE(table.Ends().size() == 1);
  CHECK(table.Ends()[0].task.index == 1);
  CHECK(table.Ends()[0].end == workload::RunEnd::kRefused);
}

TEST_CASE("a run that is being stopped still counts against the capacity") {
  // Guards against exceeding a capacity that shrank while a run is stopped.
  RunTable table({});
  table.SetCapacity({0, 0, 4});
  DesiredRun stopping = MakeDemanding(0, 3);
  stopping.stop = true;
  stopping.started = true;
  table.SetDesired({stopping, MakeDemanding(1, 2)}, Instant{0});
  CHECK(table.TakeDue(Instant{0}).starts.empty());
  REQUIRE(table.Ends().size() == 1);
  CHECK(table.Ends()[0].task.index == 1);
}

TEST_CASE("an ended run does not count against the capacity") {
  // Guards against refusing a run for which the worker has capacity.
  RunTable table({});
  table.SetCapacity({0, 0, 4});
  table.SetDesired({MakeDemanding(0, 3)}, Instant{0});
  table.TakeDue(Instant{0});
  table.OnStart({kTask, 3}, OrderResult::kDone, Instant{5});
  table.OnLists(MakeReply(false, {{1, kTask, 3, workload::RunEnd::kDone, ""}}),
                Instant{10}, Instant{10});
  table.SetDesired({MakeDemanding(0, 3), MakeDemanding(1, 2)}, Instant{20});
  CHECK(table.TakeDue(Instant{20}).starts.size() == 1);
}

TEST_CASE("an unanswered start that no longer fits is stopped, not repeated") {
  // Guards against a late start that exceeds a capacity that shrank meanwhile.
  RunTable table({});
  table.SetCapacity({0, 0, 4});
  table.SetDesired({MakeDemanding(0, 3)}, Instant{0});
  REQUIRE(table.TakeDue(Instant{0}).starts.size() == 1);
  table.OnStart(kRun, OrderResult::kNoAnswer, Instant{10});
  table.SetCapacity({0, 0, 2});
  const DueOrders due = table.TakeDue(Instant{500});
  CHECK(due.starts.empty());
  CHECK(due.stops.size() == 1);
  CHECK(table.Ends().empty());
}

TEST_CASE("a run that ended while answers were lost is not refused") {
  // Guards against repeating a task that is done: the repeated start is
  // rejected before the lists with the end arrive.
  RunTable table({});
  table.SetDesired({MakeDesired()}, Instant{0});
  REQUIRE(table.TakeDue(Instant{0}).starts.size() == 1);
  table.OnStart(kRun, OrderResult::kNoAnswer, Instant{400});
  REQUIRE(table.TakeDue(Instant{600}).starts.size() == 1);
  table.OnStart(kRun, OrderResult::kOutdated, Instant{610});
  CHECK(table.Ends().empty());
  table.OnLists(MakeReply(false), Instant{605}, Instant{615});
  CHECK(table.Ends().empty());
  CHECK(table.TakeDue(Instant{2'000}).starts.empty());
  table.OnLists(MakeReply(false, {{7, kTask, 3, workload::RunEnd::kDone, ""}}),
                Instant{2'010}, Instant{2'020});
  REQUIRE(table.Ends().size() == 1);
  CHECK(table.Ends()[0].end == workload::RunEnd::kDone);
}

TEST_CASE("an outdated start ends the run once newer lists lack it") {
  RunTable table({});
  table.SetDesired({MakeDesired()}, Instant{0});
  table.TakeDue(Instant{0});
  table.OnStart(kRun, OrderResult::kOutdated, Instant{10});
  table.OnLists(MakeReply(false), Instant{20}, Instant{30});
  REQUIRE(table.Ends().size() == 1);
  CHECK(table.Ends()[0].end == workload::RunEnd::kRefused);
}

TEST_CASE("a list requested just before the stop's answer ends no run") {
  // Guards against a late start that the stop ends after the list was made.
  RunTable table({});
  table.SetDesired({MakeDesired()}, Instant{0});
  table.TakeDue(Instant{0});
  table.OnStart(kRun, OrderResult::kNoAnswer, Instant{10});
  table.SetDesired({MakeDesired(true)}, Instant{150});
  REQUIRE(table.TakeDue(Instant{150}).stops.size() == 1);
  table.OnStop(kRun, OrderResult::kDone, Instant{151});
  table.OnLists(MakeReply(false), Instant{151}, Instant{152});
  CHECK(table.Ends().empty());
  table.OnLists(MakeReply(false), Instant{152}, Instant{153});
  CHECK(table.Ends().size() == 1);
}

TEST_CASE("a run is not refused while the worker lists only some ends") {
  // Guards against repeating a task that is done: its end is not listed yet.
  RunTable table({});
  table.SetDesired({MakeDesired()}, Instant{0});
  table.TakeDue(Instant{0});
  table.OnStart(kRun, OrderResult::kNoAnswer, Instant{10});
  table.TakeDue(Instant{150});
  table.OnStart(kRun, OrderResult::kOutdated, Instant{160});
  LeaseReply truncated = MakeReply(false);
  truncated.ends_truncated = true;
  table.OnLists(truncated, Instant{170}, Instant{180});
  CHECK(table.Ends().empty());
  table.OnLists(
      MakeReply(false, {{501, kTask, 3, workload::RunEnd::kDone, ""}}),
      Instant{190}, Instant{200});
  REQUIRE(table.Ends().size() == 1);
  CHECK(table.Ends()[0].end == workload::RunEnd::kDone);
}

TEST_CASE("a draining worker is sent no starts") {
  RunTable table({});
  table.SetDraining(true);
  table.SetDesired({MakeDesired()}, Instant{0});
  CHECK(table.TakeDue(Instant{0}).starts.empty());
  REQUIRE(table.Ends().size() == 1);
}

TEST_CASE("a run that a draining worker lists is not refused") {
  // Guards against a task that runs twice: a restarted agent is sent the order
  // of a run that its earlier process has started.
  RunTable table({});
  table.SetDraining(true);
  table.OnLists(MakeReply(true), Instant{0}, Instant{0});
  table.SetDesired({MakeDesired()}, Instant{10});
  const DueOrders due = table.TakeDue(Instant{10});
  CHECK(due.starts.empty());
  CHECK(due.stops.empty());
  CHECK(table.Ends().empty());
}

TEST_CASE("a stopped run ends only when the worker lists its end") {
  // Guards against reassigning resources that the run still uses.
  RunTable table({});
  table.SetDesired({MakeDesired(true, true)}, Instant{0});
  table.OnLists(MakeReply(true), Instant{0}, Instant{0});
  REQUIRE(table.TakeDue(Instant{0}).stops.size() == 1);
  table.OnStop(kRun, OrderResult::kDone, Instant{10});
  table.OnLists(MakeReply(true), Instant{20}, Instant{30});
  CHECK(table.Ends().empty());
  table.OnLists(
      MakeReply(false, {{7, kTask, 3, workload::RunEnd::kStopped, "c"}}),
      Instant{40}, Instant{50});
  REQUIRE(table.Ends().size() == 1);
  CHECK(table.Ends()[0].number == 7);
}

TEST_CASE("a run that nobody ordered is stopped after a delay") {
  RunTable table({});
  table.SetDesired({}, Instant{0});
  table.OnLists(MakeReply(true), Instant{0}, Instant{0});
  CHECK(table.TakeDue(Instant{500}).stops.empty());
  CHECK(table.TakeDue(Instant{1'100}).stops.size() == 1);
}

TEST_CASE("runs are not stopped before the first orders arrive") {
  // Guards against a new agent that stops all runs before it hears from a
  // planner.
  RunTable table({});
  table.OnLists(MakeReply(true), Instant{0}, Instant{0});
  CHECK(table.TakeDue(Instant{5'000}).stops.empty());
  table.SetDesired({MakeDesired(false, true)}, Instant{5'000});
  table.OnLists(MakeReply(true), Instant{5'010}, Instant{5'010});
  CHECK(table.TakeDue(Instant{9'000}).stops.empty());
}

TEST_CASE("all runs of a worker that exited are reported as lost") {
  RunTable table({});
  table.SetDesired({MakeDesired(false, true)}, Instant{0});
  table.OnLists(MakeReply(true), Instant{0}, Instant{0});
  table.OnWorkerGone(WorkerExit::kShutdown);
  REQUIRE(table.Ends().size() == 1);
  CHECK(table.Ends()[0].end == workload::RunEnd::kWorkerLost);
  CHECK(table.TakeDue(Instant{5'000}).starts.empty());
}

TEST_CASE("only runs that may have been executing count as crashed") {
  const auto end_after_crash = [](bool take_start, bool ended) {
    RunTable table({});
    table.SetDesired({MakeDesired()}, Instant{0});
    if (take_start) {
      CHECK(table.TakeDue(Instant{0}).starts.size() == 1);
    }
    if (ended) {
      table.OnLists(
          MakeReply(false, {{1, kTask, 3, workload::RunEnd::kFailed, ""}}),
          Instant{10}, Instant{10});
    }
    table.OnWorkerGone(WorkerExit::kCrash);
    REQUIRE(table.Ends().size() == 1);
    return table.Ends()[0].end;
  };
  CHECK(end_after_crash(true, false) == workload::RunEnd::kWorkerCrashed);
  CHECK(end_after_crash(false, false) == workload::RunEnd::kWorkerLost);
  CHECK(end_after_crash(true, true) == workload::RunEnd::kWorkerLost);
}

TEST_CASE("a start that did not reach the worker does not count as crashed") {
  // Guards against a job that fails for crashes before its starts.
  const auto end_after_result = [](OrderResult result) {
    RunTable table({});
    table.SetDesired({MakeDesired()}, Instant{0});
    CHECK(table.TakeDue(Instant{0}).starts.size() == 1);
    table.OnStart(kRun, result, Instant{10});
    table.OnWorkerGone(WorkerExit::kCrash);
    REQUIRE(table.Ends().size() == 1);
    return table.Ends()[0].end;
  };
  CHECK(end_after_result(OrderResult::kUnreachable) ==
        workload::RunEnd::kWorkerLost);
  CHECK(end_after_result(OrderResult::kNoAnswer) ==
        workload::RunEnd::kWorkerCrashed);
  CHECK(end_after_result(OrderResult::kDone) ==
        workload::RunEnd::kWorkerCrashed);
}

TEST_CASE("runs of a restarted worker end once it cannot start them again") {
  // Guards against starts for the earlier process that run in the new one while
  // the planner starts the task elsewhere.
  RunTable table({});
  table.SetDesired({MakeDesired()}, Instant{0});
  REQUIRE(table.TakeDue(Instant{0}).starts.size() == 1);
  table.OnStart(kRun, OrderResult::kNoAnswer, Instant{400});
  table.OnWorkerRestarted(WorkerExit::kCrash, Instant{500});
  CHECK(!table.AllEnded());
  const DueOrders due = table.TakeDue(Instant{500});
  CHECK(due.starts.empty());
  REQUIRE(due.stops.size() == 1);
  table.OnLists(MakeReply(true), Instant{505}, Instant{510});
  CHECK(!table.AllEnded());
  table.OnStop(kRun, OrderResult::kDone, Instant{520});
  table.OnLists(MakeReply(true), Instant{530}, Instant{535});
  CHECK(!table.AllEnded());
  SUBCASE("not listed any more") {
    table.OnLists(MakeReply(false), Instant{700}, Instant{705});
    REQUIRE(table.AllEnded());
    REQUIRE(table.Ends().size() == 1);
    CHECK(table.Ends()[0].end == workload::RunEnd::kWorkerCrashed);
  }
  SUBCASE("done in the new process before the stop") {
    table.OnLists(
        MakeReply(false, {{1, kTask, 3, workload::RunEnd::kDone, ""}}),
        Instant{700}, Instant{705});
    REQUIRE(table.AllEnded());
    table.OnWorkerGone(WorkerExit::kCrash);
    REQUIRE(table.Ends().size() == 1);
    CHECK(table.Ends()[0].end == workload::RunEnd::kDone);
    // The number counts the ends of the new process.
    CHECK(table.Ends()[0].number == 0);
  }
}

TEST_CASE("a run that is ordered after the worker has exited ends at once") {
  // Guards against a task that waits for the worker's restart.
  RunTable table({});
  table.SetDesired({}, Instant{0});
  table.OnWorkerGone(WorkerExit::kCrash);
  table.SetDesired({MakeDesired()}, Instant{10});
  CHECK(table.TakeDue(Instant{10}).starts.empty());
  REQUIRE(table.Ends().size() == 1);
  CHECK(table.Ends()[0].end == workload::RunEnd::kWorkerLost);
  table.Reset();
  table.SetDesired({MakeDesired()}, Instant{20});
  CHECK(table.TakeDue(Instant{20}).starts.size() == 1);
}

}  // namespace
}  // namespace carobrill::worker_agent
