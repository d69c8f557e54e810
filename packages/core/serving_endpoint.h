#ifndef PACKAGES_CORE_SERVING_ENDPOINT_H_
#define PACKAGES_CORE_SERVING_ENDPOINT_H_

#include <cstdint>
#include <string>

#include "packages/core/ids.h"
#include "packages/core/time.h"

namespace carobrill {

/// A service endpoint as an entry knows it: membership fills it in, the request
/// router reads it.
struct ServingEndpoint {
  EndpointId endpoint;
  ServiceId service;
  std::string partner;
  InstanceId agent;
  Incarnation agent_incarnation = 0;
  /// gRPC address of the agent, "ip:port".
  std::string address;
  /// True while it may receive new work; a leaving, drained or withdrawn one
  /// and a suspect one may not, but can still be asked about claims.
  bool routable = false;
  std::uint32_t slots = 0;
  std::uint32_t slots_used = 0;
  std::uint32_t long_used = 0;
  std::uint32_t connections = 0;
  std::uint32_t connections_used = 0;
  /// When the load was reported, on this process's clock.
  Instant reported_at;

  bool operator==(const ServingEndpoint&) const = default;
};

}  // namespace carobrill

#endif  // PACKAGES_CORE_SERVING_ENDPOINT_H_
