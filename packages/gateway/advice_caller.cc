#include "packages/gateway/advice_caller.h"

#include <algorithm>
#include <string>
#include <utility>

#include "packages/core/log.h"

namespace carobrill::gateway {
namespace {

/// Time allowed for a response beyond the decision time that the policy
/// declares.
constexpr std::int64_t kAnswerMarginMs = 1'000;

/// Delay before the next request after one that was not answered.
constexpr std::int64_t kRetryMs = 200;

}  // namespace

AdviceCaller::AdviceCaller(Task& task,
                           AdviseFunction advise,
                           NotedFunction noted)
    : task(task), advise(std::move(advise)), noted(std::move(noted)) {}

AdviceCaller::~AdviceCaller() {
  *this->alive = false;
}

void AdviceCaller::Offer(const std::vector<workload::AdviceRequest>& wanted) {
  const Instant now = BootClock{}.Now();
  if (wanted.empty() || this->asking || now < this->retry_at) {
    return;
  }
  this->asking = true;
  const workload::AdviceRequest& request = wanted.front();
  const std::int64_t answer_ms =
      request.policy.decide_ms +
      request.policy.each_ms *
          static_cast<std::int64_t>(request.workers.size());
  this->advise(
      request, now.After(answer_ms + kAnswerMarginMs),
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
  this->asking = false;
  if (!reply.answered) {
    this->retry_at = now.After(kRetryMs);
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
  this->noted(request, reply.granted, sent.After(decided_ms + valid_ms));
}

}  // namespace carobrill::gateway
