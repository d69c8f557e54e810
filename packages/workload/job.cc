#include "packages/workload/job.h"

#include <algorithm>
#include <utility>

namespace carobrill::workload {

Instant StepState::WaitingSince(std::uint32_t index) const {
  const auto task = this->tasks.find(index);
  return task == this->tasks.end() ? this->waiting_since
                                   : task->second.waiting_since;
}

Job Job::Of(Submission submission) {
  Job job;
  job.submission = std::move(submission);
  return job;
}

bool Job::HasTask(const TaskKey& key) const {
  const JobSpec& spec = this->submission.spec;
  return key.occurrence < spec.Occurrences() && key.step < spec.steps.size() &&
         key.index < spec.steps[key.step].tasks;
}

TaskState* Job::Find(const TaskKey& key) {
  const auto occurrence = this->occurrences.find(key.occurrence);
  if (occurrence == this->occurrences.end()) {
    return nullptr;
  }
  const auto step = occurrence->second.steps.find(key.step);
  if (step == occurrence->second.steps.end()) {
    return nullptr;
  }
  const auto task = step->second.tasks.find(key.index);
  return task == step->second.tasks.end() ? nullptr : &task->second;
}

const StepState* Job::FindStep(std::uint32_t occurrence,
                               std::uint32_t step) const {
  const auto found = this->occurrences.find(occurrence);
  if (found == this->occurrences.end()) {
    return nullptr;
  }
  const auto state = found->second.steps.find(step);
  return state == found->second.steps.end() ? nullptr : &state->second;
}

TaskState& Job::Open(const TaskKey& key) {
  StepState& step = this->occurrences[key.occurrence].steps[key.step];
  const auto [task, added] = step.tasks.try_emplace(key.index);
  if (added) {
    task->second.waiting_since = step.waiting_since;
  }
  return task->second;
}

void Job::Complete(std::uint32_t occurrence,
                   std::uint32_t step,
                   const IntervalSet::Interval& tasks) {
  if (this->IsStepDone(occurrence, step)) {
    return;
  }
  const auto& specs = this->submission.spec.steps;
  Occurrence& state = this->occurrences[occurrence];
  StepState& step_state = state.steps[step];
  step_state.done.Insert(tasks);
  const auto end = step_state.tasks.lower_bound(tasks.end);
  for (auto task = step_state.tasks.lower_bound(tasks.begin); task != end;
       ++task) {
    task->second.phase = TaskPhase::kDone;
  }
  if (step_state.done.Count() < specs[step].tasks) {
    return;
  }
  state.done_steps.Insert(step);
  if (state.done_steps.Count() == specs.size()) {
    this->done_occurrences.Insert(occurrence);
  }
}

void Job::CompleteOccurrences(const IntervalSet::Interval& completed) {
  this->done_occurrences.Insert(completed);
  this->occurrences.erase(this->occurrences.lower_bound(completed.begin),
                          this->occurrences.lower_bound(completed.end));
}

void Job::Release(const TaskKey& key) {
  if (this->done_occurrences.Contains(key.occurrence)) {
    this->occurrences.erase(key.occurrence);
    return;
  }
  const auto occurrence = this->occurrences.find(key.occurrence);
  if (occurrence == this->occurrences.end()) {
    return;
  }
  if (occurrence->second.done_steps.Contains(key.step)) {
    occurrence->second.steps.erase(key.step);
    return;
  }
  const auto step = occurrence->second.steps.find(key.step);
  if (step != occurrence->second.steps.end() &&
      step->second.done.Contains(key.index)) {
    step->second.tasks.erase(key.index);
  }
}

bool Job::IsStepDone(std::uint32_t occurrence, std::uint32_t step) const {
  if (this->done_occurrences.Contains(occurrence)) {
    return true;
  }
  const auto found = this->occurrences.find(occurrence);
  return found != this->occurrences.end() &&
         found->second.done_steps.Contains(step);
}

Instant Job::DueAt(std::uint32_t occurrence) const {
  const JobSpec& spec = this->submission.spec;
  return spec.first_due.After(occurrence * spec.interval_ms);
}

bool Job::IsStepReady(std::uint32_t occurrence, std::uint32_t step) const {
  const auto& needed = this->submission.spec.steps[step].depends_on;
  return std::ranges::all_of(needed, [&](std::uint32_t earlier) {
    return this->IsStepDone(occurrence, earlier);
  });
}

bool Job::AnyTaskHoldsResources() const {
  for (const auto& [number, occurrence] : this->occurrences) {
    for (const auto& [step, state] : occurrence.steps) {
      if (std::ranges::any_of(state.tasks, [](const auto& entry) {
            return entry.second.HoldsResources();
          })) {
        return true;
      }
    }
  }
  return false;
}

std::uint32_t Job::CountTasksAtWork() const {
  std::uint32_t count = 0;
  for (const auto& [number, occurrence] : this->occurrences) {
    for (const auto& [step, state] : occurrence.steps) {
      for (const auto& [index, task] : state.tasks) {
        const bool done = task.phase == TaskPhase::kDone;
        count += done || task.HasNeverRun() ? 0 : 1;
      }
    }
  }
  return count;
}

}  // namespace carobrill::workload
