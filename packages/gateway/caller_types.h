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

/// What a caller wants.
enum class CallerVerb { kSubmit, kQuery, kCancel, kUnknown };

/// A call of a client.
struct CallerRequest {
  CallerVerb verb = CallerVerb::kUnknown;
  std::string host;
  std::string path;
  /// Empty when the call carries none.
  std::string api_key;
  /// Boot clock: how long the client waits.
  Instant deadline;
  /// The job handed in; nothing when the body cannot be read.
  std::optional<workload::JobSpec> spec;
  std::int64_t body_bytes = 0;
};

/// Outcome of a call.
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
  /// Nothing was done, and nothing of the call will be done later.
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

/// The answer to a call.
struct CallerAnswer {
  CallerOutcome outcome = CallerOutcome::kNotDone;
  /// Name of the job's phase, with kJobState.
  std::string state;
  /// Waiting jobs, with kQueueCount.
  std::uint64_t count = 0;
  /// When the caller may come back, with kNotDone; 0 for no hint.
  std::int64_t retry_after_ms = 0;
};

using CallerResponder = std::function<void(const CallerAnswer&)>;

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_CALLER_TYPES_H_
