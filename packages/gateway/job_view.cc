#include "packages/gateway/job_view.h"

#include <algorithm>
#include <utility>

#include "packages/core/log.h"
#include "packages/gateway/topics.h"
#include "packages/workload/record_codec.h"

namespace carobrill::gateway {

using workload::Job;
using workload::RecordError;

IntakeChange JobView::ApplyIntake(const KeyedEntry& entry) {
  if (const auto id = JobIdFromKey(entry.key, kCancelPrefix)) {
    if (entry.value.empty()) {
      this->cancelled.erase(*id);
      return IntakeChange::kNone;
    }
    this->cancelled.insert(*id);
    const auto job = this->jobs.find(*id);
    if (job == this->jobs.end()) {
      return IntakeChange::kNone;
    }
    job->second.cancel_requested = true;
    return IntakeChange::kCancelled;
  }
  const auto id = JobIdFromKey(entry.key, kJobPrefix);
  if (!id.has_value()) {
    return IntakeChange::kNone;
  }
  if (entry.value.empty()) {
    this->jobs.erase(*id);
    this->early_progress.erase(*id);
    return IntakeChange::kNone;
  }
  return this->Accept(*id, entry.value);
}

// A resubmitted job is the same job, so the first record wins.
IntakeChange JobView::Accept(const JobId& id, const std::string& value) {
  if (this->jobs.contains(id)) {
    return IntakeChange::kNone;
  }
  auto submission = ValueOr<RecordError>(
      [&] { return workload::DecodeSubmission(id, value); },
      [&](const RecordError& error) {
        Log(LogLevel::kError, "cannot decode job submission",
            {{"job", error.key}});
      });
  if (!submission.has_value()) {
    return IntakeChange::kNone;
  }
  Job job = Job::Of(std::move(*submission));
  job.cancel_requested = this->cancelled.contains(id);
  const auto early = this->early_progress.find(id);
  if (early != this->early_progress.end()) {
    this->ReadProgress(job, early->second);
    this->early_progress.erase(early);
  }
  this->jobs.emplace(id, std::move(job));
  return IntakeChange::kAccepted;
}

void JobView::ApplyProgress(const KeyedEntry& entry) {
  const auto id = JobIdFromKey(entry.key, kJobPrefix);
  if (!id.has_value() || entry.value.empty()) {
    return;
  }
  const auto job = this->jobs.find(*id);
  if (job == this->jobs.end()) {
    this->early_progress[*id] = entry.value;
    return;
  }
  this->ReadProgress(job->second, entry.value);
}

void JobView::ReadProgress(Job& job, const std::string& bytes) {
  const auto error = ErrorFrom<RecordError>(
      [&] { return workload::DecodeProgress(bytes, job); });
  if (error.has_value()) {
    Log(LogLevel::kError, "cannot decode job progress", {{"job", error->key}});
  }
}

void JobView::RetainIntake(const std::set<std::string>& keys) {
  std::erase_if(this->jobs, [&](const auto& entry) {
    return !keys.contains(JobKey(entry.first));
  });
}

const Job* JobView::Find(const JobId& id) const {
  const auto job = this->jobs.find(id);
  return job == this->jobs.end() ? nullptr : &job->second;
}

std::uint64_t JobView::CountQueued(const std::string& queue) const {
  return static_cast<std::uint64_t>(
      std::ranges::count_if(this->jobs, [&](const auto& entry) {
        const Job& job = entry.second;
        return job.submission.queue == queue &&
               job.phase == workload::JobPhase::kQueued &&
               !job.cancel_requested;
      }));
}

}  // namespace carobrill::gateway
