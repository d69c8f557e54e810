#include "packages/platform/platform_reply.h"

#include <glib.h>

namespace carobrill::platform {
namespace {

constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

PlatformFailure FailureOfStatus(int status) {
  const bool refused =
      status >= kFirstClientError && status < kFirstServerError;
  return refused ? PlatformFailure::kRefused : PlatformFailure::kFailed;
}

}  // namespace

PlatformFailure FailureOf(const http::HttpClientResult& reply) {
  switch (reply.failure) {
    case http::HttpFailure::kNone:
      return reply.Ok() ? PlatformFailure::kNone
                        : FailureOfStatus(reply.status);
    case http::HttpFailure::kInvalidUrl:
      return PlatformFailure::kNotSent;
    case http::HttpFailure::kUnreachable:
      return reply.maybe_sent ? PlatformFailure::kUnreachable
                              : PlatformFailure::kNotSent;
    case http::HttpFailure::kTimeout:
      return PlatformFailure::kTimeout;
    case http::HttpFailure::kTruncated:
    case http::HttpFailure::kTooLarge:
      return PlatformFailure::kMalformed;
  }
  return PlatformFailure::kFailed;
}

std::string EscapePathSegment(const std::string& text) {
  char* escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
  std::string result(escaped);
  g_free(escaped);
  return result;
}

}  // namespace carobrill::platform
