// The part of JobPlanner that lists which tasks wait. Answers jobs of thousands
// of tasks and occurrences: what a pass lists of one job is limited.

#include <algorithm>
#include <iterator>
#include <utility>

#include "packages/workload/job_objective.h"
#include "packages/workload/job_planner.h"

namespace carobrill::workload {
namespace {

/// Number of ranks within one priority: guaranteed, on time, late, too late.
constexpr std::int64_t kRanksPerPriority = 4;

/// Number of waiting tasks of a step, of all occurrences of its job, from which
/// no further ones are listed in one pass.
constexpr std::uint32_t kMaxListedTasks = 256;

/// The same for all steps of a job.
constexpr std::size_t kMaxListedTasksOfJob = 8'192;

/// Number of steps of the occurrences of one job that may have a state, unless
/// a single occurrence has more.
constexpr std::size_t kMaxOpenSteps = 10'000;

bool IsWaiting(const TaskState& task, Instant now) {
  return task.phase == TaskPhase::kWaiting && now >= task.not_before;
}

/// Returns all tasks of a gang, or none while some cannot be placed. A gang
/// waits until all of its tasks can run.
std::vector<std::uint32_t> ListGang(const StepSpec& spec,
                                    const StepState& step,
                                    Instant now) {
  std::vector<std::uint32_t> tasks;
  const bool all_wait = step.done.Count() == 0 &&
                        std::ranges::all_of(step.tasks, [&](const auto& entry) {
                          return IsWaiting(entry.second, now);
                        });
  for (std::uint32_t i = 0; all_wait && i < spec.tasks; ++i) {
    tasks.push_back(i);
  }
  return tasks;
}

/// Returns up to `most` waiting tasks in ascending order. They are collected in
/// one unit, because they share their rank.
std::vector<std::uint32_t> ListTasks(const StepSpec& spec,
                                     StepState& step,
                                     Instant now,
                                     std::size_t most) {
  std::vector<std::uint32_t> with_state;
  for (const auto& [index, task] : step.tasks) {
    if (with_state.size() < most && IsWaiting(task, now)) {
      with_state.push_back(index);
    }
  }
  const auto skip = [&](std::uint32_t index) {
    return step.tasks.contains(index) || step.done.Contains(index);
  };
  while (step.first_without_state < spec.tasks &&
         skip(step.first_without_state)) {
    ++step.first_without_state;
  }
  std::vector<std::uint32_t> without_state;
  for (std::uint32_t i = step.first_without_state;
       i < spec.tasks && without_state.size() < most; ++i) {
    if (!skip(i)) {
      without_state.push_back(i);
    }
  }
  std::vector<std::uint32_t> tasks;
  std::ranges::merge(with_state, without_state, std::back_inserter(tasks));
  tasks.resize(std::min(tasks.size(), most));
  return tasks;
}

}  // namespace

std::vector<JobPlanner::WaitingUnit> JobPlanner::CollectWaitingUnits(
    const TransitionTime& time) {
  std::vector<WaitingUnit> waiting;
  for (auto& [id, job] : this->jobs) {
    if (!IsFinal(job.phase)) {
      this->CollectJob(job, time, waiting);
    }
  }
  return waiting;
}

// After a time without service, thousands of occurrences of one job may be due.
// Later ones are opened as the earlier ones get their runs.
void JobPlanner::CollectJob(Job& job,
                            const TransitionTime& time,
                            std::vector<WaitingUnit>& waiting) {
  const auto& steps = job.submission.spec.steps;
  JobListing listing;
  listing.tasks_of_step.resize(steps.size(), 0);
  listing.first_step = std::exchange(job.first_listed_step, 0);
  for (const auto& [k, occurrence] : job.occurrences) {
    if (time.wall >= job.DueAt(k)) {
      this->CollectOccurrence(job, k, time, listing, waiting);
    }
  }
  const auto first_step_has_room = [&] {
    for (std::size_t s = 0; s < steps.size(); ++s) {
      if (steps[s].depends_on.empty() &&
          listing.tasks_of_step[s] < kMaxListedTasks) {
        return listing.tasks < kMaxListedTasksOfJob;
      }
    }
    return false;
  };
  const std::size_t max_open =
      std::max<std::size_t>(1, kMaxOpenSteps / steps.size());
  const std::uint32_t end = job.submission.spec.Occurrences();
  while (true) {
    const std::uint32_t k =
        job.done_occurrences.NextMissing(job.first_unopened);
    job.first_unopened = k;
    if (k >= end || time.wall < job.DueAt(k)) {
      return;
    }
    if (!job.occurrences.contains(k)) {
      if (job.occurrences.size() >= max_open || !first_step_has_room()) {
        return;
      }
      job.occurrences.try_emplace(k);
      this->CollectOccurrence(job, k, time, listing, waiting);
    }
    job.first_unopened = k + 1;
  }
}

// A step that finds no capacity must not keep the job's other steps from
// theirs, so each step lists a limited number of tasks, and a job with many
// steps begins each pass with those that the previous one left out.
void JobPlanner::CollectOccurrence(Job& job,
                                   std::uint32_t occurrence,
                                   const TransitionTime& time,
                                   JobListing& listing,
                                   std::vector<WaitingUnit>& waiting) {
  const auto steps =
      static_cast<std::uint32_t>(job.submission.spec.steps.size());
  for (std::uint32_t i = 0; i < steps; ++i) {
    const std::uint32_t s = (listing.first_step + i) % steps;
    std::uint32_t& listed = listing.tasks_of_step[s];
    if (listed >= kMaxListedTasks || job.IsStepDone(occurrence, s) ||
        !job.IsStepReady(occurrence, s)) {
      continue;
    }
    if (listing.tasks >= kMaxListedTasksOfJob) {
      job.first_listed_step = s;
      return;
    }
    const StepSpec& spec = job.submission.spec.steps[s];
    StepState& state = job.occurrences.at(occurrence).steps[s];
    PlacementUnit unit;
    unit.submission = &job.submission;
    unit.occurrence = occurrence;
    unit.step = s;
    unit.tasks =
        spec.gang ? ListGang(spec, state, time.now)
                  : ListTasks(spec, state, time.now, kMaxListedTasks - listed);
    listed += static_cast<std::uint32_t>(unit.tasks.size());
    listing.tasks += unit.tasks.size();
    if (!unit.tasks.empty()) {
      this->AddWaitingUnit(job, std::move(unit), time, waiting);
    }
  }
}

void JobPlanner::AddWaitingUnit(Job& job,
                                PlacementUnit unit,
                                const TransitionTime& time,
                                std::vector<WaitingUnit>& waiting) {
  WaitingUnit entry;
  const std::uint32_t occurrence = unit.occurrence;
  entry.job = &job;
  entry.unit = std::move(unit);
  StepState& step = entry.Step();
  if (step.waiting_since == Instant{}) {
    step.waiting_since = time.now;
  }
  entry.waiting_tasks = entry.unit.Spec().tasks - step.done.Count();
  for (auto& [index, task] : step.tasks) {
    if (!IsWaiting(task, time.now)) {
      entry.waiting_tasks -= task.phase == TaskPhase::kDone ? 0 : 1;
    } else if (task.waiting_since == Instant{}) {
      task.waiting_since = time.now;
    }
  }
  entry.runnable_since = step.WaitingSince(entry.unit.tasks.front());
  entry.guaranteed = this->guaranteed_jobs.contains(job.submission.id);
  entry.rank = job.submission.priority * kRanksPerPriority;
  const DeadlineForecast forecast =
      this->objective.Forecast(job, occurrence, time.wall);
  entry.too_late = forecast == DeadlineForecast::kTooLate;
  if (!this->IsServedFirst(entry)) {
    entry.rank += 1 + static_cast<std::int64_t>(forecast);
  }
  entry.slack_ms = this->objective.DeadlineOf(job, occurrence).ms -
                   time.wall.ms - this->objective.RemainingMs(job, occurrence);
  this->SetSpeedNeeds(entry, time.wall);
  waiting.push_back(std::move(entry));
}

}  // namespace carobrill::workload
