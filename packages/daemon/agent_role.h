#ifndef PACKAGES_DAEMON_AGENT_ROLE_H_
#define PACKAGES_DAEMON_AGENT_ROLE_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "packages/core/result.h"
#include "packages/daemon/settings.h"

namespace carobrill::daemon {

/// The agent role: one process beside a service endpoint, a worker or both.
class AgentRole {
 public:
  explicit AgentRole(const Settings& settings);

  /// Ends at once; tasks that still run lapse with their leases.
  ~AgentRole();

  AgentRole(const AgentRole&) = delete;
  AgentRole& operator=(const AgentRole&) = delete;

  /// Listens and starts to announce itself. Fails with ChartError,
  /// rpc::RpcListenError or http::ListenError.
  Result<void> Start();

  /// Leaves: refuses new work, finishes running work, then runs `drained` once
  /// on a thread of the role. What still runs at the shutdown limit is stopped.
  void BeginShutdown(std::function<void()> drained);

  /// The port of the Agent service after Start.
  std::uint16_t RpcPort() const;

  /// The port for metrics and health after Start.
  std::uint16_t HttpPort() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_AGENT_ROLE_H_
