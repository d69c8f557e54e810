#ifndef PACKAGES_GATEWAY_JOB_VIEW_H_
#define PACKAGES_GATEWAY_JOB_VIEW_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "packages/core/keyed_log.h"
#include "packages/workload/job.h"

namespace carobrill::gateway {

/// Effect of a record of the intake topic.
enum class IntakeChange {
  kNone,
  kAccepted,
  /// A submission of a job that has progress has been stored again.
  kRestored,
  kCancelled,
};

/// In-memory view of all jobs in the log: submissions, cancellations and
/// progress. The intake and progress topics are read independently, so either
/// record of a job may arrive first.
class JobView {
 public:
  /// Applies a record of the intake topic.
  IntakeChange ApplyIntake(const KeyedEntry& entry);

  /// Applies a record of the progress topic.
  void ApplyProgress(const KeyedEntry& entry);

  /// @{
  /// Removes what is missing from a snapshot of the topic.
  void RetainIntake(const std::set<std::string>& keys);
  void RetainProgress(const std::set<std::string>& keys);
  /// @}

  /// Returns the job, or null if it is unknown.
  const workload::Job* Find(const JobId& id) const;

  /// Returns the number of jobs in the queue that have not started any task and
  /// are not being cancelled.
  std::uint64_t CountQueued(const std::string& queue) const;

  const std::map<JobId, workload::Job>& Jobs() const { return this->jobs; }

  /// True if the newest progress of the job cannot be decoded. The job may have
  /// run further than its state in this view.
  bool IsProgressUnreadable(const JobId& id) const {
    return this->unreadable_progress.contains(id);
  }

  /// Returns the jobs that have progress but no submission. Once both topics
  /// have been read up to one point in time, their submissions are removed.
  std::vector<JobId> RemovedJobs() const;

 private:
  IntakeChange Accept(const JobId& id, const std::string& value);
  void ReadProgress(workload::Job& job, const std::string& bytes);
  std::string StoredProgress(const workload::Job& job) const;
  void RemoveSubmission(const JobId& id);

  std::map<JobId, workload::Job> jobs;
  /// Jobs in `jobs` that have a progress record.
  std::set<JobId> with_progress;
  /// The newest progress records that cannot be decoded, of jobs in `jobs`.
  std::map<JobId, std::string> unreadable_progress;
  /// Progress records of jobs that are not in `jobs`.
  std::map<JobId, std::string> other_progress;
  /// Jobs that are not in `jobs` because their submission cannot be decoded.
  std::set<JobId> malformed;
  std::set<JobId> cancelled;
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_JOB_VIEW_H_
