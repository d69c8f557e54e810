#ifndef PACKAGES_DAEMON_SETTINGS_LIMITS_H_
#define PACKAGES_DAEMON_SETTINGS_LIMITS_H_

#include <cstddef>

#include "packages/daemon/settings.h"
#include "packages/http/client_limits.h"
#include "packages/rpc/rpc_limits.h"

namespace carobrill::daemon {

/// Limits for the HTTP port that serves callers, or the worker's heartbeats.
http::ClientLimits MainPortLimits(const InstanceSettings& instance);

/// Limits for the HTTP ports that show the state of the process.
http::ClientLimits StatusPortLimits(const InstanceSettings& instance);

/// Limits for the gRPC port of a role.
rpc::RpcLimits RpcPortLimits(Role role, const InstanceSettings& instance);

/// Limits for the calls of other gateways on the store.
struct PeerCallLimits {
  /// Calls that are executed at the same time.
  std::size_t max_calls = 0;
  /// Reads among them that may wait for new records.
  std::size_t max_waits = 0;
};

/// The configured limits, with `max_calls` at most a quarter of the connections
/// that the gRPC port of the instance accepts.
PeerCallLimits PeerCallLimitsOf(const Settings& settings);

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_SETTINGS_LIMITS_H_
