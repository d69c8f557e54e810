#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <tuple>

#include "tests/workload/planner_fixture.h"

// Random histories of submissions, ends, losses and cancellations against the
// promises that callers and workers rely on.

namespace carobrill::workload {
namespace {

/// One event: its kind and two numbers that choose its details.
using Event = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

constexpr std::uint32_t kWorkers = 5;

class History {
 public:
  History() : world(kWorkers) {
    this->world.planner.SetGuarantees({{AccountId("a"), 8}});
  }

  void Run(const Event& event) {
    const auto [kind, a, b] = event;
    this->world.now.ms += 50 + a;
    switch (kind % 10) {
      case 0:
      case 1:
      case 2:
        this->Submit(a, b);
        break;
      case 3:
        if (this->jobs > 0) {
          const JobId id("j" + std::to_string(a % this->jobs));
          this->world.planner.Cancel(id, this->world.Time());
        }
        break;
      case 4:
        this->world.Silence(a % kWorkers);
        this->silent.insert(a % kWorkers);
        break;
      case 5:
        this->silent.erase(a % kWorkers);
        this->born[a % kWorkers] += b % 2;
        break;
      default:
        this->EndSome(a, b);
        break;
    }
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      if (!this->silent.contains(i)) {
        this->world.Answer(i, 1 + this->born[i]);
      }
    }
    this->Observe();
  }

  std::string fault;

 private:
  void Submit(std::uint8_t a, std::uint8_t b) {
    StepSpec step = Step(
        1 + a % 4, {1'000 * (1 + b % 13), 10'000 * (1 + a % 7), 1 << (b % 4)});
    step.gang = a % 3 == 0;
    step.one_rack = a % 5 == 0;
    step.max_per_worker = b % 4 == 0 ? 2 : 0;
    step.checkpointable = b % 2 == 0;
    Submission job = JobOf("j" + std::to_string(this->jobs++), step);
    job.priority = b % 3;
    job.accepted_at = this->world.now;
    if (a % 4 == 1) {
      StepSpec second = step;
      second.depends_on = {0};
      job.spec.steps.push_back(second);
    }
    this->world.planner.Submit(job);
  }

  void EndSome(std::uint8_t a, std::uint8_t b) {
    const auto held = this->world.Held();
    if (held.empty()) {
      return;
    }
    auto chosen = held.begin();
    std::advance(chosen, a % held.size());
    const bool stopping = chosen->second.phase == TaskPhase::kStopping;
    const RunEnd ends[] = {RunEnd::kDone, RunEnd::kFailed, RunEnd::kDone,
                           RunEnd::kRefused};
    this->world.End(chosen->first, stopping ? RunEnd::kStopped : ends[b % 4]);
  }

  /// Plans and checks every run that was newly ordered.
  void Observe() {
    const auto before = this->world.Held();
    const auto jobs_before = this->world.planner.Jobs();
    this->world.Plan();
    std::map<WorkerLife, Resources> used;
    for (const auto& [key, task] : this->world.Held()) {
      const Job& job = this->world.planner.Jobs().at(key.job);
      used[task.worker] += job.SpecOf(key).Room();
      const auto earlier = before.find(key);
      const bool started =
          earlier == before.end() || earlier->second.run != task.run;
      if (started) {
        this->CheckStart(key, task, job, jobs_before);
      }
    }
    for (const auto& [life, room] : used) {
      if (!room.FitsIn({32'000, 128'000, 8})) {
        this->fault = "room of " + life.id.value + " exceeded";
      }
    }
  }

  void CheckStart(const TaskKey& key,
                  const TaskState& task,
                  const Job& job,
                  const std::map<JobId, Job>& jobs_before) {
    std::uint32_t& highest = this->runs[key];
    if (task.run <= highest) {
      this->fault = "a run number was used twice";
    }
    highest = task.run;
    if (IsFinal(jobs_before.at(key.job).phase)) {
      this->fault = "a task of an ended job was started";
    }
    if (task.failures >= job.submission.max_attempts) {
      this->fault = "a task was started after its last attempt";
    }
    if (!job.StepReady(key.occurrence, key.step)) {
      this->fault = "a task was started before what it depends on";
    }
    const StepState& step = job.occurrences[key.occurrence].steps[key.step];
    std::uint32_t beside = 0;
    for (const TaskState& member : step.tasks) {
      beside += member.Occupies() && member.worker == task.worker ? 1 : 0;
      if (job.SpecOf(key).gang && member.run != task.run) {
        this->fault = "a gang was started in part";
      }
    }
    const std::uint32_t limit = job.SpecOf(key).max_per_worker;
    if (limit > 0 && beside > limit) {
      this->fault = "too many tasks of a step on one worker";
    }
  }

  World world;
  std::uint32_t jobs = 0;
  std::set<std::uint32_t> silent;
  std::map<std::uint32_t, std::int64_t> born;
  std::map<TaskKey, std::uint32_t> runs;
};

TEST_CASE("holds.job_promises: random histories break no promise of a start") {
  // Guards against starts that exceed room, attempts, order or spread, gangs
  // in part, and runs of ended jobs.
  CHECK(rc::check("promises of a start", [] {
    const auto events = *rc::gen::scale(
        2.0,
        rc::gen::container<std::vector<Event>>(rc::gen::arbitrary<Event>()));
    History history;
    for (const Event& event : events) {
      history.Run(event);
      if (!history.fault.empty()) {
        RC_FAIL(history.fault);
      }
    }
  }));
}

}  // namespace
}  // namespace carobrill::workload
