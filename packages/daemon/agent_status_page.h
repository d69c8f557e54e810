#ifndef PACKAGES_DAEMON_AGENT_STATUS_PAGE_H_
#define PACKAGES_DAEMON_AGENT_STATUS_PAGE_H_

#include <cstddef>
#include <cstdint>

#include "packages/agent/endpoint_gate.h"
#include "packages/agent/worker_capacity.h"
#include "packages/http/http_types.h"

namespace carobrill::daemon {

/// Status of an agent for health checks and metrics.
struct AgentStatus {
  agent::GateState state = agent::GateState::kJoining;
  bool holds_lease = false;
  std::uint32_t slots_used = 0;
  std::uint64_t attempts_forwarded = 0;
  std::uint64_t attempts_refused = 0;
  agent::WorkerResources worker_usage;
  std::size_t gangs_watched = 0;
};

/// Handles requests for /healthz, /readyz and /metrics (Prometheus text
/// format).
http::HttpResponse HandleStatusRequest(const http::HttpRequest& request,
                                       const AgentStatus& status);

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_AGENT_STATUS_PAGE_H_
