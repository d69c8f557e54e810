#ifndef PACKAGES_GATEWAY_JOB_VIEW_H_
#define PACKAGES_GATEWAY_JOB_VIEW_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "packages/core/keyed_log.h"
#include "packages/workload/job.h"

namespace carobrill::gateway {

/// Effect of a record of the intake topic.
enum class IntakeChange { kNone, kAccepted, kCancelled };

/// In-memory view of all jobs in the log: submissions, cancellations and
/// progress. The intake and progress topics are read independently, so either
/// record of a job may arrive first.
class JobView {
 public:
  /// Applies a record of the intake topic.
  IntakeChange ApplyIntake(const KeyedEntry& entry);

  /// Applies a record of the progress topic.
  void ApplyProgress(const KeyedEntry& entry);

  /// Removes jobs whose key is missing from a snapshot of the intake topic.
  void RetainIntake(const std::set<std::string>& keys);

  /// Returns the job, or null if it is unknown.
  const workload::Job* Find(const JobId& id) const;

  /// Returns the number of jobs in the queue that have not started any task and
  /// are not being cancelled.
  std::uint64_t CountQueued(const std::string& queue) const;

  const std::map<JobId, workload::Job>& Jobs() const { return this->jobs; }

 private:
  IntakeChange Accept(const JobId& id, const std::string& value);
  void ReadProgress(workload::Job& job, const std::string& bytes);

  std::map<JobId, workload::Job> jobs;
  /// Progress records of jobs whose submission has not been read yet.
  std::map<JobId, std::string> early_progress;
  std::set<JobId> cancelled;
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_JOB_VIEW_H_
