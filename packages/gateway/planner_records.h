#ifndef PACKAGES_GATEWAY_PLANNER_RECORDS_H_
#define PACKAGES_GATEWAY_PLANNER_RECORDS_H_

#include <optional>
#include <string>

#include "packages/gateway/planner_lease.h"

namespace carobrill::gateway {

/// @{
/// Stored form of a planner's claim and heartbeat. Decoding returns nothing if
/// the bytes are invalid.
std::string EncodeClaim(const PlannerClaim& claim);
std::optional<PlannerClaim> DecodeClaim(const std::string& bytes);
/// @}

/// @{
/// Stored form of a request to hand over the planner role. Decoding returns
/// nothing if the bytes are invalid.
std::string EncodeHandover(const HandoverRequest& request);
std::optional<HandoverRequest> DecodeHandover(const std::string& bytes);
/// @}

/// Address of a worker agent or gateway.
struct ProcessAddress {
  /// Address of its gRPC service ("ip:port").
  std::string rpc_address;
  /// Start time of the process (Unix µs).
  std::uint64_t incarnation = 0;
};

/// @{
/// Stored form of an address. Decoding returns nothing if the bytes are invalid
/// or the address was removed.
std::string EncodeAddress(const ProcessAddress& address);
std::optional<ProcessAddress> DecodeAddress(const std::string& bytes);
/// @}

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_PLANNER_RECORDS_H_
