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

/// Passes request attempts to the service endpoint and asks for its health.
class AgentRequests {
 public:
  /// `context` must outlive this object.
  explicit AgentRequests(AgentContext& context);

  void Execute(const rpc::ExecuteRequest& request,
               const rpc::Responder<rpc::ExecuteReply>& respond);
  void FenceClaim(const rpc::FenceClaimRequest& request,
                  const rpc::Responder<rpc::FenceClaimReply>& respond);

  /// What is due now.
  void Tick(Instant now);

  /// Attempts that the endpoint has not answered.
  std::size_t Running() const { return this->running; }

  /// True when the endpoint has answered that it serves.
  bool Ready() const { return this->ready; }

  /// Load for announcements and replies.
  rpc::ServiceLoad Load() const;

  /// Attempts passed on and refused so far.
  std::uint64_t Passed() const { return this->passed; }
  std::uint64_t Refused() const { return this->refused; }

 private:
  void Run(const rpc::ExecuteRequest& request,
           const rpc::Responder<rpc::ExecuteReply>& respond,
           Instant now);
  void AskHealth(Instant now);
  void OnHealth(const platform::PlatformReply<platform::EndpointHealth>& reply);

  AgentContext& context;
  platform::EndpointClient endpoint;
  agent::RequestAdmission admission;
  std::size_t running = 0;
  std::uint64_t passed = 0;
  std::uint64_t refused = 0;
  bool ready = false;
  bool asking = false;
  int timeouts = 0;
  Instant ask_at;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_AGENT_REQUESTS_H_
