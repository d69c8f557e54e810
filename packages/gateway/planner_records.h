#ifndef PACKAGES_GATEWAY_PLANNER_RECORDS_H_
#define PACKAGES_GATEWAY_PLANNER_RECORDS_H_

#include <optional>
#include <string>

#include "packages/gateway/planner_lease.h"

namespace carobrill::gateway {

/// @{
/// The stored form of a planner's claim and heartbeat.
std::string EncodeClaim(const PlannerClaim& claim);
std::optional<PlannerClaim> DecodeClaim(const std::string& bytes);
/// @}

/// Where a worker's agent or a gateway is reached.
struct AgentAddress {
  /// "ip:port" of its gRPC service.
  std::string rpc_address;
  /// Start of the process (Unix µs).
  std::uint64_t incarnation = 0;
};

/// @{
/// The stored form of an agent's address.
std::string EncodeAgent(const AgentAddress& agent);
std::optional<AgentAddress> DecodeAgent(const std::string& bytes);
/// @}

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_PLANNER_RECORDS_H_
