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

/// A request attempt that holds a slot.
struct AdmittedAttempt {
  AttemptKey key;
  bool predicted_long = false;
};

/// Decides which request attempts run: the one place where the incarnation,
/// the deadline, the lease, the gate and earlier deliveries are checked.
class RequestAdmission {
 public:
  /// `gate` and `lease` must outlive this object.
  RequestAdmission(const Identity& self,
                   EndpointGate& gate,
                   const LeaseHolder& lease,
                   const AttemptLimits& limits = {});

  /// REFUSAL_NONE when the attempt is to be sent to the endpoint now, before
  /// any other wait; every admitted attempt is ended by End.
  rpc::Refusal Admit(const rpc::ExecuteRequest& request, Instant now);

  /// Records how an admitted attempt ended and frees its slot.
  void End(const AdmittedAttempt& attempt,
           const AttemptOutcome& outcome,
           Instant now);

  /// What a request stands for, with its deadline counted from `now`.
  static AdmittedAttempt AttemptOf(const rpc::ExecuteRequest& request,
                                   Instant now);

  /// The reply to a request that was refused.
  rpc::ExecuteReply RefusalOf(const rpc::ExecuteRequest& request,
                              rpc::Refusal refusal) const;

  /// The reply to a request that ran or may have run.
  rpc::ExecuteReply ReplyTo(const rpc::ExecuteRequest& request,
                            const AttemptOutcome& outcome) const;

  /// Answers FenceClaim. A message to another incarnation is answered with
  /// RAN_UNKNOWN: this one knows nothing of what that one ran.
  rpc::FenceClaimReply Fence(const rpc::FenceClaimRequest& request,
                             Instant now);

  /// Forgets what is too old to matter.
  void Tick(Instant now) { this->attempts.Tick(now); }

  /// Attempts and claims remembered.
  std::size_t Remembered() const { return this->attempts.Size(); }

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
