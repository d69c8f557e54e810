#ifndef PACKAGES_GATEWAY_CALLER_TYPES_H_
#define PACKAGES_GATEWAY_CALLER_TYPES_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "packages/core/name_table.h"
#include "packages/core/time.h"
#include "packages/workload/job_spec.h"

namespace carobrill::gateway {

/// Operation requested by a client.
enum class CallerOperation { kSubmit, kQuery, kCancel, kUnknown };

/// A client call.
struct CallerRequest {
  CallerOperation verb = CallerOperation::kUnknown;
  std::string host;
  std::string path;
  /// Empty if the call carries no key.
  std::string api_key;
  /// Boot clock. The client stops waiting at this time.
  Instant deadline;
  /// The submitted job, or nothing if the body could not be decoded.
  std::optional<workload::JobSpec> spec;
  std::int64_t body_bytes = 0;
};

/// Outcome of a client call.
enum class CallerOutcome {
  kAccepted,
  kCancelAccepted,
  kJobState,
  kQueueCount,
  kUnknownQueue,
  kUnknownKey,
  kUnknownJob,
  kMalformed,
  kTooLarge,
  /// The call had no effect and will have none later.
  kNotDone,
  /// The call may have taken effect.
  kOutcomeUnknown,
};

constexpr auto NamesOf(CallerOutcome) {
  return MakeNameTable<CallerOutcome>({
      {CallerOutcome::kAccepted, "accepted"},
      {CallerOutcome::kCancelAccepted, "cancel_accepted"},
      {CallerOutcome::kJobState, "job_state"},
      {CallerOutcome::kQueueCount, "queue_count"},
      {CallerOutcome::kUnknownQueue, "unknown_queue"},
      {CallerOutcome::kUnknownKey, "unknown_key"},
      {CallerOutcome::kUnknownJob, "unknown_job"},
      {CallerOutcome::kMalformed, "malformed"},
      {CallerOutcome::kTooLarge, "too_large"},
      {CallerOutcome::kNotDone, "not_done"},
      {CallerOutcome::kOutcomeUnknown, "outcome_unknown"},
  });
}

/// Response to a client call.
struct CallerAnswer {
  CallerOutcome outcome = CallerOutcome::kNotDone;
  /// Name of the job's phase. Set with kJobState.
  std::string state;
  /// Number of queued jobs. Set with kQueueCount.
  std::uint64_t count = 0;
  /// Delay before the client should retry. Set with kNotDone; 0 means no hint.
  std::int64_t retry_after_ms = 0;
};

using CallerResponder = std::function<void(const CallerAnswer&)>;

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_CALLER_TYPES_H_
