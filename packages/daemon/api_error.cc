#include "packages/daemon/api_error.h"

namespace carobrill::daemon {

// `ran` is kNo only where the work cannot have been sent. Code that has more
// information overrides it in the Problem.
ApiErrorInfo GetErrorInfo(ApiError error) {
  switch (error) {
    case ApiError::kMalformedJson:
      return {400, Ran::kNo, "The body is not valid JSON"};
    case ApiError::kMissingField:
      return {400, Ran::kNo, "A field is missing"};
    case ApiError::kUnknownField:
      return {400, Ran::kNo, "A field is not known"};
    case ApiError::kInvalidField:
      return {400, Ran::kNo, "A field has a wrong type or value"};
    case ApiError::kInvalidQuery:
      return {400, Ran::kNo, "A query parameter is wrong"};
    case ApiError::kUnsupportedMediaType:
      return {415, Ran::kNo, "The body must be application/json"};
    case ApiError::kBodyTooLarge:
      return {413, Ran::kNo, "The body is too large"};
    case ApiError::kNotFound:
      return {404, Ran::kNo, "There is nothing at this path"};
    case ApiError::kMethodNotAllowed:
      return {405, Ran::kNo, "The path does not allow this method"};
    case ApiError::kUnknownService:
      return {404, Ran::kNo, "The service is not known"};
    case ApiError::kUnknownAccount:
      return {404, Ran::kNo, "The account is not known"};
    case ApiError::kUnknownJob:
      return {404, Ran::kNo, "The job is not known"};
    case ApiError::kUnknownWorker:
      return {404, Ran::kNo, "The worker is not known"};
    case ApiError::kIdempotencyKeyRequired:
      return {400, Ran::kNo, "A non-idempotent request needs Idempotency-Key"};
    case ApiError::kInvalidIdempotencyKey:
      return {400, Ran::kNo, "The Idempotency-Key has a wrong form"};
    case ApiError::kIdempotencyKeyReused:
      return {422, Ran::kNo, "The Idempotency-Key belongs to another request"};
    case ApiError::kRequestInProgress:
      return {409, Ran::kUnknown, "A request with this key is in progress"};
    case ApiError::kClaimNotRun:
      return {409, Ran::kNo, "The request with this key did not run"};
    case ApiError::kRulesConflict:
      return {409, Ran::kNo, "Other rules were published in the meantime"};
    case ApiError::kRulesInvalid:
      return {422, Ran::kNo, "The rule file has faults"};
    case ApiError::kJobTooLarge:
      return {422, Ran::kNo, "The job is larger than any hardware"};
    case ApiError::kQuotaExceeded:
      return {422, Ran::kNo, "The job exceeds the account's quota"};
    case ApiError::kNotPreemptible:
      return {422, Ran::kNo, "Work outside the guarantee must be preemptible"};
    case ApiError::kJobRefused:
      return {422, Ran::kNo, "The job was refused"};
    case ApiError::kJobEnded:
      return {409, Ran::kUnknown, "The job has ended"};
    case ApiError::kWorkerTransitionRefused:
      return {409, Ran::kNo, "The worker's state does not allow this"};
    case ApiError::kQueueFull:
      return {503, Ran::kNo, "The queue is full"};
    case ApiError::kDeadlineUnreachable:
      return {503, Ran::kNo, "The deadline cannot be met"};
    case ApiError::kDeadlinePassed:
      return {504, Ran::kUnknown, "The deadline passed"};
    case ApiError::kNoEndpoint:
      return {503, Ran::kNo, "No endpoint serves the service"};
    case ApiError::kEndpointFailed:
      return {502, Ran::kUnknown, "The endpoint failed"};
    case ApiError::kAnswerTruncated:
      return {502, Ran::kYes, "The endpoint's answer was cut off"};
    case ApiError::kOutcomeUnknown:
      return {504, Ran::kUnknown, "The outcome is not known"};
    case ApiError::kCancelled:
      return {409, Ran::kUnknown, "The work was cancelled"};
    case ApiError::kLogUnavailable:
      return {503, Ran::kNo, "The log service is not available"};
    case ApiError::kDraining:
      return {503, Ran::kNo, "This instance is shutting down"};
    case ApiError::kNotReady:
      return {503, Ran::kNo, "This instance is not ready"};
    case ApiError::kInternal:
      break;
  }
  return {500, Ran::kUnknown, "An internal error"};
}

}  // namespace carobrill::daemon
