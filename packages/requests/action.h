#ifndef PACKAGES_REQUESTS_ACTION_H_
#define PACKAGES_REQUESTS_ACTION_H_

#include <string>
#include <variant>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/time.h"
#include "packages/records/records.pb.h"
#include "packages/requests/request_types.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::requests {

/// Append `record` to the log (body only; the writer fills in the rest).
/// OnRecordApplied follows once the replicated state machine has applied it.
struct ProposeRecord {
  records::Record record;
};

/// Call Agent.Execute at `address`. Answered exactly once, by OnExecuteReply
/// or, on any transport error or timeout, by OnExecuteFailed. The transport
/// must not retry the call.
struct SendAttempt {
  AttemptId attempt;
  InstanceId agent;
  std::string address;
  /// The call may be abandoned after this time.
  Instant deadline;
  rpc::ExecuteRequest request;
};

/// Call Agent.FenceClaim at `address`. Answered exactly once, by OnFenceReply
/// or OnFenceFailed, with the same `fence`.
struct SendFence {
  std::uint64_t fence = 0;
  InstanceId agent;
  std::string address;
  Instant deadline;
  rpc::FenceClaimRequest request;
};

/// Answer the caller of `call`; emitted exactly once for each call.
struct AnswerCaller {
  CallId call = 0;
  Answer answer;
};

using Action =
    std::variant<ProposeRecord, SendAttempt, SendFence, AnswerCaller>;
using Actions = std::vector<Action>;

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_ACTION_H_
