#include "packages/workload/job_planner.h"

#include <doctest/doctest.h>

#include "packages/workload/job_objective.h"
#include "packages/workload/record_codec.h"
#include "tests/workload/planner_fixture.h"

namespace carobrill::workload {
namespace {

TaskKey Task(const std::string& job, std::uint32_t index) {
  return {JobId(job), 0, 0, index};
}

TEST_CASE("a limit per worker holds for tasks placed in one run") {
  // Guards against counting only the tasks that ran before the planner's run.
  World world(2);
  StepSpec step = Step(5, {1'000, 1'000, 0});
  step.max_per_worker = 2;
  world.planner.Submit(JobOf("j", step));
  world.Plan();
  std::map<WorkerLife, int> per_worker;
  for (const auto& [key, task] : world.Held()) {
    ++per_worker[task.worker];
  }
  CHECK(world.Held().size() == 4);
  for (const auto& [life, count] : per_worker) {
    CHECK(count == 2);
  }
}

TEST_CASE("runs of an earlier life are lost and never ordered again") {
  // Guards against a new life of a worker that is given the old one's runs.
  World world(1);
  world.planner.Submit(JobOf("j", Step(1, {1'000, 1'000, 1})));
  world.Plan();
  REQUIRE(world.Held().size() == 1);
  world.Answer(0, /*born_ms=*/2);
  const auto orders = world.planner.Orders(world.planner.NextCommit());
  CHECK(orders.empty());
  world.Plan();
  REQUIRE(world.Held().size() == 1);
  CHECK(world.Held().begin()->second.run == 2);
  CHECK(world.Held().begin()->second.worker.born_ms == 2);
}

TEST_CASE("a silent worker keeps its runs until its lease has surely ended") {
  // Guards against a second run beside one that still goes on.
  World world(2);
  world.planner.Submit(JobOf("j", Step(1, {1'000, 1'000, 8})));
  world.Plan();
  const auto first = world.Held().begin()->second.worker;
  const std::uint32_t silent = first.agent.value == World::Name(0) ? 0 : 1;
  world.Silence(silent);
  world.now.ms += 5'900;
  world.Answer(1 - silent);
  world.Plan();
  CHECK(world.Held().begin()->second.worker == first);
  world.now.ms += 200;
  world.Answer(1 - silent);
  world.Plan();
  CHECK(world.Held().begin()->second.worker != first);
  CHECK(world.Held().begin()->second.run == 2);
}

TEST_CASE("a gang starts whole, with one run number, or not at all") {
  // Guards against members that wait for others that never come.
  World world(2);
  StepSpec step = Step(3, {1'000, 1'000, 8});
  step.gang = true;
  world.planner.Submit(JobOf("wide", step));
  world.Plan();
  CHECK(world.Held().empty());
  step.tasks = 2;
  world.planner.Submit(JobOf("fits", step));
  world.Plan();
  REQUIRE(world.Held().size() == 2);
  for (const auto& [key, task] : world.Held()) {
    CHECK(task.run == 1);
  }
  world.End(Task("fits", 0), RunEnd::kFailed);
  CHECK(world.Held().size() == 1);
  CHECK(world.Held().begin()->second.phase == TaskPhase::kStopping);
  world.End(Task("fits", 1), RunEnd::kGangBroken);
  world.now.ms += 500;
  world.Answer(0);
  world.Answer(1);
  world.Plan();
  REQUIRE(world.Held().size() == 2);
  for (const auto& [key, task] : world.Held()) {
    CHECK(task.run == 2);
  }
}

TEST_CASE("urgent work within its guarantee stops other work for its room") {
  // Guards against a guarantee that waits for others to end by themselves.
  World world(1);
  world.planner.SetGuarantees({{AccountId("a"), 8}});
  world.planner.Submit(JobOf("long", Step(1, {1'000, 1'000, 8})));
  world.Plan();
  auto urgent = JobOf("urgent", Step(1, {1'000, 1'000, 8}));
  urgent.priority = 0;
  world.planner.Submit(urgent);
  // Room that becomes free by itself is waited for, but not for long.
  world.Plan();
  world.now.ms += 1'000;
  world.Answer(0);
  world.planner.Plan(world.Time());
  CHECK(world.Held().at(Task("long", 0)).phase == TaskPhase::kStopping);
  world.End(Task("long", 0), RunEnd::kStopped);
  world.Plan();
  CHECK(world.Held().contains(Task("urgent", 0)));
  CHECK_FALSE(world.Held().contains(Task("long", 0)));
}

TEST_CASE("a job fails after its allowed attempts and starts no more") {
  World world(2);
  world.planner.Submit(JobOf("j", Step(1, {1'000, 1'000, 1})));
  for (int attempt = 0; attempt < 2; ++attempt) {
    world.now.ms += 5'000;
    world.Answer(0);
    world.Answer(1);
    world.Plan();
    REQUIRE(world.Held().size() == 1);
    world.End(Task("j", 0), RunEnd::kFailed);
  }
  CHECK(world.planner.Jobs().at(JobId("j")).phase == JobPhase::kFailed);
  world.now.ms += 5'000;
  world.Answer(0);
  world.Plan();
  CHECK(world.Held().empty());
}

TEST_CASE("an end that is reported twice counts once") {
  World world(1);
  world.planner.Submit(JobOf("j", Step(2, {1'000, 1'000, 1})));
  world.Plan();
  const auto held = world.Held();
  const RunReport report{Task("j", 0), 1, RunEnd::kFailed, {}};
  const InstanceId agent = held.begin()->second.worker.agent;
  world.planner.ObserveEnd(agent, report, world.Time());
  world.planner.ObserveEnd(agent, report, world.Time());
  const auto& job = world.planner.Jobs().at(JobId("j"));
  CHECK(job.occurrences[0].steps[0].tasks[0].failures == 1);
  CHECK(job.phase == JobPhase::kRunning);
}

TEST_CASE("a report is news only when it can change a decision") {
  // Guards against a run of the planner for each of 900 reports a second.
  World world(1);
  CHECK_FALSE(world.Answer(0));
  world.Silence(0);
  CHECK(world.Answer(0));
  CHECK(world.Answer(0, /*born_ms=*/2));
  CHECK_FALSE(world.Answer(0, /*born_ms=*/2));
  CHECK_FALSE(world.planner.HasChanges());
  world.planner.Submit(JobOf("j", Step(1, {1'000, 1'000, 1})));
  world.planner.Plan(world.Time());
  CHECK(world.planner.HasChanges());
  world.planner.TakeChanges();
  const auto held = world.Held();
  const RunningTask seen{held.begin()->first, 1, 5, {}, 0};
  world.planner.ObserveRunning(InstanceId(World::Name(0)), {seen}, world.now);
  CHECK(world.planner.HasChanges());
  world.planner.TakeChanges();
  world.planner.ObserveRunning(InstanceId(World::Name(0)), {seen}, world.now);
  CHECK_FALSE(world.planner.HasChanges());
}

TEST_CASE("an occurrence does not start before it is due") {
  World world(1);
  auto job = JobOf("j", Step(1, {1'000, 1'000, 1}));
  job.spec.repeats = 2;
  job.spec.first_due = world.now.After(500);
  job.spec.interval_ms = 1'000;
  world.planner.Submit(job);
  world.Plan();
  CHECK(world.Held().empty());
  world.now.ms += 500;
  world.Plan();
  CHECK(world.Held().size() == 1);
  world.now.ms += 1'000;
  world.Answer(0);
  world.Plan();
  CHECK(world.Held().size() == 2);
}

TEST_CASE("a task without progress is stopped; a finished member is not") {
  // Guards against stopping a gang because its quick members wait for others.
  for (const std::uint32_t percent : {40U, 100U}) {
    CAPTURE(percent);
    World world(2);
    StepSpec step = Step(2, {1'000, 1'000, 8});
    step.gang = true;
    world.planner.Submit(JobOf("j", step));
    world.Plan();
    for (const auto& [key, task] : world.Held()) {
      world.planner.ObserveRunning(
          task.worker.agent, {{key, task.run, percent, {}, 0}}, world.now);
    }
    world.now.ms += 5'000;
    world.Answer(0);
    world.Answer(1);
    world.planner.Plan(world.Time());
    for (const auto& [key, task] : world.Held()) {
      CHECK((task.phase == TaskPhase::kStopping) == (percent < 100));
    }
  }
}

TEST_CASE("a new planner does not take runs that it has loaded for stalled") {
  // Guards against stopping all running work at each change of planner.
  World world(1);
  StepSpec step = Step(1, {1'000, 1'000, 1});
  world.planner.Submit(JobOf("j", step));
  world.Plan();
  World next(1);
  next.now.ms = 1'000'000;
  next.planner.Load(world.planner.Jobs().at(JobId("j")), next.now);
  next.Answer(0);
  next.planner.Plan(next.Time());
  REQUIRE(next.Held().size() == 1);
  CHECK(next.Held().begin()->second.phase == TaskPhase::kRunning);
}

TEST_CASE("stored progress is read back as it was") {
  World world(2);
  StepSpec step = Step(2, {1'000, 1'000, 1});
  step.gang = true;
  step.checkpointable = true;
  step.depends_on = {};
  auto submission = JobOf("0123456789abcdef", step);
  world.planner.Submit(submission);
  world.Plan();
  const Job& job = world.planner.Jobs().at(submission.id);
  auto read = DecodeSubmission(submission.id, EncodeSubmission(submission));
  REQUIRE(read);
  Job copy = Job::Of(*read);
  REQUIRE(DecodeProgress(EncodeProgress(job), copy));
  CHECK(copy.phase == JobPhase::kRunning);
  for (std::uint32_t i = 0; i < 2; ++i) {
    const TaskState& task = copy.occurrences[0].steps[0].tasks[i];
    CHECK(task.run == 1);
    CHECK(task.phase == TaskPhase::kRunning);
    CHECK(task.worker == job.occurrences[0].steps[0].tasks[i].worker);
  }
  CHECK(copy.submission.spec.payload == "work");
}

TEST_CASE("progress of another form is refused and changes nothing") {
  Job job = Job::Of(JobOf("j", Step(1, {1, 1, 0})));
  const auto error = ErrorFrom<RecordError>(
      [&] { return DecodeProgress("\xff\xff\xff", job); });
  CHECK(error.has_value());
  CHECK(job.phase == JobPhase::kQueued);
}

}  // namespace
}  // namespace carobrill::workload
