#ifndef PACKAGES_DAEMON_AGENT_ROLE_H_
#define PACKAGES_DAEMON_AGENT_ROLE_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "packages/core/result.h"
#include "packages/daemon/settings.h"

namespace carobrill::daemon {

/// The agent role: a process that runs next to a service endpoint, a worker or
/// both, and represents them to the entries.
class AgentRole {
 public:
  explicit AgentRole(const Settings& settings);

  /// Ends immediately. Tasks that are still running end when their leases
  /// expire.
  ~AgentRole();

  AgentRole(const AgentRole&) = delete;
  AgentRole& operator=(const AgentRole&) = delete;

  /// Starts to listen and to announce the agent. Fails with ChartError,
  /// rpc::RpcListenError or http::HttpListenError.
  Result<void> Start();

  /// Refuses new work, finishes running work, then calls `on_drained` once on a
  /// thread of the role. Work that still runs close to the shutdown limit is
  /// stopped.
  void BeginShutdown(std::function<void()> on_drained);

  /// Port of the gRPC service Agent. Valid after Start.
  std::uint16_t RpcPort() const;

  /// Port of the metrics and health pages. Valid after Start.
  std::uint16_t HttpPort() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_AGENT_ROLE_H_
