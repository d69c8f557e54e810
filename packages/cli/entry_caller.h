#ifndef PACKAGES_CLI_ENTRY_CALLER_H_
#define PACKAGES_CLI_ENTRY_CALLER_H_

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
enum class Repeat {
  /// It changes nothing, or a repeat has no further effect, for example because
  /// of its Idempotency-Key.
  kAlways,
  /// Only when it was certainly not sent.
  kOnlyIfNotSent,
};

/// One call of the HTTP API.
struct ApiCall {
  std::string method = "GET";
  /// Path with its query.
  std::string path;
  /// Empty for none.
  std::string body;
  std::map<std::string, std::string> headers;
  Repeat repeat = Repeat::kAlways;
  /// True when a failure must say whether the call took effect.
  bool changes = false;
};

/// Calls the HTTP API of the first entry that answers.
class EntryCaller {
 public:
  /// `urls` are tried in order.
  EntryCaller(std::vector<std::string> urls, std::int64_t timeout_ms);

  /// Returns the body of a successful answer. Fails with CliError.
  Result<nlohmann::json> Call(const ApiCall& call);

 private:
  http::HttpReply Send(const std::string& url, const ApiCall& call);

  std::vector<std::string> urls;
  std::int64_t timeout_ms;
  Task task;
  http::HttpClient client;
};

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_ENTRY_CALLER_H_
