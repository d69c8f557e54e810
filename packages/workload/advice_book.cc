#include "packages/workload/advice_book.h"

#include <algorithm>

namespace carobrill::workload {
namespace {

/// What a ticket must still be valid for when a task is assigned: the append
/// that stores the run, the order to the agent, and one repetition of it.
constexpr std::int64_t kTicketMarginMs = 500;

}  // namespace

void AdviceBook::Note(const AdviceRequest& request,
                      const std::vector<AdviceGrant>& granted,
                      Instant expires_at) {
  auto& by_worker = this->answers[request.step];
  for (const WorkerLife& worker : request.workers) {
    const auto grant =
        std::ranges::find(granted, worker.id, &AdviceGrant::worker);
    by_worker[worker] = grant == granted.end()
                            ? Answer{}
                            : Answer{true, grant->ticket, expires_at};
  }
}

const std::string* AdviceBook::TicketFor(const StepKey& step,
                                         const WorkerLife& worker,
                                         Instant now) const {
  const auto found = this->answers.find(step);
  if (found == this->answers.end()) {
    return nullptr;
  }
  const auto answer = found->second.find(worker);
  const bool usable = answer != found->second.end() && answer->second.granted &&
                      now.After(kTicketMarginMs) < answer->second.expires_at;
  return usable ? &answer->second.ticket : nullptr;
}

std::set<WorkerLife> AdviceBook::Granted(const StepKey& step,
                                         Instant now) const {
  std::set<WorkerLife> granted;
  const auto found = this->answers.find(step);
  if (found != this->answers.end()) {
    for (const auto& [worker, answer] : found->second) {
      if (this->TicketFor(step, worker, now) != nullptr) {
        granted.insert(worker);
      }
    }
  }
  return granted;
}

bool AdviceBook::MayAsk(const StepKey& step,
                        const WorkerLife& worker,
                        Instant now) const {
  const auto found = this->answers.find(step);
  if (found == this->answers.end()) {
    return true;
  }
  const auto answer = found->second.find(worker);
  return answer == found->second.end() ||
         (answer->second.granted &&
          this->TicketFor(step, worker, now) == nullptr);
}

void AdviceBook::Drop(const StepKey& step, const WorkerLife& worker) {
  const auto found = this->answers.find(step);
  if (found != this->answers.end()) {
    found->second.erase(worker);
  }
}

void AdviceBook::Forget(const JobId& job) {
  std::erase_if(this->answers,
                [&](const auto& entry) { return entry.first.job == job; });
}

}  // namespace carobrill::workload
