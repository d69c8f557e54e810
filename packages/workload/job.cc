#include "packages/workload/job.h"

#include <algorithm>
#include <utility>

namespace carobrill::workload {

bool StepState::IsDone() const {
  return std::ranges::all_of(this->tasks, [](const TaskState& task) {
    return task.phase == TaskPhase::kDone;
  });
}

bool Occurrence::IsDone() const {
  return std::ranges::all_of(
      this->steps, [](const StepState& step) { return step.IsDone(); });
}

Job Job::Of(Submission submission) {
  Job job;
  Occurrence occurrence;
  for (const StepSpec& step : submission.spec.steps) {
    StepState state;
    state.tasks.resize(step.tasks);
    occurrence.steps.push_back(std::move(state));
  }
  job.occurrences.assign(submission.spec.Occurrences(), occurrence);
  job.submission = std::move(submission);
  return job;
}

TaskState* Job::Find(const TaskKey& key) {
  if (key.occurrence >= this->occurrences.size()) {
    return nullptr;
  }
  auto& steps = this->occurrences[key.occurrence].steps;
  if (key.step >= steps.size() || key.index >= steps[key.step].tasks.size()) {
    return nullptr;
  }
  return &steps[key.step].tasks[key.index];
}

Instant Job::DueAt(std::uint32_t occurrence) const {
  const JobSpec& spec = this->submission.spec;
  return spec.first_due.After(occurrence * spec.interval_ms);
}

bool Job::IsStepReady(std::uint32_t occurrence, std::uint32_t step) const {
  const auto& steps = this->occurrences[occurrence].steps;
  const auto& needed = this->submission.spec.steps[step].depends_on;
  return std::ranges::all_of(
      needed, [&](std::uint32_t earlier) { return steps[earlier].IsDone(); });
}

bool Job::AnyTaskHoldsResources() const {
  for (const Occurrence& occurrence : this->occurrences) {
    for (const StepState& step : occurrence.steps) {
      if (std::ranges::any_of(step.tasks, &TaskState::HoldsResources)) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace carobrill::workload
