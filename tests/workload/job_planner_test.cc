#include "packages/workload/job_planner.h"

#include <doctest/doctest.h>

#include "packages/workload/job_objective.h"
#include "packages/workload/record_codec.h"
#include "tests/workload/planner_fixture.h"

namespace carobrill::workload {
namespace {

TaskKey FirstStepTask(const std::string& job, std::uint32_t index) {
  return {JobId(job), 0, 0, index};
}

TEST_CASE("max_per_worker also limits tasks placed in one planning pass") {
  // Guards against counting only the tasks that ran before the planning pass.
  PlannerFixture fixture(2);
  StepSpec step = MakeStep(5, {1'000, 1'000, 0});
  step.max_per_worker = 2;
  fixture.planner.Submit(MakeJob("j", step));
  fixture.Plan();
  std::map<WorkerIncarnation, int> per_worker;
  for (const auto& [key, task] : fixture.ActiveTasks()) {
    ++per_worker[task.worker];
  }
  CHECK(fixture.ActiveTasks().size() == 4);
  for (const auto& [incarnation, count] : per_worker) {
    CHECK(count == 2);
  }
}

TEST_CASE("runs of an earlier incarnation are lost and never ordered again") {
  // Guards against ordering the runs of a worker's previous incarnation from a
  // restarted worker.
  PlannerFixture fixture(1);
  fixture.planner.Submit(MakeJob("j", MakeStep(1, {1'000, 1'000, 1})));
  fixture.Plan();
  REQUIRE(fixture.ActiveTasks().size() == 1);
  fixture.ReportWorker(0, /*born_ms=*/2);
  const auto orders = fixture.planner.Orders(fixture.planner.NextCommit());
  CHECK(orders.empty());
  fixture.Plan();
  REQUIRE(fixture.ActiveTasks().size() == 1);
  CHECK(fixture.ActiveTasks().begin()->second.run == 2);
  CHECK(fixture.ActiveTasks().begin()->second.worker.born_ms == 2);
}

TEST_CASE("an unreachable worker keeps its runs until its lease has expired") {
  // Guards against starting a second run while the first one still executes.
  PlannerFixture fixture(2);
  fixture.planner.Submit(MakeJob("j", MakeStep(1, {1'000, 1'000, 8})));
  fixture.Plan();
  const auto first = fixture.ActiveTasks().begin()->second.worker;
  const std::uint32_t unreachable =
      first.agent.value == PlannerFixture::WorkerName(0) ? 0 : 1;
  fixture.MarkUnreachable(unreachable);
  fixture.now.ms += 5'900;
  fixture.ReportWorker(1 - unreachable);
  fixture.Plan();
  CHECK(fixture.ActiveTasks().begin()->second.worker == first);
  fixture.now.ms += 200;
  fixture.ReportWorker(1 - unreachable);
  fixture.Plan();
  CHECK(fixture.ActiveTasks().begin()->second.worker != first);
  CHECK(fixture.ActiveTasks().begin()->second.run == 2);
}

TEST_CASE("runs end with the lease if the restarted agent finds no worker") {
  // Guards against a job that waits for ever after its worker and the agent of
  // that worker were lost together.
  PlannerFixture fixture(2);
  fixture.planner.Submit(MakeJob("j", MakeStep(1, {1'000, 1'000, 8})));
  fixture.Plan();
  const auto first = fixture.ActiveTasks().begin()->second.worker;
  const std::uint32_t lost =
      first.agent.value == PlannerFixture::WorkerName(0) ? 0 : 1;
  fixture.now.ms += 5'900;
  fixture.ReportWorker(1 - lost);
  fixture.ReportWithoutWorker(lost);
  fixture.Plan();
  CHECK(fixture.ActiveTasks().begin()->second.worker == first);
  fixture.now.ms += 200;
  fixture.ReportWorker(1 - lost);
  fixture.ReportWithoutWorker(lost);
  fixture.Plan();
  REQUIRE(!fixture.ActiveTasks().empty());
  CHECK(fixture.ActiveTasks().begin()->second.worker != first);
  CHECK(fixture.ActiveTasks().begin()->second.run == 2);
}

TEST_CASE("a gang starts completely, with one run number, or not at all") {
  // Guards against gang members that wait for others that never start.
  PlannerFixture fixture(2);
  StepSpec step = MakeStep(3, {1'000, 1'000, 8});
  step.gang = true;
  fixture.planner.Submit(MakeJob("wide", step));
  fixture.Plan();
  CHECK(fixture.ActiveTasks().empty());
  step.tasks = 2;
  fixture.planner.Submit(MakeJob("fits", step));
  fixture.Plan();
  REQUIRE(fixture.ActiveTasks().size() == 2);
  for (const auto& [key, task] : fixture.ActiveTasks()) {
    CHECK(task.run == 1);
  }
  fixture.EndRun(FirstStepTask("fits", 0), RunEnd::kFailed);
  CHECK(fixture.ActiveTasks().size() == 1);
  CHECK(fixture.ActiveTasks().begin()->second.phase == TaskPhase::kStopping);
  fixture.EndRun(FirstStepTask("fits", 1), RunEnd::kGangBroken);
  fixture.now.ms += 500;
  fixture.ReportWorker(0);
  fixture.ReportWorker(1);
  fixture.Plan();
  REQUIRE(fixture.ActiveTasks().size() == 2);
  for (const auto& [key, task] : fixture.ActiveTasks()) {
    CHECK(task.run == 2);
  }
}

TEST_CASE("urgent jobs within the guarantee preempt other jobs") {
  // Guards against a guaranteed job that waits until other jobs end by
  // themselves.
  const std::int64_t wait_ms = JobPlannerSettings{}.max_guarantee_wait_ms;
  // The shortest time in which a guarantee has to be reclaimed is 2.7 s; stops
  // and starts take up to 1.3 s of it.
  CHECK(wait_ms <= 2'700 - 1'300);
  PlannerFixture fixture(1);
  fixture.planner.SetGuarantees({{AccountId("a"), 8}});
  fixture.planner.Submit(MakeJob("long", MakeStep(1, {1'000, 1'000, 8})));
  fixture.Plan();
  auto urgent = MakeJob("urgent", MakeStep(1, {1'000, 1'000, 8}));
  urgent.priority = 0;
  fixture.planner.Submit(urgent);
  // The job waits for a limited time for capacity to become free by itself.
  fixture.Plan();
  fixture.now.ms += wait_ms - 1;
  fixture.ReportWorker(0);
  fixture.planner.Plan(fixture.Time());
  CHECK(fixture.ActiveTasks().at(FirstStepTask("long", 0)).phase ==
        TaskPhase::kRunning);
  fixture.now.ms += 1;
  fixture.ReportWorker(0);
  fixture.planner.Plan(fixture.Time());
  CHECK(fixture.ActiveTasks().at(FirstStepTask("long", 0)).phase ==
        TaskPhase::kStopping);
  fixture.EndRun(FirstStepTask("long", 0), RunEnd::kStopped);
  fixture.Plan();
  CHECK(fixture.ActiveTasks().contains(FirstStepTask("urgent", 0)));
  CHECK_FALSE(fixture.ActiveTasks().contains(FirstStepTask("long", 0)));
}

TEST_CASE("a job fails after max_attempts and starts no further runs") {
  PlannerFixture fixture(2);
  fixture.planner.Submit(MakeJob("j", MakeStep(1, {1'000, 1'000, 1})));
  for (int attempt = 0; attempt < 2; ++attempt) {
    fixture.now.ms += 5'000;
    fixture.ReportWorker(0);
    fixture.ReportWorker(1);
    fixture.Plan();
    REQUIRE(fixture.ActiveTasks().size() == 1);
    fixture.EndRun(FirstStepTask("j", 0), RunEnd::kFailed);
  }
  CHECK(fixture.planner.Jobs().at(JobId("j")).phase == JobPhase::kFailed);
  fixture.now.ms += 5'000;
  fixture.ReportWorker(0);
  fixture.Plan();
  CHECK(fixture.ActiveTasks().empty());
}

TEST_CASE("an end that is reported twice is counted once") {
  PlannerFixture fixture(1);
  fixture.planner.Submit(MakeJob("j", MakeStep(2, {1'000, 1'000, 1})));
  fixture.Plan();
  const auto active = fixture.ActiveTasks();
  const RunReport report{FirstStepTask("j", 0), 1, RunEnd::kFailed, {}};
  const InstanceId agent = active.begin()->second.worker.agent;
  fixture.planner.ApplyRunReport(agent, report, fixture.Time());
  fixture.planner.ApplyRunReport(agent, report, fixture.Time());
  const auto& job = fixture.planner.Jobs().at(JobId("j"));
  CHECK(job.FindStep(0, 0)->tasks.at(0).failures == 1);
  CHECK(job.phase == JobPhase::kRunning);
}

TEST_CASE(
    "ObserveWorker returns true only when a report can change a decision") {
  // Guards against a planning pass for each of 900 reports per second.
  PlannerFixture fixture(1);
  CHECK_FALSE(fixture.ReportWorker(0));
  fixture.MarkUnreachable(0);
  CHECK(fixture.ReportWorker(0));
  CHECK(fixture.ReportWorker(0, /*born_ms=*/2));
  CHECK_FALSE(fixture.ReportWorker(0, /*born_ms=*/2));
  CHECK_FALSE(fixture.planner.HasChanges());
  fixture.planner.Submit(MakeJob("j", MakeStep(1, {1'000, 1'000, 1})));
  fixture.planner.Plan(fixture.Time());
  CHECK(fixture.planner.HasChanges());
  fixture.planner.TakeChanges();
  const auto active = fixture.ActiveTasks();
  const RunningTask seen{active.begin()->first, 1, 5, {}, 0};
  fixture.planner.UpdateRunning(InstanceId(PlannerFixture::WorkerName(0)),
                                {seen}, fixture.now);
  CHECK(fixture.planner.HasChanges());
  fixture.planner.TakeChanges();
  fixture.planner.UpdateRunning(InstanceId(PlannerFixture::WorkerName(0)),
                                {seen}, fixture.now);
  CHECK_FALSE(fixture.planner.HasChanges());
}

TEST_CASE("an occurrence does not start before it is due") {
  PlannerFixture fixture(1);
  auto job = MakeJob("j", MakeStep(1, {1'000, 1'000, 1}));
  job.spec.repeats = 2;
  job.spec.first_due = fixture.now.After(500);
  job.spec.interval_ms = 1'000;
  fixture.planner.Submit(job);
  fixture.Plan();
  CHECK(fixture.ActiveTasks().empty());
  fixture.now.ms += 500;
  fixture.Plan();
  CHECK(fixture.ActiveTasks().size() == 1);
  fixture.now.ms += 1'000;
  fixture.ReportWorker(0);
  fixture.Plan();
  CHECK(fixture.ActiveTasks().size() == 2);
}

TEST_CASE("a task without progress is stopped; a finished gang member is not") {
  // Guards against stopping a gang because its faster members wait for others.
  for (const std::uint32_t percent : {40U, 100U}) {
    CAPTURE(percent);
    PlannerFixture fixture(2);
    StepSpec step = MakeStep(2, {1'000, 1'000, 8});
    step.gang = true;
    fixture.planner.Submit(MakeJob("j", step));
    fixture.Plan();
    for (const auto& [key, task] : fixture.ActiveTasks()) {
      fixture.planner.UpdateRunning(
          task.worker.agent, {{key, task.run, percent, {}, 0}}, fixture.now);
    }
    fixture.now.ms += 5'000;
    fixture.ReportWorker(0);
    fixture.ReportWorker(1);
    // The workers' newest lists show no progress.
    for (const auto& [key, task] : fixture.ActiveTasks()) {
      fixture.planner.UpdateRunning(
          task.worker.agent, {{key, task.run, percent, {}, 0}}, fixture.now);
    }
    fixture.planner.Plan(fixture.Time());
    for (const auto& [key, task] : fixture.ActiveTasks()) {
      CHECK((task.phase == TaskPhase::kStopping) == (percent < 100));
    }
  }
}

TEST_CASE("a task on a silent worker does not count as stalled") {
  // Guards against stopping running work because the worker does not answer
  // its agent for a while.
  PlannerFixture fixture(1);
  fixture.planner.Submit(MakeJob("j", MakeStep(1, {1'000, 1'000, 1})));
  fixture.Plan();
  const TaskKey key = FirstStepTask("j", 0);
  const InstanceId agent(PlannerFixture::WorkerName(0));
  const Instant read_at = fixture.now;
  fixture.planner.UpdateRunning(agent, {{key, 1, 40, {}, 0}}, read_at);
  // The agent answers, but repeats the list that it has read before.
  fixture.now.ms += 5'000;
  fixture.ReportWorker(0);
  fixture.planner.UpdateRunning(agent, {{key, 1, 40, {}, 0}}, read_at);
  fixture.planner.Plan(fixture.Time());
  CHECK(fixture.ActiveTasks().at(key).phase == TaskPhase::kRunning);
  // The worker answers again: the task has worked on.
  fixture.planner.UpdateRunning(agent, {{key, 1, 90, {}, 0}}, fixture.now);
  fixture.planner.Plan(fixture.Time());
  CHECK(fixture.ActiveTasks().at(key).phase == TaskPhase::kRunning);
}

TEST_CASE("a new planner does not treat loaded runs as stalled") {
  // Guards against stopping all running tasks at each failover of the planner.
  PlannerFixture fixture(1);
  StepSpec step = MakeStep(1, {1'000, 1'000, 1});
  fixture.planner.Submit(MakeJob("j", step));
  fixture.Plan();
  PlannerFixture next(1);
  next.now.ms = 1'000'000;
  next.planner.Load(fixture.planner.Jobs().at(JobId("j")), next.Time());
  next.ReportWorker(0);
  next.planner.Plan(next.Time());
  REQUIRE(next.ActiveTasks().size() == 1);
  CHECK(next.ActiveTasks().begin()->second.phase == TaskPhase::kRunning);
}

TEST_CASE("a job does not expire before its end is stored") {
  // Guards against a job that is removed while only this planner knows its end.
  PlannerFixture fixture(1);
  const Submission job = MakeJob("j", MakeStep(1, {1'000, 1'000, 0}));
  fixture.planner.Submit(job);
  fixture.planner.Cancel(job.id, fixture.Time());
  const Instant expired = fixture.now.After(JobPlannerSettings{}.retention_ms);
  CHECK(fixture.planner.ExpiredJobs(expired).empty());
  fixture.planner.TakeChanges();
  CHECK(fixture.planner.ExpiredJobs(expired) == std::vector{job.id});
  CHECK(fixture.planner.ExpiredJobs(expired.After(-1)).empty());
}

TEST_CASE("a step of the wall clock does not end the retention of a job") {
  // Guards against an ended job that a repeated submission starts once more.
  const JobPlannerSettings settings;
  const Submission submission = MakeJob("j", MakeStep(1, {1'000, 1'000, 0}));
  PlannerFixture fixture(1);
  fixture.planner.Submit(submission);
  TransitionTime time = fixture.Time();
  SUBCASE("before the end") {
    time.wall.ms -= 10 * settings.retention_ms;
  }
  SUBCASE("after the end") {}
  fixture.planner.Cancel(submission.id, time);
  fixture.planner.TakeChanges();
  const Instant expires = time.now.After(settings.retention_ms);
  CHECK(fixture.planner.ExpiredJobs(expires.After(-1)).empty());
  CHECK(fixture.planner.ExpiredJobs(expires).size() == 1);
  for (const std::int64_t step_ms :
       {10 * settings.retention_ms, -10 * settings.retention_ms}) {
    CAPTURE(step_ms);
    const TransitionTime loaded{Instant{5'000}, time.wall.After(step_ms)};
    PlannerFixture next(1);
    next.planner.Load(fixture.planner.Jobs().at(submission.id), loaded);
    const Instant earliest = loaded.now.After(settings.min_loaded_retention_ms);
    CHECK(next.planner.ExpiredJobs(earliest.After(-1)).empty());
    const Instant latest = loaded.now.After(settings.retention_ms);
    CHECK(next.planner.ExpiredJobs(latest).size() == 1);
  }
}

TEST_CASE("stored progress is decoded unchanged") {
  PlannerFixture fixture(2);
  StepSpec step = MakeStep(2, {1'000, 1'000, 1});
  step.gang = true;
  step.checkpointable = true;
  step.depends_on = {};
  auto submission = MakeJob("0123456789abcdef", step);
  fixture.planner.Submit(submission);
  fixture.Plan();
  const Job& job = fixture.planner.Jobs().at(submission.id);
  auto read = DecodeSubmission(submission.id, EncodeSubmission(submission));
  REQUIRE(read);
  Job copy = Job::Of(*read);
  REQUIRE(DecodeProgress(EncodeProgress(job), copy));
  CHECK(copy.phase == JobPhase::kRunning);
  for (std::uint32_t i = 0; i < 2; ++i) {
    const TaskState& task = copy.FindStep(0, 0)->tasks.at(i);
    CHECK(task.run == 1);
    CHECK(task.phase == TaskPhase::kRunning);
    CHECK(task.worker == job.FindStep(0, 0)->tasks.at(i).worker);
  }
  CHECK(copy.submission.spec.payload == "work");
}

TEST_CASE("malformed progress is rejected and leaves the job unchanged") {
  Job job = Job::Of(MakeJob("j", MakeStep(1, {1, 1, 0})));
  const auto error = ErrorFrom<RecordError>(
      [&] { return DecodeProgress("\xff\xff\xff", job); });
  CHECK(error.has_value());
  CHECK(job.phase == JobPhase::kQueued);
}

}  // namespace
}  // namespace carobrill::workload
