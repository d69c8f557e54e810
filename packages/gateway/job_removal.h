#ifndef PACKAGES_GATEWAY_JOB_REMOVAL_H_
#define PACKAGES_GATEWAY_JOB_REMOVAL_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/core/keyed_log.h"
#include "packages/core/log.h"
#include "packages/core/task.h"
#include "packages/gateway/topics.h"

namespace carobrill::gateway {

/// Timing and size of the appends that remove submissions.
struct JobRemovalSettings {
  /// Timeout of one append, in ms. The slowest supported stores answer after
  /// about 700 ms.
  std::int64_t answer_timeout_ms = 1'200;
  /// Removals are not urgent, and every call of the store counts against the
  /// calls that jobs need.
  std::int64_t retry_delay_ms = 1'000;
  /// Maximum number of jobs in one append.
  std::size_t max_jobs = 500;
};

/// Removes expired jobs from the log in two steps, because a submission whose
/// progress is missing would be read as a new job, and would run again. This
/// class removes the submissions; the planner removes the progress of the jobs
/// that TakeRemoved() returns. A planner that takes over continues with the
/// jobs that have progress but no submission.
template <KeyedLog LogStore>
class JobRemoval {
 public:
  JobRemoval(Task& task, LogStore& log, JobRemovalSettings settings = {})
      : task(task), log(log), settings(settings) {}

  ~JobRemoval() { *this->alive = false; }

  JobRemoval(const JobRemoval&) = delete;
  JobRemoval& operator=(const JobRemoval&) = delete;

  /// Removes the submissions of jobs whose final state is stored. Jobs whose
  /// removal has begun are ignored.
  void RemoveSubmissions(const std::vector<JobId>& jobs) {
    for (const JobId& id : jobs) {
      if (!this->removed.contains(id) && !this->sent.contains(id)) {
        this->waiting.insert(id);
      }
    }
    this->SendNext();
  }

  /// Adds a job whose submission an earlier planner has removed.
  void AddRemoved(const JobId& id) { this->removed.insert(id); }

  /// The submission of a job has been stored, possibly after its removal.
  void OnSubmission(const JobId& id) {
    this->sent.erase(id);
    this->removed.erase(id);
  }

  /// Returns jobs whose submissions are removed, so that their progress can be
  /// removed: at most as many as fit into one append.
  std::vector<JobId> Removed() const {
    std::vector<JobId> result;
    std::ranges::copy_n(this->removed.begin(),
                        static_cast<std::ptrdiff_t>(std::min(
                            this->removed.size(), this->settings.max_jobs)),
                        std::back_inserter(result));
    return result;
  }

  /// The removal of the job's progress is stored. Returns false if its
  /// submission has been stored again meanwhile.
  bool Finish(const JobId& id) { return this->removed.erase(id) != 0; }

 private:
  void SendNext() {
    if (this->busy || this->waiting.empty()) {
      return;
    }
    this->busy = true;
    KeyedAppend append;
    append.topic = kIntakeTopic;
    while (!this->waiting.empty() &&
           this->sent.size() < this->settings.max_jobs) {
      const JobId id = *this->waiting.begin();
      this->waiting.erase(this->waiting.begin());
      append.entries.push_back({JobKey(id), {}});
      append.entries.push_back({CancelKey(id), {}});
      this->sent.insert(id);
    }
    append.deadline = BootClock{}.Now().After(this->settings.answer_timeout_ms);
    this->log.Append(
        append, [this, alive = this->alive](const KeyedAppendReply& reply) {
          if (*alive) {
            this->OnReply(reply.failure);
          }
        });
  }

  void OnReply(KeyedLogFailure failure) {
    if (failure == KeyedLogFailure::kNone) {
      Log(LogLevel::kInfo, "expired_jobs_removed",
          {{"jobs", std::to_string(this->sent.size())}});
      this->removed.merge(this->sent);
      this->sent.clear();
      this->busy = false;
      this->SendNext();
      return;
    }
    Log(LogLevel::kWarning, "failed to remove expired jobs; retrying",
        {{"jobs", std::to_string(this->sent.size())},
         {"reason", std::string(NameOf(failure))}});
    this->waiting.merge(this->sent);
    this->sent.clear();
    this->task.PostAt(BootClock{}.Now().After(this->settings.retry_delay_ms),
                      [this, alive = this->alive] {
                        if (*alive) {
                          this->busy = false;
                          this->SendNext();
                        }
                      });
  }

  Task& task;
  LogStore& log;
  JobRemovalSettings settings;
  bool busy = false;
  /// @{
  /// Jobs whose submissions are to be removed, are being removed, and are known
  /// to be removed.
  std::set<JobId> waiting;
  std::set<JobId> sent;
  std::set<JobId> removed;
  /// @}
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_JOB_REMOVAL_H_
