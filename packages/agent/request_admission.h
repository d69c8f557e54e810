#ifndef PACKAGES_AGENT_REQUEST_ADMISSION_H_
#define PACKAGES_AGENT_REQUEST_ADMISSION_H_

#include <string>

#include "packages/agent/attempt_table.h"
#include "packages/agent/endpoint_gate.h"
#include "packages/agent/identity.h"
#include "packages/agent/lease_holder.h"
#include "packages/core/time.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::agent {

/// A request attempt with its predicted length.
struct AdmittedAttempt {
  AttemptKey key;
  bool predicted_long = false;
};

/// Admission control for request attempts. All checks of the incarnation, the
/// deadline, the lease, the gate and earlier deliveries are made here.
class RequestAdmission {
 public:
  /// `gate` and `lease` must outlive this object.
  RequestAdmission(const Identity& self,
                   EndpointGate& gate,
                   const LeaseHolder& lease,
                   const AttemptLimits& limits = {});

  /// Returns REFUSAL_NONE when the attempt is admitted. The caller must then
  /// send it to the endpoint before it waits for anything else, and call End
  /// when the attempt has ended.
  rpc::Refusal Admit(const rpc::ExecuteRequest& request, Instant now);

  /// Records how an admitted attempt ended and frees its slot.
  void End(const AdmittedAttempt& attempt,
           const AttemptOutcome& outcome,
           Instant now);

  /// Returns the attempt of a request, with its deadline counted from `now`.
  static AdmittedAttempt AttemptOf(const rpc::ExecuteRequest& request,
                                   Instant now);

  /// Builds the reply to a refused request.
  rpc::ExecuteReply RefusalOf(const rpc::ExecuteRequest& request,
                              rpc::Refusal refusal) const;

  /// Builds the reply to a request that was sent to the endpoint.
  rpc::ExecuteReply ReplyTo(const rpc::ExecuteRequest& request,
                            const AttemptOutcome& outcome) const;

  /// Handles FenceClaim. A message to another incarnation is answered with
  /// RAN_UNKNOWN, since this incarnation has no record of what that one ran.
  rpc::FenceClaimReply Fence(const rpc::FenceClaimRequest& request,
                             Instant now);

  /// Removes expired records.
  void Tick(Instant now) { this->attempts.Tick(now); }

  /// Number of recorded attempts and claims.
  std::size_t RecordCount() const { return this->attempts.Size(); }

 private:
  rpc::Refusal Check(const AdmittedAttempt& attempt,
                     const rpc::ExecuteRequest& request,
                     Instant now) const;

  Identity self;
  EndpointGate& gate;
  const LeaseHolder& lease;
  AttemptTable attempts;
};

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_REQUEST_ADMISSION_H_
