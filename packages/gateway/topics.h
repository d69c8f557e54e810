#ifndef PACKAGES_GATEWAY_TOPICS_H_
#define PACKAGES_GATEWAY_TOPICS_H_

#include <optional>
#include <string>
#include <string_view>

#include "packages/core/ids.h"

namespace carobrill::gateway {

/// Topic of accepted jobs, cancellations and requests to the planner, written
/// by gateways.
inline constexpr const char* kIntakeTopic = "keyed.intake";

/// Topic of job progress, written only by the planner.
inline constexpr const char* kProgressTopic = "keyed.progress";

/// Topic of addresses: worker agents under their name, gateways under
/// kGatewayPrefix followed by their name. Each process writes its own entry.
inline constexpr const char* kAgentTopic = "keyed.agents";

/// Key of the planner's claim in the progress topic.
inline constexpr const char* kPlannerKey = "planner";

/// Key of what the planner has learned from runs, in the progress topic.
inline constexpr const char* kLearnedKey = "run_times";

/// Key of the newest request to hand over the planner role, in the intake
/// topic.
inline constexpr const char* kHandoverKey = "handover";

inline constexpr std::string_view kGatewayPrefix = "gateway/";
inline constexpr std::string_view kJobPrefix = "job/";
inline constexpr std::string_view kCancelPrefix = "cancel/";

inline std::string JobKey(const JobId& id) {
  return std::string(kJobPrefix) + id.value;
}

inline std::string CancelKey(const JobId& id) {
  return std::string(kCancelPrefix) + id.value;
}

/// Key of a gateway's address.
inline std::string GatewayKey(const InstanceId& gateway) {
  return std::string(kGatewayPrefix) + gateway.value;
}

/// Returns the job ID in a key with the given prefix, or nothing if the key has
/// another prefix.
inline std::optional<JobId> JobIdFromKey(std::string_view key,
                                         std::string_view prefix) {
  if (!key.starts_with(prefix)) {
    return std::nullopt;
  }
  return JobId(std::string(key.substr(prefix.size())));
}

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_TOPICS_H_
