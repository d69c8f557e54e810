#ifndef PACKAGES_WORKLOAD_ADVICE_BOOK_H_
#define PACKAGES_WORKLOAD_ADVICE_BOOK_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "packages/workload/job.h"

namespace carobrill::workload {

/// Names one step of one occurrence of a job.
struct StepKey {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  auto operator<=>(const StepKey&) const = default;
};

/// A question to the outside policy of a queue: which of these workers may run
/// the step?
struct AdviceRequest {
  StepKey step;
  std::vector<WorkerLife> workers;
  AdvicePolicy policy;
};

/// A worker that may run a step, and the ticket that its starts must carry.
struct AdviceGrant {
  WorkerId worker;
  std::string ticket;
};

/// Answers of outside policies, by step and life of a worker. A worker that was
/// not granted stays out of question, since a policy does not change its mind.
class AdviceCache {
 public:
  /// Notes the answer to a request: asked workers without a grant are denied.
  /// `expires_at` (boot clock) is when the tickets stop being valid.
  void Store(const AdviceRequest& request,
             const std::vector<AdviceGrant>& grants,
             Instant expires_at);

  /// The worker's ticket for the step, null when there is none that is still
  /// valid for long enough to start a task.
  const std::string* FindTicket(const StepKey& step,
                                const WorkerLife& worker,
                                Instant now) const;

  /// Workers with a usable ticket for the step.
  std::set<WorkerLife> GrantedWorkers(const StepKey& step, Instant now) const;

  /// True when a question about the worker could bring a ticket.
  bool CanRequest(const StepKey& step,
                  const WorkerLife& worker,
                  Instant now) const;

  /// Drops the worker's ticket, which it has refused.
  void DropTicket(const StepKey& step, const WorkerLife& worker);

  /// Drops everything that concerns the job.
  void EraseJob(const JobId& job);

 private:
  struct PolicyDecision {
    bool granted = false;
    std::string ticket;
    Instant expires_at;
  };

  std::map<StepKey, std::map<WorkerLife, PolicyDecision>> decisions;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_ADVICE_BOOK_H_
