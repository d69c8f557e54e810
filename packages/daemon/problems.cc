#include "packages/daemon/problems.h"

#include <string>

namespace carobrill::daemon {
namespace {

using records::Verdict;
using requests::RequestError;

ApiError ToApiError(Verdict verdict) {
  switch (verdict) {
    case Verdict::kVersionConflict:
      return ApiError::kRulesConflict;
    case Verdict::kInvalidRules:
    case Verdict::kBreaksGuarantee:
      return ApiError::kRulesInvalid;
    case Verdict::kUnknownAccount:
      return ApiError::kUnknownAccount;
    case Verdict::kUnknownWorker:
      return ApiError::kUnknownWorker;
    case Verdict::kUnknownJob:
      return ApiError::kUnknownJob;
    case Verdict::kCannotRun:
      return ApiError::kJobTooLarge;
    case Verdict::kAboveQuota:
      return ApiError::kQuotaExceeded;
    case Verdict::kNotPreemptible:
      return ApiError::kNotPreemptible;
    case Verdict::kKeyReused:
      return ApiError::kIdempotencyKeyReused;
    default:
      return ApiError::kJobRefused;
  }
}

ApiError ToApiError(RequestError error) {
  switch (error) {
    case RequestError::kNone:
      return ApiError::kInternal;
    case RequestError::kUnknownAccount:
      return ApiError::kUnknownAccount;
    case RequestError::kKeyRequired:
      return ApiError::kIdempotencyKeyRequired;
    case RequestError::kKeyReused:
      return ApiError::kIdempotencyKeyReused;
    case RequestError::kQueueFull:
    case RequestError::kClaimTableFull:
      return ApiError::kQueueFull;
    case RequestError::kDeadlineUnreachable:
      return ApiError::kDeadlineUnreachable;
    case RequestError::kDeadlinePassed:
      return ApiError::kDeadlinePassed;
    case RequestError::kNoEndpoint:
      return ApiError::kNoEndpoint;
    case RequestError::kEndpointFailed:
      return ApiError::kEndpointFailed;
    case RequestError::kAnswerTruncated:
      return ApiError::kAnswerTruncated;
    case RequestError::kAnswerNotStored:
    case RequestError::kOutcomeUnknown:
      return ApiError::kOutcomeUnknown;
    case RequestError::kLogUnavailable:
      return ApiError::kLogUnavailable;
    case RequestError::kDraining:
      return ApiError::kDraining;
  }
  return ApiError::kInternal;
}

Ran ToApiRan(requests::Ran ran) {
  switch (ran) {
    case requests::Ran::kNo:
      return Ran::kNo;
    case requests::Ran::kYes:
      return Ran::kYes;
    case requests::Ran::kUnknown:
      return Ran::kUnknown;
  }
  return Ran::kUnknown;
}

}  // namespace

Problem ToProblem(Verdict verdict) {
  Problem problem{ToApiError(verdict),
                  "the record was rejected: " + std::string(NameOf(verdict))};
  if (verdict == Verdict::kBreaksGuarantee) {
    problem.detail = "the guarantees do not fit on the hardware together";
  }
  return problem;
}

Problem ToProblem(ledger::ProposalOutcome outcome) {
  if (outcome == ledger::ProposalOutcome::kNotWritten) {
    return {ApiError::kLogUnavailable, "the record was not written", Ran::kNo};
  }
  return {ApiError::kOutcomeUnknown,
          "the record may have been written; ask again with the same key",
          Ran::kUnknown};
}

Problem ToProblem(const requests::Answer& answer) {
  Problem problem{
      ToApiError(answer.error),
      "the request has no answer: " + std::string(NameOf(answer.error))};
  problem.ran = ToApiRan(answer.ran);
  return problem;
}

}  // namespace carobrill::daemon
