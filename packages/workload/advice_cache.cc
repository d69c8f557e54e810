#include "packages/workload/advice_cache.h"

#include <algorithm>

namespace carobrill::workload {
namespace {

/// Minimum remaining validity of a ticket when a task is assigned. Covers the
/// log append that stores the run, sending the order to the agent, and one
/// retry of it.
constexpr std::int64_t kTicketMarginMs = 500;

}  // namespace

void AdviceCache::Store(const AdviceRequest& request,
                        const std::vector<AdviceGrant>& grants,
                        Instant expires_at) {
  auto& by_worker = this->decisions[request.step];
  for (const WorkerIncarnation& worker : request.workers) {
    const auto grant =
        std::ranges::find(grants, worker.id, &AdviceGrant::worker);
    by_worker[worker] = grant == grants.end()
                            ? PolicyDecision{}
                            : PolicyDecision{true, grant->ticket, expires_at};
  }
}

const std::string* AdviceCache::FindTicket(const StepKey& step,
                                           const WorkerIncarnation& worker,
                                           Instant now) const {
  const auto found = this->decisions.find(step);
  if (found == this->decisions.end()) {
    return nullptr;
  }
  const auto decision = found->second.find(worker);
  const bool usable = decision != found->second.end() &&
                      decision->second.granted &&
                      now.After(kTicketMarginMs) < decision->second.expires_at;
  return usable ? &decision->second.ticket : nullptr;
}

std::set<WorkerIncarnation> AdviceCache::GrantedWorkers(const StepKey& step,
                                                        Instant now) const {
  std::set<WorkerIncarnation> granted;
  const auto found = this->decisions.find(step);
  if (found != this->decisions.end()) {
    for (const auto& [worker, decision] : found->second) {
      if (this->FindTicket(step, worker, now) != nullptr) {
        granted.insert(worker);
      }
    }
  }
  return granted;
}

bool AdviceCache::CanRequest(const StepKey& step,
                             const WorkerIncarnation& worker,
                             Instant now) const {
  const auto found = this->decisions.find(step);
  if (found == this->decisions.end()) {
    return true;
  }
  const auto decision = found->second.find(worker);
  return decision == found->second.end() ||
         (decision->second.granted &&
          this->FindTicket(step, worker, now) == nullptr);
}

void AdviceCache::DropTicket(const StepKey& step,
                             const WorkerIncarnation& worker) {
  const auto found = this->decisions.find(step);
  if (found != this->decisions.end()) {
    found->second.erase(worker);
  }
}

void AdviceCache::EraseJob(const JobId& job) {
  std::erase_if(this->decisions,
                [&](const auto& entry) { return entry.first.job == job; });
}

}  // namespace carobrill::workload
