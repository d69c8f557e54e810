#ifndef PACKAGES_PLATFORM_PLATFORM_REPLY_H_
#define PACKAGES_PLATFORM_PLATFORM_REPLY_H_

#include <functional>
#include <string>

#include "packages/core/name_table.h"
#include "packages/http/http_types.h"

namespace carobrill::platform {

/// Why a call to a worker or an endpoint brought no usable answer.
enum class PlatformFailure {
  kNone,
  /// The call certainly did not reach the server.
  kNotSent,
  /// A 4xx status: the call was understood and had no effect.
  kRefused,
  /// Another status: the call may have had an effect.
  kFailed,
  /// No connection, or it broke; the call may have had an effect.
  kUnreachable,
  kTimeout,
  /// An answer that is cut or is not as the protocol says.
  kMalformed,
  /// An answer that belongs to another call.
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

/// What a call brought; `value` counts only without a failure.
template <typename T>
struct PlatformReply {
  PlatformFailure failure = PlatformFailure::kNone;
  T value{};

  bool Ok() const { return this->failure == PlatformFailure::kNone; }
};

/// The value of calls whose answer has no content.
struct Done {};

/// Receives the answer on the task of the HTTP client.
template <typename T>
using PlatformCallback = std::function<void(PlatformReply<T>)>;

/// The failure that an HTTP reply stands for, whatever its body.
PlatformFailure FailureOf(const http::HttpReply& reply);

/// `text` with all characters escaped that a path segment must not contain.
std::string EscapePathSegment(const std::string& text);

}  // namespace carobrill::platform

#endif  // PACKAGES_PLATFORM_PLATFORM_REPLY_H_
