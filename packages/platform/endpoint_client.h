#ifndef PACKAGES_PLATFORM_ENDPOINT_CLIENT_H_
#define PACKAGES_PLATFORM_ENDPOINT_CLIENT_H_

#include <cstdint>
#include <string>

#include "packages/core/name_table.h"
#include "packages/core/time.h"
#include "packages/http/http_client.h"
#include "packages/platform/platform_reply.h"

namespace carobrill::platform {

/// What an endpoint says about its health.
enum class EndpointHealth { kServing, kLeaving };

constexpr auto NamesOf(EndpointHealth) {
  return MakeNameTable<EndpointHealth>({{EndpointHealth::kServing, "serving"},
                                        {EndpointHealth::kLeaving, "leaving"}});
}

/// Calls one service endpoint. A call is sent once.
class EndpointClient {
 public:
  /// `url` is the endpoint's base URL; `http` must outlive the client.
  EndpointClient(http::HttpClient& http, std::string url);

  /// Runs one attempt; the answer must be whole and echo `attempt`.
  void Execute(const std::string& attempt,
               const std::string& payload,
               std::int64_t run_ms,
               Instant deadline,
               PlatformCallback<std::string> callback);

  /// Asks for the health; any answer but 200 is leaving.
  void Health(Instant deadline, PlatformCallback<EndpointHealth> callback);

 private:
  http::HttpClient& http;
  std::string url;
};

}  // namespace carobrill::platform

#endif  // PACKAGES_PLATFORM_ENDPOINT_CLIENT_H_
