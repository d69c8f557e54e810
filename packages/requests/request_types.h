#ifndef PACKAGES_REQUESTS_REQUEST_TYPES_H_
#define PACKAGES_REQUESTS_REQUEST_TYPES_H_

#include <compare>
#include <cstdint>
#include <string>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/time.h"

namespace carobrill::requests {

/// Priority class of a request.
enum class RequestClass { kUrgent, kNormal, kBatch };

constexpr auto NamesOf(RequestClass) {
  return MakeNameTable<RequestClass>({{RequestClass::kUrgent, "urgent"},
                                      {RequestClass::kNormal, "normal"},
                                      {RequestClass::kBatch, "batch"}});
}

/// Whether a request ran at an endpoint.
enum class Ran { kNo, kYes, kUnknown };

constexpr auto NamesOf(Ran) {
  return MakeNameTable<Ran>(
      {{Ran::kNo, "no"}, {Ran::kYes, "yes"}, {Ran::kUnknown, "unknown"}});
}

/// Combines the results of two attempts: if one certainly ran, the request ran.
constexpr Ran Combine(Ran a, Ran b) {
  if (a == Ran::kYes || b == Ran::kYes) {
    return Ran::kYes;
  }
  return a == Ran::kUnknown ? a : b;
}

/// Why a request got no answer from an endpoint.
enum class RequestError {
  kNone,
  kUnknownAccount,
  kKeyRequired,
  kKeyReused,
  kQueueFull,
  /// Shed because the deadline cannot be met at the measured service rate.
  kDeadlineUnreachable,
  kDeadlinePassed,
  kNoEndpoint,
  kEndpointFailed,
  /// The reply was truncated, altered or belonged to another attempt.
  kAnswerTruncated,
  /// The request ran, but its answer was too large to be stored for repeats.
  kAnswerNotStored,
  kOutcomeUnknown,
  kLogUnavailable,
  kClaimTableFull,
  kDraining,
};

constexpr auto NamesOf(RequestError) {
  return MakeNameTable<RequestError>({
      {RequestError::kNone, "none"},
      {RequestError::kUnknownAccount, "unknown_account"},
      {RequestError::kKeyRequired, "idempotency_key_required"},
      {RequestError::kKeyReused, "idempotency_key_reused"},
      {RequestError::kQueueFull, "queue_full"},
      {RequestError::kDeadlineUnreachable, "deadline_unreachable"},
      {RequestError::kDeadlinePassed, "deadline_passed"},
      {RequestError::kNoEndpoint, "no_endpoint"},
      {RequestError::kEndpointFailed, "endpoint_failed"},
      {RequestError::kAnswerTruncated, "answer_truncated"},
      {RequestError::kAnswerNotStored, "answer_not_kept"},
      {RequestError::kOutcomeUnknown, "outcome_unknown"},
      {RequestError::kLogUnavailable, "log_unavailable"},
      {RequestError::kClaimTableFull, "claim_table_full"},
      {RequestError::kDraining, "draining"},
  });
}

/// Identifies a call; chosen by the owner of the dispatcher and never reused.
using CallId = std::uint64_t;

/// A request as made by a caller.
struct Request {
  CallId call = 0;
  AccountId account;
  ServiceId service;
  RequestClass request_class = RequestClass::kNormal;
  /// Required for non-idempotent requests.
  std::string idempotency_key;
  bool idempotent = false;
  /// The caller may have used this key before. While the log is unavailable
  /// such a request is answered as `kUnknown`, since another entry may have run
  /// it.
  bool repeat = false;
  Instant deadline;
  std::string kind;
  /// Declared by the caller and often wrong; 0 if not given.
  std::int64_t expected_run_ms = 0;
  std::string payload;
  bool hold_during_outage = false;
};

/// The answer to a call. `ran` concerns this call: `kNo` guarantees that it has
/// not run and never will.
struct Answer {
  Ran ran = Ran::kNo;
  RequestError error = RequestError::kNone;
  std::string answer;

  bool operator==(const Answer&) const = default;
};

/// Identifies a non-idempotent request; each account has its own key space.
struct ClaimKey {
  AccountId account;
  std::string key;

  auto operator<=>(const ClaimKey&) const = default;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_REQUEST_TYPES_H_
