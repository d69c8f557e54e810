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

/// Identifies a pending request of one dispatcher.
using RequestId = std::uint64_t;

/// Progress of a pending request.
enum class RequestPhase {
  /// Waits for the log to become available, as requested by its caller.
  kHeld,
  kQueued,
  /// Its claim is proposed; nothing has been sent.
  kClaimProposed,
  kSent,
  /// Waits until the claim of its key is settled, by this or another entry.
  kAwaitingSettlement,
};

/// A call that waits for a pending request.
struct Caller {
  CallId call = 0;
  Instant deadline;
  /// Earlier calls may have used the key.
  bool repeat = false;
  /// A claim made by this entry after the call certainly did not run.
  bool verified_not_run = false;
};

/// The timer of the call's deadline.
inline Timer DeadlineTimer(const Caller& caller) {
  return Timer{caller.deadline, TimerKind::kCallDeadline, caller.call};
}

/// An accepted request; calls that repeat its key share it.
struct PendingRequest {
  RequestId id = 0;
  Request request;
  RequestPhase phase = RequestPhase::kQueued;
  std::vector<Caller> callers;
  Instant enqueued_at;
  std::int64_t predicted_ms = 0;
  bool is_long = false;
  /// Whether it ran, as far as its ended attempts tell.
  Ran ran = Ran::kNo;
  /// Attempts without a reply yet.
  std::uint32_t outstanding = 0;
  /// Attempts that ended without a usable answer.
  std::uint32_t lost_attempts = 0;
  /// Endpoint of the last attempt; the next one avoids it if possible.
  EndpointId last_endpoint;

  /// Position in the queue, kept when it is queued again; 0 if never queued.
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

/// The pending requests of a dispatcher, by id, call and idempotency key.
class RequestTable {
 public:
  /// Adds `pending` under a new id. References stay valid until it is removed.
  PendingRequest& Add(PendingRequest pending);

  PendingRequest* Find(RequestId id);
  PendingRequest* FindByCall(CallId call);
  PendingRequest* FindByKey(const ClaimKey& key);

  void AddCaller(PendingRequest& pending, const Caller& caller);
  void RemoveCaller(CallId call);
  void Remove(RequestId id);

  /// Ids of all keyed requests.
  std::vector<RequestId> ListKeyed() const;

  /// Ids of all keyed requests in `phase`.
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
