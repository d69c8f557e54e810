#ifndef PACKAGES_GATEWAY_ADVICE_CALLER_H_
#define PACKAGES_GATEWAY_ADVICE_CALLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "packages/core/task.h"
#include "packages/workload/advice_book.h"

namespace carobrill::gateway {

/// A policy's answer; the rest counts only when `answered`.
struct AdviceReply {
  bool answered = false;
  std::vector<workload::AdviceGrant> granted;
  /// How long the tickets are valid from now on, in ms.
  std::int64_t valid_ms = 0;
};

/// Asks a policy; the callback runs once, on the caller's task, at the deadline
/// (boot clock) at the latest.
using AdviseFunction =
    std::function<void(const workload::AdviceRequest& request,
                       Instant deadline,
                       std::function<void(AdviceReply)> callback)>;

/// Asks the outside policies of queues, one question at a time: a policy
/// answers the calls of one machine in turn.
class AdviceCaller {
 public:
  /// `noted` runs on the task with each answer and the boot-clock time at which
  /// its tickets end.
  using NotedFunction =
      std::function<void(const workload::AdviceRequest& request,
                         const std::vector<workload::AdviceGrant>& granted,
                         Instant expires_at)>;

  AdviceCaller(Task& task, AdviseFunction advise, NotedFunction noted);
  ~AdviceCaller();

  AdviceCaller(const AdviceCaller&) = delete;
  AdviceCaller& operator=(const AdviceCaller&) = delete;

  /// Sends the first of the questions unless one is under way.
  void Offer(const std::vector<workload::AdviceRequest>& wanted);

 private:
  void OnReply(const workload::AdviceRequest& request,
               const AdviceReply& reply,
               Instant sent);

  Task& task;
  AdviseFunction advise;
  NotedFunction noted;
  bool asking = false;
  bool failing = false;
  /// Boot clock: no question before this, after one that got no answer.
  Instant retry_at;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_ADVICE_CALLER_H_
