#ifndef PACKAGES_HTTP_HTTP_TYPES_H_
#define PACKAGES_HTTP_HTTP_TYPES_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "packages/core/name_table.h"
#include "packages/core/time.h"

namespace carobrill::http {

/// Default limit for the size of the body of a response.
inline constexpr std::size_t kDefaultMaxResponseBytes = std::size_t{16} << 20;

/// Why a call did not get a complete response.
enum class HttpFailure {
  kNone,
  kInvalidUrl,
  kUnreachable,
  kTimeout,
  kTruncated,
  kTooLarge,
};

constexpr auto NamesOf(HttpFailure) {
  return MakeNameTable<HttpFailure>({
      {HttpFailure::kNone, "none"},
      {HttpFailure::kInvalidUrl, "invalid_url"},
      {HttpFailure::kUnreachable, "unreachable"},
      {HttpFailure::kTimeout, "timeout"},
      {HttpFailure::kTruncated, "truncated"},
      {HttpFailure::kTooLarge, "too_large"},
  });
}

/// A request that a server received. Header names are in lower case.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
  /// True when the body exceeded the server's limit; `body` is then empty.
  bool body_too_large = false;
};

/// A response that a server sends.
struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
};

/// A request that a client sends.
struct HttpClientRequest {
  std::string method = "GET";
  std::string url;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
  /// True when the call may be sent twice, so that it may reuse a connection
  /// regardless of its method.
  bool idempotent = false;
  /// Deadline on the boot clock; when it passes, the call fails with kTimeout.
  Instant deadline = Instant::Never();
  /// A longer body fails the call with kTooLarge.
  std::size_t max_response_bytes = kDefaultMaxResponseBytes;
};

/// Result of a call; `status` and `body` are valid only without a failure.
struct HttpClientResult {
  HttpFailure failure = HttpFailure::kNone;
  int status = 0;
  std::string body;
  /// False when no connection was established, so that the request was
  /// certainly not sent.
  bool maybe_sent = true;
  /// The connection was refused: nothing listens at the server's address.
  bool refused = false;

  /// True for a complete response with a 2xx status.
  bool Ok() const {
    return this->failure == HttpFailure::kNone && this->status >= 200 &&
           this->status < 300;
  }
};

/// Sends the response to one request. May be called once, from any thread.
using HttpResponder = std::function<void(HttpResponse)>;

/// Handles one request on the server's task.
using HttpHandler = std::function<void(const HttpRequest&, HttpResponder)>;

}  // namespace carobrill::http

#endif  // PACKAGES_HTTP_HTTP_TYPES_H_
