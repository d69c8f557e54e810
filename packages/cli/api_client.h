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

/// Whether a call may be sent to the next entry after a failure that leaves
/// open whether it took effect.
enum class RetryPolicy {
  /// It changes nothing, or a repeat has no further effect, for example because
  /// of its Idempotency-Key.
  kAlways,
  /// Only when it was certainly not sent.
  kOnlyIfNotSent,
};

/// One call of the HTTP API.
struct ApiRequest {
  std::string method = "GET";
  /// Path with its query.
  std::string path;
  /// Empty for none.
  std::string body;
  std::map<std::string, std::string> headers;
  RetryPolicy retry_policy = RetryPolicy::kAlways;
  /// True when a failure must say whether the call took effect.
  bool mutating = false;
};

/// Calls the HTTP API of the first entry that answers.
class ApiClient {
 public:
  /// `urls` are tried in order.
  ApiClient(std::vector<std::string> urls, std::int64_t timeout_ms);

  /// Returns the body of a successful answer. Fails with CliError.
  Result<nlohmann::json> Call(const ApiRequest& request);

 private:
  http::HttpReply Send(const std::string& url, const ApiRequest& request);

  std::vector<std::string> urls;
  std::int64_t timeout_ms;
  Task task;
  http::HttpClient client;
};

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_API_CLIENT_H_
