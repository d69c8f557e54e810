#include "packages/gateway/advice_caller.h"

#include <algorithm>
#include <string>
#include <utility>

#include "packages/core/log.h"

namespace carobrill::gateway {
namespace {

/// Time allowed for a response beyond the decision time that the policy
/// declares.
constexpr std::int64_t kTimeoutMarginMs = 1'000;

/// Delay before the next request after one that was not answered.
constexpr std::int64_t kRetryDelayMs = 200;

}  // namespace

AdviceCaller::AdviceCaller(Task& task,
                           AdviseFunction advise,
                           ResponseFunction on_response)
    : task(task),
      advise(std::move(advise)),
      on_response(std::move(on_response)) {}

AdviceCaller::~AdviceCaller() {
  *this->alive = false;
}

void AdviceCaller::SendNext(
    const std::vector<workload::AdviceRequest>& requests) {
  const Instant now = BootClock{}.Now();
  if (requests.empty() || this->in_flight || now < this->retry_at) {
    return;
  }
  this->in_flight = true;
  const workload::AdviceRequest& request = requests.front();
  const std::int64_t decision_ms =
      request.policy.decide_ms +
      request.policy.each_ms *
          static_cast<std::int64_t>(request.workers.size());
  this->advise(
      request, now.After(decision_ms + kTimeoutMarginMs),
      [this, alive = this->alive, request, now](const AdviceReply& reply) {
        if (*alive) {
          this->OnReply(request, reply, now);
        }
      });
}

void AdviceCaller::OnReply(const workload::AdviceRequest& request,
                           const AdviceReply& reply,
                           Instant sent) {
  const Instant now = BootClock{}.Now();
  this->in_flight = false;
  if (!reply.answered) {
    this->retry_at = now.After(kRetryDelayMs);
    if (!std::exchange(this->failing, true)) {
      Log(LogLevel::kWarning, "dependency lost",
          {{"dependency", "advice"},
           {"job", request.step.job.value},
           {"age_ms", std::to_string(now.ms - sent.ms)}});
    }
    return;
  }
  if (std::exchange(this->failing, false)) {
    Log(LogLevel::kInfo, "dependency regained", {{"dependency", "advice"}});
  }
  // The validity of a ticket starts when the policy decides. That is at most
  // the declared decision time after the request was sent, and no later than
  // now.
  const std::int64_t valid_ms =
      reply.valid_ms > 0 ? reply.valid_ms : request.policy.valid_ms;
  const std::int64_t decided_ms =
      std::min(now.ms - sent.ms,
               request.policy.decide_ms +
                   request.policy.each_ms *
                       static_cast<std::int64_t>(request.workers.size()));
  this->on_response(request, reply.granted, sent.After(decided_ms + valid_ms));
}

}  // namespace carobrill::gateway
