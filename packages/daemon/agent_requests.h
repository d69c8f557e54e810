#ifndef PACKAGES_DAEMON_AGENT_REQUESTS_H_
#define PACKAGES_DAEMON_AGENT_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "packages/agent/request_admission.h"
#include "packages/core/time.h"
#include "packages/daemon/agent_context.h"
#include "packages/platform/endpoint_client.h"
#include "packages/rpc/control.pb.h"
#include "packages/rpc/rpc_types.h"

namespace carobrill::daemon {

/// Forwards request attempts to the service endpoint and checks its health.
class AgentRequests {
 public:
  /// `context` must outlive this object.
  explicit AgentRequests(AgentContext& context);

  void Execute(const rpc::ExecuteRequest& request,
               const rpc::Responder<rpc::ExecuteReply>& respond);
  void FenceClaim(const rpc::FenceClaimRequest& request,
                  const rpc::Responder<rpc::FenceClaimReply>& respond);

  /// Does the admission work that is due, and starts a health check if one is
  /// due.
  void Tick(Instant now);

  /// Number of attempts that the endpoint has not answered yet.
  std::size_t Running() const { return this->running; }

  /// True if the endpoint is serving according to its health checks.
  bool Ready() const { return this->ready; }

  /// Current load, for announcements and replies.
  rpc::ServiceLoad Load() const;

  /// Number of attempts forwarded to the endpoint, and refused, so far.
  std::uint64_t Forwarded() const { return this->forwarded; }
  std::uint64_t Refused() const { return this->refused; }

 private:
  void Forward(const rpc::ExecuteRequest& request,
               const rpc::Responder<rpc::ExecuteReply>& respond,
               Instant now);
  void CheckHealth(Instant now);
  void OnHealth(const platform::PlatformReply<platform::EndpointHealth>& reply);

  AgentContext& context;
  platform::EndpointClient endpoint;
  agent::RequestAdmission admission;
  std::size_t running = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t refused = 0;
  bool ready = false;
  bool health_check_in_flight = false;
  int consecutive_timeouts = 0;
  Instant next_health_check_at;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_AGENT_REQUESTS_H_
