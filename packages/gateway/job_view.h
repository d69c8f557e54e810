#ifndef PACKAGES_GATEWAY_JOB_VIEW_H_
#define PACKAGES_GATEWAY_JOB_VIEW_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "packages/core/keyed_log.h"
#include "packages/workload/job.h"

namespace carobrill::gateway {

/// What a record of the intake topic meant.
enum class IntakeChange { kNone, kAccepted, kCancelled };

/// All jobs as the log holds them: what was accepted and how far it is. The two
/// topics are read independently, so either record of a job may come first.
class JobView {
 public:
  /// Applies a record of the intake topic.
  IntakeChange ApplyIntake(const KeyedEntry& entry);

  /// Applies a record of the progress topic.
  void ApplyProgress(const KeyedEntry& entry);

  /// Drops the jobs whose key is not in a snapshot of the intake topic.
  void KeepIntake(const std::set<std::string>& keys);

  /// The job; null when it is not known.
  const workload::Job* Find(const JobId& id) const;

  /// Jobs of the queue of which no task has started.
  std::uint64_t CountQueued(const std::string& queue) const;

  const std::map<JobId, workload::Job>& Jobs() const { return this->jobs; }

 private:
  IntakeChange Accept(const JobId& id, const std::string& value);
  void ReadProgress(workload::Job& job, const std::string& bytes);

  std::map<JobId, workload::Job> jobs;
  /// Progress of jobs whose submission has not been read yet.
  std::map<JobId, std::string> early_progress;
  std::set<JobId> cancelled;
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_JOB_VIEW_H_
