#ifndef PACKAGES_PLATFORM_ENDPOINT_CLIENT_H_
#define PACKAGES_PLATFORM_ENDPOINT_CLIENT_H_

#include <cstdint>
#include <string>

#include "packages/core/name_table.h"
#include "packages/core/time.h"
#include "packages/http/http_client.h"
#include "packages/platform/platform_reply.h"

namespace carobrill::platform {

/// Health state reported by an endpoint.
enum class EndpointHealth { kServing, kLeaving };

constexpr auto NamesOf(EndpointHealth) {
  return MakeNameTable<EndpointHealth>({{EndpointHealth::kServing, "serving"},
                                        {EndpointHealth::kLeaving, "leaving"}});
}

/// Client of one service endpoint. Calls are never retried.
class EndpointClient {
 public:
  /// `url` is the endpoint's base URL; `http` must outlive the client.
  EndpointClient(http::HttpClient& http, std::string url);

  /// Executes one attempt. The response must be complete and echo `attempt`.
  void Execute(const std::string& attempt,
               const std::string& payload,
               std::int64_t run_ms,
               Instant deadline,
               PlatformCallback<std::string> callback);

  /// Queries the health; any status other than 200 means kLeaving.
  void Health(Instant deadline, PlatformCallback<EndpointHealth> callback);

 private:
  http::HttpClient& http;
  std::string url;
};

}  // namespace carobrill::platform

#endif  // PACKAGES_PLATFORM_ENDPOINT_CLIENT_H_
