#include <doctest/doctest.h>

#include <string>
#include <utility>

#include "packages/workload/record_codec.h"
#include "packages/workload/workload.pb.h"
#include "tests/workload/planner_fixture.h"

// Records of jobs of which many tasks have run.

namespace carobrill::workload {
namespace {

/// The longest record that the platform's log takes.
constexpr std::size_t kLongestRecord = 262'144;
constexpr std::uint32_t kTasks = 500;
constexpr std::uint32_t kRepeats = 60;

/// Returns a job of which the tasks of the first `done` occurrences and every
/// other task of the next one have completed, and the others of that one run.
Job MakeScheduledJob(std::uint32_t done) {
  Submission submission = MakeJob("j", MakeStep(kTasks, {1'000, 1'000, 0}));
  submission.spec.repeats = kRepeats;
  Job job = Job::Of(std::move(submission));
  job.phase = JobPhase::kRunning;
  for (std::uint32_t k = 0; k <= done; ++k) {
    for (std::uint32_t i = 0; i < kTasks; ++i) {
      const TaskKey key{job.submission.id, k, 0, i};
      if (k < done || i % 2 == 0) {
        job.Complete(k, 0, {i, i + 1});
        job.Release(key);
        continue;
      }
      TaskState& task = job.Open(key);
      task.run = 1;
      task.phase = TaskPhase::kRunning;
      task.worker = {InstanceId("a"), WorkerId("w"), 1};
    }
  }
  return job;
}

Job Restore(const Job& job, const std::string& progress) {
  Job restored = Job::Of(job.submission);
  REQUIRE(DecodeProgress(progress, restored));
  return restored;
}

/// Returns a copy of the state of a task; that of a completed one has its
/// phase.
TaskState StateOf(Job& job, std::uint32_t k, std::uint32_t i) {
  TaskState state;
  const StepState* step = job.FindStep(k, 0);
  if (job.IsStepDone(k, 0) || (step != nullptr && step->done.Contains(i))) {
    state.phase = TaskPhase::kDone;
  } else if (const TaskState* task = job.Find({job.submission.id, k, 0, i})) {
    state = *task;
  }
  return state;
}

bool SamePhases(Job a, Job b) {
  for (std::uint32_t k = 0; k < kRepeats; ++k) {
    for (std::uint32_t i = 0; i < kTasks; ++i) {
      const TaskState x = StateOf(a, k, i);
      const TaskState y = StateOf(b, k, i);
      if (x.phase != y.phase || x.worker != y.worker ||
          (x.HoldsResources() && x.run != y.run)) {
        return false;
      }
    }
  }
  return true;
}

TEST_CASE("the progress of a job with many completed tasks fits a record") {
  // Guards against a job whose record the log refuses, so that no job goes on.
  for (const std::uint32_t done : {1U, 10U, 19U, 20U, 40U, kRepeats - 1}) {
    CAPTURE(done);
    const Job job = MakeScheduledJob(done);
    const std::string progress = EncodeProgress(job);
    CHECK(progress.size() < kLongestRecord);
    const Job restored = Restore(job, progress);
    CHECK(SamePhases(job, restored));
    // A later planner stores it in the same way.
    CHECK(EncodeProgress(restored).size() < kLongestRecord);
    CHECK(SamePhases(job, Restore(job, EncodeProgress(restored))));
  }
}

TEST_CASE("a record with thousands of checkpoints leaves out those of runs") {
  // Guards against a job whose record the log refuses, so that no job goes on.
  Job job = Job::Of(MakeJob("j", MakeStep(kMaxTasksAtWork, {50, 100, 0})));
  const std::string checkpoint(64, 'c');
  for (std::uint32_t i = 0; i < kMaxTasksAtWork; ++i) {
    TaskState& task = job.Open({job.submission.id, 0, 0, i});
    task.run = 1;
    task.checkpoint = checkpoint;
    task.phase = i % 1'000 == 0 ? TaskPhase::kWaiting : TaskPhase::kRunning;
    if (task.HoldsResources()) {
      task.worker = {InstanceId("a" + std::to_string(i % 900)),
                     WorkerId("w" + std::to_string(i % 900)),
                     1'796'668'477'094};
    }
  }
  const std::string progress = EncodeProgress(job);
  CHECK(progress.size() < kLongestRecord);
  Job restored = Restore(job, progress);
  for (std::uint32_t i = 0; i < kMaxTasksAtWork; ++i) {
    const TaskKey key{job.submission.id, 0, 0, i};
    REQUIRE(restored.Find(key) != nullptr);
    const TaskState& task = *restored.Find(key);
    CHECK(task.phase == job.Find(key)->phase);
    CHECK(task.worker == job.Find(key)->worker);
    CHECK(task.checkpoint == (task.HoldsResources() ? "" : checkpoint));
  }
  // Beside too many checkpoints of waiting tasks, the job still goes on.
  for (auto& [index, task] : job.occurrences[0].steps[0].tasks) {
    task.phase = TaskPhase::kWaiting;
  }
  CHECK(EncodeProgress(job).size() < kLongestRecord);
}

TEST_CASE("the record of the largest gang can be stored") {
  // Guards against a gang that is accepted and can never run, because the log
  // refuses its record.
  constexpr std::uint32_t kMembers = 10'000;
  constexpr std::uint32_t kWorkers = 300;
  constexpr std::uint32_t kOccurrence = 9'999;
  constexpr std::uint32_t kStep = 255;
  StepSpec gang = MakeStep(kMembers, {50, 100, 0});
  gang.gang = true;
  Submission submission = MakeJob("j", gang);
  submission.spec.steps.assign(kStep + 1, gang);
  submission.spec.repeats = kOccurrence + 1;
  Job job = Job::Of(submission);
  for (std::uint32_t i = 0; i < kMembers; ++i) {
    TaskState& task = job.Open({job.submission.id, kOccurrence, kStep, i});
    task.phase = TaskPhase::kRunning;
    task.run = 1'000;
    task.worker_crashes = 1;
    task.checkpoint = std::string(64, 'c');
    const std::string number = std::to_string(i % kWorkers);
    task.worker = {InstanceId("instance-of-the-agent-" + number),
                   WorkerId("identity-of-the-worker-" + number),
                   1'796'668'477'094};
  }
  const std::string progress = EncodeProgress(job);
  CHECK(progress.size() < kLongestRecord);
  CHECK(SamePhases(job, Restore(job, progress)));
}

TEST_CASE("a completed task that was stored in a range is not started again") {
  // Guards against tasks that a new planner runs twice.
  const Job job = MakeScheduledJob(kRepeats - 1);
  PlannerFixture fixture(1);
  fixture.planner.Load(Restore(job, EncodeProgress(job)), fixture.Time());
  const std::size_t active = fixture.ActiveTasks().size();
  CHECK(active == kTasks / 2);
  fixture.planner.Plan(fixture.Time());
  CHECK(fixture.ActiveTasks().size() <= active);
  for (const auto& [key, task] : fixture.ActiveTasks()) {
    CHECK(key.occurrence == kRepeats - 1);
    CHECK(key.index % 2 == 1);
  }
}

TEST_CASE("ranges that exceed the tasks of the job are rejected") {
  // Guards against a process that ends because of an odd record.
  const Job job = MakeScheduledJob(1);
  for (const auto& [begin, count] :
       {std::pair<std::uint64_t, std::uint64_t>{kTasks * kRepeats, 1},
        {kTasks * kRepeats + 1, 0},
        {1, kTasks * kRepeats},
        {~0ULL, ~0ULL},
        {1, ~0ULL}}) {
    records::JobRecord record;
    record.add_done_ranges(begin);
    record.add_done_ranges(count);
    Job restored = Job::Of(job.submission);
    CHECK(!DecodeProgress(record.SerializeAsString(), restored));
  }
  records::JobRecord odd;
  odd.add_done_ranges(1);
  Job restored = Job::Of(job.submission);
  CHECK(!DecodeProgress(odd.SerializeAsString(), restored));
}

}  // namespace
}  // namespace carobrill::workload
