#ifndef PACKAGES_GATEWAY_ADVICE_CALLER_H_
#define PACKAGES_GATEWAY_ADVICE_CALLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "packages/core/task.h"
#include "packages/workload/advice_cache.h"

namespace carobrill::gateway {

/// Response of an external placement policy. The other fields are valid only if
/// `answered` is true.
struct AdviceReply {
  bool answered = false;
  std::vector<workload::AdviceGrant> granted;
  /// Validity of the tickets from the time of the decision, in ms. 0 means the
  /// validity that the policy's configuration gives.
  std::int64_t valid_ms = 0;
};

/// Sends a request to a policy. The callback runs exactly once, on the caller's
/// task, no later than `deadline` (boot clock).
using AdviseFunction =
    std::function<void(const workload::AdviceRequest& request,
                       Instant deadline,
                       std::function<void(AdviceReply)> callback)>;

/// Sends placement requests to the external policies of queues, one request at
/// a time: a policy serves the calls from one machine sequentially.
class AdviceCaller {
 public:
  /// Runs on the task for each response. `expires_at` is the boot-clock time at
  /// which the tickets of the response expire.
  using ResponseFunction =
      std::function<void(const workload::AdviceRequest& request,
                         const std::vector<workload::AdviceGrant>& granted,
                         Instant expires_at)>;

  AdviceCaller(Task& task, AdviseFunction advise, ResponseFunction on_response);
  ~AdviceCaller();

  AdviceCaller(const AdviceCaller&) = delete;
  AdviceCaller& operator=(const AdviceCaller&) = delete;

  /// Sends the first of the requests unless another one is in flight or the
  /// delay after a failed request has not passed.
  void SendNext(const std::vector<workload::AdviceRequest>& requests);

 private:
  void OnReply(const workload::AdviceRequest& request,
               const AdviceReply& reply,
               Instant sent);

  Task& task;
  AdviseFunction advise;
  ResponseFunction on_response;
  bool in_flight = false;
  bool failing = false;
  /// Boot clock. No request is sent before this time after one that was not
  /// answered.
  Instant retry_at;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_ADVICE_CALLER_H_
