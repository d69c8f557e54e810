#include <doctest/doctest.h>
#include <malloc.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "packages/gateway/job_view.h"
#include "packages/gateway/topics.h"
#include "packages/workload/job_planner.h"
#include "packages/workload/record_codec.h"
#include "packages/workload/workload.pb.h"

// Jobs of which far more tasks will run than are at work at any time.

namespace carobrill::gateway {
namespace {

using workload::RunEnd;
using workload::StepSpec;
using workload::Submission;
using workload::TaskKey;
using workload::TransitionTime;

constexpr std::int64_t kDueMs = 1'000'000;
constexpr std::int64_t kMinuteMs = 60'000;

/// Memory that a gateway may use, in bytes, less what its process uses without
/// any job.
constexpr std::size_t kMaxJobBytes = (256 - 50) * 1'000'000ULL;

std::size_t BytesInUse() {
  return mallinfo2().uordblks;
}

JobId IdOf(std::uint32_t number) {
  std::string digits = std::to_string(number);
  return JobId(std::string(16 - digits.size(), '0') + digits);
}

StepSpec MakeStep(std::uint32_t tasks) {
  StepSpec step;
  step.tasks = tasks;
  step.demand = {500, 256, 0};
  step.estimate_ms = 2'000;
  return step;
}

/// A job whose occurrences are due every five minutes from kDueMs on.
Submission MakeSchedule(std::uint32_t number,
                        std::uint32_t repeats,
                        const StepSpec& step) {
  Submission submission;
  submission.id = IdOf(number);
  submission.account = AccountId("a");
  submission.queue = "q";
  submission.service = ServiceId("s");
  submission.priority = 1;
  submission.max_attempts = 3;
  submission.stretch_percent = 300;
  submission.spec.steps = {step};
  submission.spec.repeats = repeats;
  submission.spec.first_due = Instant{kDueMs};
  submission.spec.interval_ms = 5 * kMinuteMs;
  return submission;
}

/// A gateway that plans, without its log and its agents.
class Gateway {
 public:
  void Accept(const Submission& submission) {
    this->view.ApplyIntake(
        {JobKey(submission.id), workload::EncodeSubmission(submission)});
    this->planner.Submit(this->view.Find(submission.id)->submission);
  }

  void AddWorker() {
    workload::WorkerDescription worker;
    worker.incarnation = {InstanceId("a"), WorkerId("w"), 1};
    worker.availability = workload::WorkerAvailability::kReady;
    worker.service = ServiceId("s");
    worker.capacity = {100'000, 256'000, 0};
    this->planner.UpdateWorker(InstanceId("a"), worker, Instant::Never(),
                               this->time);
  }

  /// Runs a planning pass, and stores and reads what it changed.
  void Plan() {
    this->planner.Plan(this->time);
    this->Store();
  }

  void Store() {
    for (const JobId& id : this->planner.TakeChanges()) {
      this->view.ApplyProgress(
          {JobKey(id), workload::EncodeProgress(this->planner.Jobs().at(id))});
    }
  }

  /// Ends all runs as completed. Returns their number.
  std::size_t EndRuns() {
    std::size_t ended = 0;
    for (const auto& [agent, orders] :
         this->planner.Orders(this->planner.NextCommit())) {
      for (const workload::TaskOrder& order : orders) {
        ++this->runs[order.task];
        this->planner.ApplyRunReport(
            agent, {order.task, order.run, RunEnd::kDone, {}}, this->time);
        ++ended;
      }
    }
    return ended;
  }

  /// Plans, and ends all runs.
  void Advance() {
    this->time.now.ms += 500;
    this->AddWorker();
    this->Plan();
    this->EndRuns();
    this->Store();
  }

