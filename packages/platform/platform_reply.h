#ifndef PACKAGES_PLATFORM_PLATFORM_REPLY_H_
#define PACKAGES_PLATFORM_PLATFORM_REPLY_H_

#include <functional>
#include <string>

#include "packages/core/name_table.h"
#include "packages/http/http_types.h"

namespace carobrill::platform {

/// Why a call to a worker or an endpoint returned no usable response.
enum class PlatformFailure {
  kNone,
  /// The call definitely did not reach the server.
  kNotSent,
  /// 4xx status: the server rejected the call, which had no effect.
  kRefused,
  /// Any other error status; the call may have had an effect.
  kFailed,
  /// The connection failed or broke; the call may have had an effect.
  kUnreachable,
  kTimeout,
  /// The response is truncated or violates the protocol.
  kMalformed,
  /// The response belongs to another call.
  kMisrouted,
};

constexpr auto NamesOf(PlatformFailure) {
  return MakeNameTable<PlatformFailure>({
      {PlatformFailure::kNone, "none"},
      {PlatformFailure::kNotSent, "not_sent"},
      {PlatformFailure::kRefused, "refused"},
      {PlatformFailure::kFailed, "failed"},
      {PlatformFailure::kUnreachable, "unreachable"},
      {PlatformFailure::kTimeout, "timeout"},
      {PlatformFailure::kMalformed, "malformed"},
      {PlatformFailure::kMisrouted, "misrouted"},
  });
}

/// Result of a call; `value` is valid only if `failure` is kNone.
template <typename T>
struct PlatformReply {
  PlatformFailure failure = PlatformFailure::kNone;
  T value{};

  bool Ok() const { return this->failure == PlatformFailure::kNone; }
};

/// Value type of calls whose response has no content.
struct Done {};

/// Receives the result, on the task of the HTTP client.
template <typename T>
using PlatformCallback = std::function<void(PlatformReply<T>)>;

/// Maps the transport result and status of an HTTP reply to a failure; ignores
/// the body.
PlatformFailure FailureOf(const http::HttpClientResult& reply);

/// Percent-encodes the characters that a URL path segment must not contain.
std::string EscapePathSegment(const std::string& text);

}  // namespace carobrill::platform

#endif  // PACKAGES_PLATFORM_PLATFORM_REPLY_H_
