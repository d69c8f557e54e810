#ifndef PACKAGES_CORE_SERVING_ENDPOINT_H_
#define PACKAGES_CORE_SERVING_ENDPOINT_H_

#include <cstdint>
#include <string>

#include "packages/core/ids.h"
#include "packages/core/time.h"

namespace carobrill {

/// State of a service endpoint as known to an entry process. Written by the
/// membership code and read by the request router.
struct ServingEndpoint {
  EndpointId endpoint;
  ServiceId service;
  /// Company that provides the endpoint and may withdraw it.
  std::string partner;
  InstanceId agent;
  Incarnation agent_incarnation = 0;
  /// gRPC address of the agent, "ip:port".
  std::string address;
  /// True while the endpoint may receive new work. False while it is leaving,
  /// drained, withdrawn or suspect; it can then still be queried about claims.
  bool routable = false;
  std::uint32_t slots = 0;
  std::uint32_t slots_used = 0;
  std::uint32_t long_used = 0;
  std::uint32_t connections = 0;
  std::uint32_t connections_used = 0;
  /// When the load was reported, by the clock of this process.
  Instant reported_at;

  bool operator==(const ServingEndpoint&) const = default;
};

}  // namespace carobrill

#endif  // PACKAGES_CORE_SERVING_ENDPOINT_H_