  JobView view;
  workload::JobPlanner planner{workload::JobPlannerSettings{}};
  TransitionTime time{Instant{1'000}, Instant{1'000}};
  /// Number of completed runs of each task.
  std::map<TaskKey, std::uint32_t> runs;
};

TEST_CASE("schedules that are not due take no memory for their tasks") {
  // Guards against gateways that are killed for the memory of tasks that are
  // due in a month.
  std::vector<std::pair<std::uint32_t, std::uint32_t>> schedules;
  SUBCASE("one job") {
    schedules = {{0, 8'640}};
  }
  SUBCASE("the same in many jobs") {
    for (std::uint32_t i = 0; i < 40; ++i) {
      schedules.emplace_back(i, 288);
    }
  }
  const std::size_t before = BytesInUse();
  Gateway gateway;
  for (const auto& [number, repeats] : schedules) {
    gateway.Accept(MakeSchedule(number, repeats, MakeStep(78)));
  }
  gateway.AddWorker();
  gateway.Plan();
  CHECK(BytesInUse() - before < kMaxJobBytes);
}

TEST_CASE(
    "the largest job that is accepted fits into a gateway when it is due") {
  // Guards against bounds that hold one by one, but not together.
  Submission submission = MakeSchedule(0, 10'000, MakeStep(10'000));
  submission.spec.steps.assign(256, MakeStep(10'000));
  const std::size_t before = BytesInUse();
  Gateway gateway;
  gateway.Accept(submission);
  gateway.AddWorker();
  gateway.time.wall = Instant{kDueMs + 10'000 * 5 * kMinuteMs};
  for (int i = 0; i < 10; ++i) {
    gateway.Plan();
    CHECK(gateway.EndRuns() > 0);
  }
  CHECK(BytesInUse() - before < kMaxJobBytes);
}

TEST_CASE("each occurrence that became due without service runs once") {
  // Guards against occurrences that are skipped, or run again, when only some
  // of those that are due are in memory.
  constexpr std::uint32_t kRepeats = 700;
  Gateway gateway;
  StepSpec second = MakeStep(1);
  second.depends_on = {0};
  Submission submission = MakeSchedule(0, kRepeats, MakeStep(2));
  submission.spec.steps.push_back(second);
  gateway.Accept(submission);
  gateway.AddWorker();
  gateway.time.wall = Instant{kDueMs + kRepeats * 5 * kMinuteMs};
  const auto phase = [&] {
    return gateway.planner.Jobs().at(submission.id).phase;
  };
  for (int i = 0; i < 1'000 && !IsFinal(phase()); ++i) {
    gateway.Advance();
    if (i % 5 == 0) {
      // Another planner goes on from what is stored.
      gateway.planner.Load(*gateway.view.Find(submission.id), gateway.time);
    }
  }
  CHECK(phase() == workload::JobPhase::kCompleted);
  CHECK(gateway.view.Find(submission.id)->phase ==
        workload::JobPhase::kCompleted);
  CHECK(gateway.runs.size() == 3 * kRepeats);
  for (const auto& [task, runs] : gateway.runs) {
    CHECK(runs == 1);
  }
}

TEST_CASE("a step without workers does not hold up later occurrences") {
  // Guards against a job that waits beside free capacity, because the tasks
  // that were considered first cannot run.
  constexpr std::uint32_t kRepeats = 600;
  Gateway gateway;
  StepSpec blocked = MakeStep(2);
  blocked.worker_label = "none";
  blocked.depends_on = {0};
  Submission submission = MakeSchedule(0, kRepeats, MakeStep(1));
  submission.spec.steps.push_back(blocked);
  gateway.Accept(submission);
  gateway.AddWorker();
  gateway.time.wall = Instant{kDueMs + kRepeats * 5 * kMinuteMs};
  for (int i = 0; i < 50; ++i) {
    gateway.Advance();
  }
  CHECK(gateway.runs.size() == kRepeats);
}

TEST_CASE("completed tasks that an earlier version listed are read") {
  // Guards against tasks that run twice after an update.
  const Submission submission = MakeSchedule(0, 3, MakeStep(2));
  workload::records::JobRecord record;
  record.set_phase(static_cast<std::uint32_t>(workload::JobPhase::kRunning));
  for (const std::uint32_t number : {0U, 1U, 3U}) {
    auto* task = record.add_tasks();
    task->set_occurrence(number / 2);
    task->set_index(number % 2);
    task->set_run(1);
    task->set_phase(static_cast<std::uint32_t>(workload::TaskPhase::kDone));
  }
  Gateway gateway;
  gateway.Accept(submission);
  gateway.view.ApplyProgress(
      {JobKey(submission.id), record.SerializeAsString()});
  CHECK(!gateway.view.IsProgressUnreadable(submission.id));
  gateway.planner.Load(*gateway.view.Find(submission.id), gateway.time);
  gateway.time.wall = Instant{kDueMs + 100 * kMinuteMs};
  gateway.AddWorker();
  gateway.Plan();
  gateway.EndRuns();
  CHECK(gateway.planner.Jobs().at(submission.id).phase ==
        workload::JobPhase::kCompleted);
  CHECK(gateway.runs.size() == 3);
  CHECK(!gateway.runs.contains({submission.id, 0, 0, 0}));
  CHECK(!gateway.runs.contains({submission.id, 0, 0, 1}));
  CHECK(!gateway.runs.contains({submission.id, 1, 0, 1}));
}

}  // namespace
}  // namespace carobrill::gateway
