#include "packages/workload/job_objective.h"

#include <algorithm>
#include <vector>

namespace carobrill::workload {
namespace {

/// Longest chain over the steps, each of which takes `length(step)` ms.
template <typename Length>
std::int64_t LongestChain(const JobSpec& spec, Length&& length) {
  std::vector<std::int64_t> ends(spec.steps.size(), 0);
  std::int64_t longest = 0;
  for (std::size_t s = 0; s < spec.steps.size(); ++s) {
    std::int64_t start = 0;
    for (const std::uint32_t earlier : spec.steps[s].depends_on) {
      start = std::max(start, ends[earlier]);
    }
    ends[s] = start + length(s);
    longest = std::max(longest, ends[s]);
  }
  return longest;
}

Instant StartOf(const Job& job, std::uint32_t occurrence) {
  return job.submission.spec.repeats == 0 ? job.submission.accepted_at
                                          : job.DueAt(occurrence);
}

std::int64_t AllowanceMs(const Job& job) {
  const std::int64_t chain = LongestChain(
      job.submission.spec,
      [&](std::size_t s) { return job.submission.spec.steps[s].estimate_ms; });
  return chain * job.submission.stretch_percent / 100 +
         job.submission.objective_slack_ms;
}

}  // namespace

Instant ObjectiveOf(const Job& job, std::uint32_t occurrence) {
  return StartOf(job, occurrence).After(AllowanceMs(job));
}

std::int64_t RemainingMs(const Job& job, std::uint32_t occurrence) {
  const auto& steps = job.occurrences[occurrence].steps;
  return LongestChain(job.submission.spec, [&](std::size_t s) {
    const std::int64_t estimate = job.submission.spec.steps[s].estimate_ms;
    std::int64_t longest = 0;
    for (const TaskState& task : steps[s].tasks) {
      const bool done = task.phase == TaskPhase::kDone;
      longest = std::max(
          longest,
          done ? 0 : estimate * (100 - std::min(task.percent, 100U)) / 100);
    }
    return longest;
  });
}

Prospect ProspectOf(const Job& job, std::uint32_t occurrence, Instant wall) {
  const Instant end = wall.After(RemainingMs(job, occurrence));
  if (end <= ObjectiveOf(job, occurrence)) {
    return Prospect::kOnTime;
  }
  return end <= StartOf(job, occurrence).After(kLateFactor * AllowanceMs(job))
             ? Prospect::kLate
             : Prospect::kTooLate;
}

}  // namespace carobrill::workload
