#include <doctest/doctest.h>

#include <string>
#include <utility>

#include "packages/workload/record_codec.h"
#include "packages/workload/workload.pb.h"
#include "tests/workload/planner_fixture.h"

// Gangs whose runs fail: a run counts once, however many members report it.

namespace carobrill::workload {
namespace {

constexpr std::uint32_t kMembers = 4;
constexpr std::uint32_t kAttempts = 3;

TaskKey Member(std::uint32_t index) {
  return {JobId("j"), 0, 0, index};
}

/// Returns a gang with one member on each of kMembers workers.
Submission MakeGang() {
  StepSpec step = MakeStep(kMembers, {1'000, 1'000, 8});
  step.gang = true;
  Submission submission = MakeJob("j", step);
  submission.max_attempts = kAttempts;
  return submission;
}

const Job& JobOf(const PlannerFixture& fixture) {
  return fixture.planner.Jobs().at(JobId("j"));
}

const StepState& StepOf(const PlannerFixture& fixture) {
  return *JobOf(fixture).FindStep(0, 0);
}

void FailMembers(PlannerFixture& fixture,
                 std::uint32_t begin,
                 std::uint32_t end) {
  for (std::uint32_t i = begin; i < end; ++i) {
    fixture.EndRun(Member(i), RunEnd::kFailed);
  }
}

/// Plans after all retry delays have passed.
void PlanNextRun(PlannerFixture& fixture) {
  fixture.now.ms += 5'000;
  for (std::uint32_t worker = 0; worker < kMembers; ++worker) {
    fixture.ReportWorker(worker);
  }
  fixture.Plan();
}

/// Returns the stored progress as a version before the field last_failed_run
/// wrote it, with this count of failures.
std::string EncodeWithoutRun(const Job& job, std::uint32_t failures) {
  records::JobRecord record;
  REQUIRE(record.ParseFromString(EncodeProgress(job)));
  REQUIRE(record.gang_failures_size() == 1);
  record.mutable_gang_failures(0)->set_failures(failures);
  record.mutable_gang_failures(0)->clear_last_failed_run();
  return record.SerializeAsString();
}

void LoadStored(PlannerFixture& fixture,
                const Submission& submission,
                const std::string& progress) {
  Job job = Job::Of(submission);
  REQUIRE(DecodeProgress(progress, job));
  fixture.planner.Load(std::move(job), fixture.Time());
}

TEST_CASE("a run that fails for all members of a gang counts once") {
  // Guards against a job that fails after one run although it has attempts
  // left.
  PlannerFixture fixture(kMembers);
  fixture.planner.Submit(MakeGang());
  for (std::uint32_t run = 1; run <= kAttempts; ++run) {
    PlanNextRun(fixture);
    REQUIRE(fixture.ActiveTasks().size() == kMembers);
    CHECK(fixture.ActiveTasks().at(Member(0)).run == run);
    FailMembers(fixture, 0, kMembers);
    CHECK(StepOf(fixture).gang_failures == run);
    CHECK((JobOf(fixture).phase == JobPhase::kFailed) == (run == kAttempts));
  }
  PlanNextRun(fixture);
  CHECK(fixture.ActiveTasks().empty());
}

TEST_CASE("runs that fail for different members of a gang add up") {
  // Guards against a gang that is started again after its last attempt.
  PlannerFixture fixture(kMembers);
  fixture.planner.Submit(MakeGang());
  for (std::uint32_t run = 1; run <= kAttempts; ++run) {
    PlanNextRun(fixture);
    REQUIRE(fixture.ActiveTasks().size() == kMembers);
    for (std::uint32_t i = 0; i < kMembers; ++i) {
      fixture.EndRun(Member(i),
                     i == run ? RunEnd::kFailed : RunEnd::kGangBroken);
    }
  }
  CHECK(JobOf(fixture).phase == JobPhase::kFailed);
}

TEST_CASE("a gang is retried at once after the first run that fails") {
  // Guards against a retry delay that grows with the number of members.
  PlannerFixture fixture(kMembers);
  fixture.planner.Submit(MakeGang());
  fixture.Plan();
  FailMembers(fixture, 0, kMembers);
  fixture.Plan();
  REQUIRE(fixture.ActiveTasks().contains(Member(0)));
  CHECK(fixture.ActiveTasks().at(Member(0)).run == 2);
}

TEST_CASE("a new planner does not count the same run of a gang again") {
  // Guards against a job that fails because a takeover fell between the reports
  // of the members.
  PlannerFixture first(kMembers);
  first.planner.Submit(MakeGang());
  first.Plan();
  FailMembers(first, 0, 1);
  PlannerFixture second(kMembers);
  LoadStored(second, MakeGang(), EncodeProgress(JobOf(first)));
  FailMembers(second, 1, 2);
  PlannerFixture third(kMembers);
  LoadStored(third, MakeGang(), EncodeProgress(JobOf(second)));
  FailMembers(third, 2, kMembers);
  CHECK(StepOf(third).gang_failures == 1);
  CHECK(JobOf(third).phase != JobPhase::kFailed);
  PlanNextRun(third);
  CHECK(third.ActiveTasks().at(Member(0)).run == 2);
}

TEST_CASE("a run of which an earlier version counted members counts once") {
  // Guards against a job that fails after an upgrade amid the reports of a run.
  PlannerFixture first(kMembers);
  first.planner.Submit(MakeGang());
  first.Plan();
  FailMembers(first, 0, 2);
  PlannerFixture second(kMembers);
  LoadStored(second, MakeGang(), EncodeWithoutRun(JobOf(first), 2));
  CHECK(StepOf(second).gang_failures == 1);
  FailMembers(second, 2, kMembers);
  CHECK(StepOf(second).gang_failures == 1);
  CHECK(JobOf(second).phase != JobPhase::kFailed);
}

TEST_CASE("a run at work during an upgrade still counts if it fails") {
  // Guards against a gang that gets more attempts through an upgrade.
  PlannerFixture first(kMembers);
  first.planner.Submit(MakeGang());
  first.Plan();
  FailMembers(first, 0, kMembers);
  PlanNextRun(first);
  PlannerFixture second(kMembers);
  LoadStored(second, MakeGang(), EncodeWithoutRun(JobOf(first), 1));
  CHECK(StepOf(second).gang_failures == 1);
  FailMembers(second, 0, kMembers);
  CHECK(StepOf(second).gang_failures == 2);
  PlanNextRun(second);
  FailMembers(second, 0, kMembers);
  CHECK(JobOf(second).phase == JobPhase::kFailed);
}

TEST_CASE("a gang that fails on several workers counts against one of them") {
  // Guards against workers that are avoided because of a faulty gang.
  PlannerFixture fixture(kMembers);
  fixture.planner.Submit(MakeGang());
  fixture.Plan();
  FailMembers(fixture, 0, kMembers);
  std::uint32_t failures = 0;
  for (const auto& [agent, worker] : fixture.planner.Workers()) {
    failures += worker.consecutive_failures;
  }
  CHECK(failures == 1);
}

}  // namespace
}  // namespace carobrill::workload
