#include "packages/agent/request_admission.h"

#include "packages/core/digest.h"

namespace carobrill::agent {

RequestAdmission::RequestAdmission(const Identity& self,
                                   EndpointGate& gate,
                                   const LeaseHolder& lease,
                                   const AttemptLimits& limits)
    : self(self), gate(gate), lease(lease), attempts(limits) {}

rpc::Refusal RequestAdmission::Admit(const rpc::ExecuteRequest& request,
                                     Instant now) {
  if (!IsAddressedTo(this->self, request.peers()) ||
      this->self.service.empty() ||
      request.service() != this->self.service.value) {
    return rpc::REFUSAL_WRONG_INCARNATION;
  }
  const AdmittedAttempt attempt = AttemptOf(request, now);
  rpc::Refusal refusal = this->Check(attempt, request, now);
  if (refusal == rpc::REFUSAL_NONE) {
    refusal = this->gate.Acquire(attempt.predicted_long);
  }
  if (refusal != rpc::REFUSAL_NONE) {
    this->attempts.Refuse(attempt.key, now);
    return refusal;
  }
  refusal = this->attempts.Begin(attempt.key, now);
  if (refusal != rpc::REFUSAL_NONE) {
    this->gate.Release(attempt.predicted_long);
    this->attempts.Refuse(attempt.key, now);
  }
  return refusal;
}

void RequestAdmission::End(const AdmittedAttempt& attempt,
                           const AttemptOutcome& outcome,
                           Instant now) {
  this->gate.Release(attempt.predicted_long);
  this->attempts.End(attempt.key, outcome, now);
}

AdmittedAttempt RequestAdmission::AttemptOf(const rpc::ExecuteRequest& request,
                                            Instant now) {
  AdmittedAttempt attempt;
  attempt.key.attempt = AttemptId(request.attempt());
  if (!request.idempotent()) {
    attempt.key.claim = request.claim_offset();
  }
  attempt.key.deadline = now.After(request.remaining_ms());
  attempt.predicted_long = request.predicted_long();
  return attempt;
}

// Only an attempt that has not been started can be refused as "not run". A
// later delivery of an attempt that is running or has run gets the recorded
// status of its claim. A message addressed to another incarnation was not
// delivered to that one, since a call is sent once, and this incarnation always
// refuses it.
rpc::ExecuteReply RequestAdmission::RefusalOf(
    const rpc::ExecuteRequest& request,
    rpc::Refusal refusal) const {
  rpc::ExecuteReply reply;
  *reply.mutable_peers() = PeersOfReply(this->self, request.peers());
  reply.set_attempt(request.attempt());
  reply.set_refusal(refusal);
  reply.set_ran(rpc::RAN_NO);
  if (refusal != rpc::REFUSAL_WRONG_INCARNATION && !request.idempotent()) {
    reply.set_ran(this->attempts.GetStatus(request.claim_offset()).ran);
  } else if (refusal == rpc::REFUSAL_DUPLICATE) {
    reply.set_ran(rpc::RAN_UNKNOWN);
  }
  return reply;
}

rpc::ExecuteReply RequestAdmission::ReplyTo(
    const rpc::ExecuteRequest& request,
    const AttemptOutcome& outcome) const {
  rpc::ExecuteReply reply;
  *reply.mutable_peers() = PeersOfReply(this->self, request.peers());
  reply.set_attempt(request.attempt());
  reply.set_ran(outcome.ran);
  if (outcome.ran != rpc::RAN_YES) {
    reply.set_refusal(rpc::REFUSAL_ENDPOINT_FAILED);
    return reply;
  }
  reply.set_answer(outcome.answer);
  reply.set_answer_length(static_cast<std::uint32_t>(outcome.answer.size()));
  reply.set_answer_digest(DigestOf(outcome.answer));
  return reply;
}

rpc::FenceClaimReply RequestAdmission::Fence(
    const rpc::FenceClaimRequest& request,
    Instant now) {
  rpc::FenceClaimReply reply;
  *reply.mutable_peers() = PeersOfReply(this->self, request.peers());
  reply.set_claim_offset(request.claim_offset());
  if (!IsAddressedTo(this->self, request.peers())) {
    reply.set_ran(rpc::RAN_UNKNOWN);
    return reply;
  }
  const ClaimStatus status = this->attempts.Fence(request.claim_offset(), now);
  reply.set_ran(status.ran);
  reply.set_running(status.running);
  reply.set_answer(status.answer);
  reply.set_answer_length(static_cast<std::uint32_t>(status.answer_length));
  reply.set_answer_digest(status.answer_digest);
  return reply;
}

// Duplicates are detected first: the refusal of a repeated message must not say
// "not run" because the lease has ended in the meantime. A remaining time of
// zero means that the caller has given up.
rpc::Refusal RequestAdmission::Check(const AdmittedAttempt& attempt,
                                     const rpc::ExecuteRequest& request,
                                     Instant now) const {
  const rpc::Refusal refusal = this->attempts.Check(attempt.key);
  if (refusal != rpc::REFUSAL_NONE) {
    return refusal;
  }
  if (request.remaining_ms() == 0) {
    return rpc::REFUSAL_DEADLINE_PASSED;
  }
  return this->lease.Holds(now) ? rpc::REFUSAL_NONE : rpc::REFUSAL_NO_LEASE;
}

}  // namespace carobrill::agent
