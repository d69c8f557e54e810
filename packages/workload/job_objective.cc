#include "packages/workload/job_objective.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace carobrill::workload {
namespace {

/// Length of the critical path through the steps in ms, where step `s` takes
/// `duration(s)`.
template <typename Duration>
std::int64_t LongestChain(const JobSpec& spec, Duration&& duration) {
  std::vector<std::int64_t> ends(spec.steps.size(), 0);
  std::int64_t longest = 0;
  for (std::size_t s = 0; s < spec.steps.size(); ++s) {
    std::int64_t start = 0;
    for (const std::uint32_t earlier : spec.steps[s].depends_on) {
      start = std::max(start, ends[earlier]);
    }
    ends[s] = start + duration(s);
    longest = std::max(longest, ends[s]);
  }
  return longest;
}

Instant StartOf(const Job& job, std::uint32_t occurrence) {
  return job.submission.spec.repeats == 0 ? job.submission.accepted_at
                                          : job.DueAt(occurrence);
}

std::int64_t SlotsOnWorker(const Resources& demand, const Resources& capacity) {
  const auto fit = [](std::int64_t demanded, std::int64_t available) {
    return demanded <= 0 ? std::numeric_limits<std::int64_t>::max()
                         : available / demanded;
  };
  return std::min({fit(demand.cpu_millis, capacity.cpu_millis),
                   fit(demand.memory_mb, capacity.memory_mb),
                   fit(demand.accelerators, capacity.accelerators)});
}

std::int64_t AdviceLatencyMs(const Submission& submission) {
  return submission.advice.has_value()
             ? submission.advice->decide_ms +
                   submission.advice->each_ms * kBaselineAdviceCandidates
             : 0;
}

}  // namespace

// Clusters have few kinds of workers, so the kinds are counted once instead of
// visiting all workers for each step.
JobObjective::JobObjective(const std::vector<Resources>& capacities) {
  for (const Resources& capacity : capacities) {
    const auto known =
        std::ranges::find(this->kinds, capacity, &Kind::capacity);
    if (known == this->kinds.end()) {
      this->kinds.push_back({capacity, 1});
    } else {
      ++known->workers;
    }
  }
}

std::int64_t JobObjective::TasksAtOnce(const StepSpec& step,
                                       std::int64_t tasks) const {
  std::int64_t slots = 0;
  for (const Kind& kind : this->kinds) {
    slots +=
        kind.workers *
        std::min(SlotsOnWorker(step.PlacementDemand(), kind.capacity), tasks);
  }
  return std::max<std::int64_t>(1, slots / kCapacityDivisor);
}

std::int64_t JobObjective::TasksAtOnce(const StepSpec& step) const {
  return this->TasksAtOnce(step, step.tasks);
}

std::int64_t JobObjective::WaveCount(const StepSpec& step,
                                     std::int64_t tasks) const {
  const std::int64_t at_once = this->TasksAtOnce(step, tasks);
  return (tasks + at_once - 1) / at_once;
}

std::int64_t JobObjective::AllowanceMs(const Job& job) const {
  const JobSpec& spec = job.submission.spec;
  const std::int64_t chain = LongestChain(spec, [&](std::size_t s) {
    const StepSpec& step = spec.steps[s];
    return step.estimate_ms * this->WaveCount(step, step.tasks) +
           AdviceLatencyMs(job.submission);
  });
  return chain * job.submission.stretch_percent / 100 +
         job.submission.objective_slack_ms;
}

Instant JobObjective::DeadlineOf(const Job& job,
                                 std::uint32_t occurrence) const {
  return StartOf(job, occurrence).After(this->AllowanceMs(job));
}

std::int64_t JobObjective::RemainingMs(const Job& job,
                                       std::uint32_t occurrence) const {
  const JobSpec& spec = job.submission.spec;
  return LongestChain(spec, [&](std::size_t s) {
    const auto number = static_cast<std::uint32_t>(s);
    if (job.IsStepDone(occurrence, number)) {
      return std::int64_t{0};
    }
    const std::int64_t estimate = spec.steps[s].estimate_ms;
    std::int64_t running = 0;
    std::int64_t waiting = spec.steps[s].tasks;
    if (const StepState* step = job.FindStep(occurrence, number)) {
      waiting -= step->done.Count();
      for (const auto& [index, task] : step->tasks) {
        if (task.HoldsResources()) {
          --waiting;
          running = std::max(
              running, estimate * (100 - std::min(task.percent, 100U)) / 100);
        }
      }
    }
    const std::int64_t waves =
        waiting == 0 ? 0 : this->WaveCount(spec.steps[s], waiting);
    return std::max(running, estimate * waves);
  });
}

DeadlineForecast JobObjective::Forecast(const Job& job,
                                        std::uint32_t occurrence,
                                        Instant wall) const {
  const Instant end = wall.After(this->RemainingMs(job, occurrence));
  const std::int64_t allowance_ms = this->AllowanceMs(job);
  const Instant start = StartOf(job, occurrence);
  if (end <= start.After(allowance_ms)) {
    return DeadlineForecast::kOnTime;
  }
  return end <= start.After(kTooLateFactor * allowance_ms)
             ? DeadlineForecast::kLate
             : DeadlineForecast::kTooLate;
}

}  // namespace carobrill::workload
