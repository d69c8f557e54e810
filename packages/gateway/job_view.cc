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
    this->RemoveSubmission(*id);
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
    this->malformed.insert(id);
    return IntakeChange::kNone;
  }
  this->malformed.erase(id);
  Job job = Job::Of(std::move(*submission));
  job.cancel_requested = this->cancelled.contains(id);
  const auto progress = this->other_progress.find(id);
  const bool has_progress = progress != this->other_progress.end();
  if (has_progress) {
    this->ReadProgress(job, progress->second);
    this->other_progress.erase(progress);
    this->with_progress.insert(id);
  }
  this->jobs.emplace(id, std::move(job));
  return has_progress ? IntakeChange::kRestored : IntakeChange::kAccepted;
}

// The progress is kept for a submission that is stored again before the
// progress has been removed as well.
void JobView::RemoveSubmission(const JobId& id) {
  this->malformed.erase(id);
  const auto job = this->jobs.find(id);
  if (job == this->jobs.end()) {
    return;
  }
  if (this->with_progress.erase(id) != 0) {
    this->other_progress[id] = this->StoredProgress(job->second);
  }
  this->unreadable_progress.erase(id);
  this->jobs.erase(job);
}

void JobView::ApplyProgress(const KeyedEntry& entry) {
  const auto id = JobIdFromKey(entry.key, kJobPrefix);
  if (!id.has_value()) {
    return;
  }
  // The submission was removed first, but may be read later.
  if (entry.value.empty()) {
    this->other_progress.erase(*id);
    this->with_progress.erase(*id);
    this->unreadable_progress.erase(*id);
    return;
  }
  const auto job = this->jobs.find(*id);
  if (job == this->jobs.end()) {
    this->other_progress[*id] = entry.value;
    return;
  }
  this->with_progress.insert(*id);
  this->ReadProgress(job->second, entry.value);
}

void JobView::ReadProgress(Job& job, const std::string& bytes) {
  const auto error = ErrorFrom<RecordError>(
      [&] { return workload::DecodeProgress(bytes, job); });
  const JobId& id = job.submission.id;
  if (error.has_value()) {
    Log(LogLevel::kError, "cannot decode job progress", {{"job", error->key}});
    this->unreadable_progress[id] = bytes;
  } else {
    this->unreadable_progress.erase(id);
  }
}

std::string JobView::StoredProgress(const Job& job) const {
  const auto unreadable = this->unreadable_progress.find(job.submission.id);
  return unreadable != this->unreadable_progress.end()
             ? unreadable->second
             : workload::EncodeProgress(job);
}

void JobView::RetainIntake(const std::set<std::string>& keys) {
  std::vector<JobId> removed;
  for (const auto& [id, job] : this->jobs) {
    if (!keys.contains(JobKey(id))) {
      removed.push_back(id);
    }
  }
  for (const JobId& id : removed) {
    this->RemoveSubmission(id);
  }
  std::erase_if(this->malformed,
                [&](const JobId& id) { return !keys.contains(JobKey(id)); });
  std::erase_if(this->cancelled,
                [&](const JobId& id) { return !keys.contains(CancelKey(id)); });
}

void JobView::RetainProgress(const std::set<std::string>& keys) {
  std::erase_if(this->with_progress,
                [&](const JobId& id) { return !keys.contains(JobKey(id)); });
  const auto removed = [&](const auto& entry) {
    return !keys.contains(JobKey(entry.first));
  };
  std::erase_if(this->unreadable_progress, removed);
  std::erase_if(this->other_progress, removed);
}

std::vector<JobId> JobView::RemovedJobs() const {
  std::vector<JobId> removed;
  for (const auto& [id, progress] : this->other_progress) {
    if (!this->malformed.contains(id)) {
      removed.push_back(id);
    }
  }
  return removed;
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
