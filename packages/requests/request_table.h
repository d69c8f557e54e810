#ifndef PACKAGES_REQUESTS_REQUEST_TABLE_H_
#define PACKAGES_REQUESTS_REQUEST_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/serving_endpoint.h"
#include "packages/core/time.h"
#include "packages/requests/request_types.h"
#include "packages/requests/timer_queue.h"

namespace carobrill::requests {

/// Names a piece of work of one dispatcher.
using RequestId = std::uint64_t;

/// How far a piece of work is.
enum class RequestPhase {
  /// Waits for the log, as its caller asked.
  kHeld,
  kQueued,
  /// Its claim is proposed; nothing has been sent.
  kClaimProposed,
  kSent,
  /// Waits until the claim of its key is settled, by whomever.
  kAwaitingSettlement,
};

/// A call that waits for a piece of work.
struct Caller {
  CallId call = 0;
  Instant deadline;
  /// Earlier calls may have used the key.
  bool repeat = false;
  /// A claim of this entry, later than the call, certainly did not run.
  bool verified_not_run = false;
};

/// The timer of the call's deadline.
inline Timer DeadlineTimer(const Caller& caller) {
  return Timer{caller.deadline, TimerKind::kCallDeadline, caller.call};
}

/// A request on its way; calls that repeat its key join it.
struct PendingRequest {
  RequestId id = 0;
  Request request;
  RequestPhase phase = RequestPhase::kQueued;
  std::vector<Caller> callers;
  Instant enqueued_at;
  std::int64_t predicted_ms = 0;
  bool is_long = false;
  /// What attempts that are over say about whether it ran.
  Ran ran = Ran::kNo;
  /// Attempts without a reply yet.
  std::uint32_t outstanding = 0;
  /// Endpoint of the last attempt, to try another one next.
  EndpointId last_endpoint;

  /// Its place in the queue, which it keeps when it is refused; 0 for none.
  std::uint64_t queue_sequence = 0;

  /// The members below are used when the request is not idempotent.
  ClaimKey key;
  std::string payload_digest;
  std::uint64_t proposal = 0;
  std::uint32_t claim_count = 0;
  ServingEndpoint target;
  Offset claim_offset = 0;
  /// Sent under `claim_offset`, and not known to have been refused.
  bool unsettled = false;

  bool IsKeyed() const { return !this->request.idempotent; }

  /// Latest deadline of its callers.
  Instant Deadline() const;
};

/// All work of a dispatcher, by id, by call and by idempotency key.
class RequestTable {
 public:
  /// Adds `work` under a new id. References stay valid until its removal.
  PendingRequest& Add(PendingRequest pending);

  PendingRequest* Find(RequestId id);
  PendingRequest* FindByCall(CallId call);
  PendingRequest* FindByKey(const ClaimKey& key);

  void AddCaller(PendingRequest& pending, const Caller& caller);
  void RemoveCaller(CallId call);
  void Remove(RequestId id);

  /// Ids of all work that has a key.
  std::vector<RequestId> ListKeyed() const;

  /// Ids of all work that has a key and is in `phase`.
  std::vector<RequestId> ListKeyedIn(RequestPhase phase) const;

  bool empty() const { return this->requests.empty(); }
  std::size_t CallCount() const { return this->calls.size(); }

 private:
  RequestId next_id = 1;
  std::unordered_map<RequestId, PendingRequest> requests;
  std::unordered_map<CallId, RequestId> calls;
  std::map<ClaimKey, RequestId> keys;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_REQUEST_TABLE_H_
