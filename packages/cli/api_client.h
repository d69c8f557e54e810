#ifndef PACKAGES_CLI_API_CLIENT_H_
#define PACKAGES_CLI_API_CLIENT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "packages/core/result.h"
#include "packages/core/task.h"
#include "packages/http/http_client.h"

namespace carobrill::cli {

/// Whether a request may be sent to the next entry after a failure with an
/// unknown outcome.
enum class RetryPolicy {
  /// The request is read-only or idempotent, for example because of its
  /// Idempotency-Key.
  kAlways,
  /// Retry only when the request was certainly not sent.
  kOnlyIfNotSent,
};

/// One request to the HTTP API.
struct ApiRequest {
  std::string method = "GET";
  /// Path with the query string.
  std::string path;
  /// Empty for a request without a body.
  std::string body;
  std::map<std::string, std::string> headers;
  RetryPolicy retry_policy = RetryPolicy::kAlways;
  /// True when the request changes state, so that an error must tell whether it
  /// may have taken effect.
  bool mutating = false;
};

/// HTTP API client that fails over between entries.
class ApiClient {
 public:
  /// `urls` are tried in order.
  ApiClient(std::vector<std::string> urls, std::int64_t timeout_ms);

  /// Returns the body of a successful response. Fails with CliError.
  Result<nlohmann::json> Call(const ApiRequest& request);

 private:
  http::HttpClientResult Send(const std::string& url,
                              const ApiRequest& request);

  std::vector<std::string> urls;
  std::int64_t timeout_ms;
  Task task;
  http::HttpClient client;
};

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_API_CLIENT_H_
