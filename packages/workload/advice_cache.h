#ifndef PACKAGES_WORKLOAD_ADVICE_CACHE_H_
#define PACKAGES_WORKLOAD_ADVICE_CACHE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "packages/workload/job.h"

namespace carobrill::workload {

/// Identifies one step of one occurrence of a job.
struct StepKey {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  auto operator<=>(const StepKey&) const = default;
};

/// A request to the external placement policy of a queue: which of these
/// workers may run the step?
struct AdviceRequest {
  StepKey step;
  std::vector<WorkerIncarnation> workers;
  AdvicePolicy policy;
};

/// A worker that may run a step, and the ticket that start orders for the step
/// must carry.
struct AdviceGrant {
  WorkerId worker;
  std::string ticket;
};

/// Caches the decisions of external policies by step and worker incarnation. A
/// denial is kept for good, because a policy never revises a decision.
class AdviceCache {
 public:
  /// Stores the response to a request; workers of the request without a grant
  /// are denied. The tickets expire at `expires_at` (boot clock).
  void Store(const AdviceRequest& request,
             const std::vector<AdviceGrant>& grants,
             Instant expires_at);

  /// Returns the worker's ticket for the step, or null when there is none that
  /// stays valid long enough to start a task.
  const std::string* FindTicket(const StepKey& step,
                                const WorkerIncarnation& worker,
                                Instant now) const;

  /// Returns the workers for which FindTicket() finds a ticket.
  std::set<WorkerIncarnation> GrantedWorkers(const StepKey& step,
                                             Instant now) const;

  /// True when the worker has no usable ticket and was not denied, so that a
  /// request could yield one.
  bool CanRequest(const StepKey& step,
                  const WorkerIncarnation& worker,
                  Instant now) const;

  /// Drops the worker's ticket after the worker refused an order.
  void DropTicket(const StepKey& step, const WorkerIncarnation& worker);

  /// Drops all decisions for the steps of the job.
  void EraseJob(const JobId& job);

 private:
  struct PolicyDecision {
    bool granted = false;
    std::string ticket;
    Instant expires_at;
  };

  std::map<StepKey, std::map<WorkerIncarnation, PolicyDecision>> decisions;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_ADVICE_CACHE_H_
