#ifndef PACKAGES_DAEMON_API_ERROR_H_
#define PACKAGES_DAEMON_API_ERROR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "packages/core/name_table.h"

namespace carobrill::daemon {

/// Whether the requested work was executed.
enum class Ran { kNo, kYes, kUnknown };

constexpr auto NamesOf(Ran) {
  return MakeNameTable<Ran>(
      {{Ran::kNo, "no"}, {Ran::kYes, "yes"}, {Ran::kUnknown, "unknown"}});
}

/// Error codes of the API. The names are part of the wire format.
enum class ApiError {
  kMalformedJson,
  kMissingField,
  kUnknownField,
  kInvalidField,
  kInvalidQuery,
  kUnsupportedMediaType,
  kBodyTooLarge,
  kNotFound,
  kMethodNotAllowed,
  kUnknownService,
  kUnknownAccount,
  kUnknownJob,
  kUnknownWorker,
  kIdempotencyKeyRequired,
  kInvalidIdempotencyKey,
  kIdempotencyKeyReused,
  kRequestInProgress,
  kClaimNotRun,
  kRulesConflict,
  kRulesInvalid,
  kJobTooLarge,
  kQuotaExceeded,
  kNotPreemptible,
  kJobRefused,
  kJobEnded,
  kWorkerTransitionRefused,
  kQueueFull,
  kDeadlineUnreachable,
  kDeadlinePassed,
  kNoEndpoint,
  kEndpointFailed,
  kAnswerTruncated,
  kOutcomeUnknown,
  kCancelled,
  kLogUnavailable,
  kDraining,
  kNotReady,
  kInternal,
};

constexpr auto NamesOf(ApiError) {
  return MakeNameTable<ApiError>({
      {ApiError::kMalformedJson, "malformed_json"},
      {ApiError::kMissingField, "missing_field"},
      {ApiError::kUnknownField, "unknown_field"},
      {ApiError::kInvalidField, "invalid_field"},
      {ApiError::kInvalidQuery, "invalid_query"},
      {ApiError::kUnsupportedMediaType, "unsupported_media_type"},
      {ApiError::kBodyTooLarge, "body_too_large"},
      {ApiError::kNotFound, "not_found"},
      {ApiError::kMethodNotAllowed, "method_not_allowed"},
      {ApiError::kUnknownService, "unknown_service"},
      {ApiError::kUnknownAccount, "unknown_account"},
      {ApiError::kUnknownJob, "unknown_job"},
      {ApiError::kUnknownWorker, "unknown_worker"},
      {ApiError::kIdempotencyKeyRequired, "idempotency_key_required"},
      {ApiError::kInvalidIdempotencyKey, "invalid_idempotency_key"},
      {ApiError::kIdempotencyKeyReused, "idempotency_key_reused"},
      {ApiError::kRequestInProgress, "request_in_progress"},
      {ApiError::kClaimNotRun, "claim_not_run"},
      {ApiError::kRulesConflict, "rules_conflict"},
      {ApiError::kRulesInvalid, "rules_invalid"},
      {ApiError::kJobTooLarge, "job_too_large"},
      {ApiError::kQuotaExceeded, "quota_exceeded"},
      {ApiError::kNotPreemptible, "not_preemptible"},
      {ApiError::kJobRefused, "job_refused"},
      {ApiError::kJobEnded, "job_ended"},
      {ApiError::kWorkerTransitionRefused, "worker_transition_refused"},
      {ApiError::kQueueFull, "queue_full"},
      {ApiError::kDeadlineUnreachable, "deadline_unreachable"},
      {ApiError::kDeadlinePassed, "deadline_passed"},
      {ApiError::kNoEndpoint, "no_endpoint"},
      {ApiError::kEndpointFailed, "endpoint_failed"},
      {ApiError::kAnswerTruncated, "answer_truncated"},
      {ApiError::kOutcomeUnknown, "outcome_unknown"},
      {ApiError::kCancelled, "cancelled"},
      {ApiError::kLogUnavailable, "log_unavailable"},
      {ApiError::kDraining, "draining"},
      {ApiError::kNotReady, "not_ready"},
      {ApiError::kInternal, "internal"},
  });
}

/// Properties of the HTTP response for an error.
struct ApiErrorInfo {
  int status = 500;
  /// Default for `ran`; Problem::ran overrides it.
  Ran ran = Ran::kUnknown;
  std::string_view title;
};

/// Returns the HTTP status, default `ran` and title of `error`.
ApiErrorInfo GetErrorInfo(ApiError error);

/// An error in a rule file.
struct RuleFileError {
  /// Line number from 1; 0 when the error concerns the whole file.
  std::uint32_t line = 0;
  std::string kind;
  std::string message;
};

/// An error response (`application/problem+json`).
struct Problem {
  ApiError error = ApiError::kInternal;
  /// Human-readable explanation in one sentence.
  std::string detail;
  /// Overrides the default `ran` of the error.
  std::optional<Ran> ran = std::nullopt;
  /// For kRulesConflict: the active version and the diff to it.
  std::uint64_t version_in_force = 0;
  std::string diff = {};
  /// For kRulesInvalid: the errors in the rule file.
  std::vector<RuleFileError> faults = {};

  /// Value of `ran` in the response.
  Ran EffectiveExecutionStatus() const {
    return this->ran.value_or(GetErrorInfo(this->error).ran);
  }
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_API_ERROR_H_
