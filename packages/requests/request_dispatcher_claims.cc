// Claims of non-idempotent requests and the answers derived from them.

#include "packages/requests/request_dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "packages/core/digest.h"
#include "packages/core/hash.h"

namespace carobrill::requests {
using records::Verdict;

namespace {

// A request whose claim certainly did not run is claimed again at another
// endpoint. More attempts than this indicate a fault other than a full
// endpoint.
constexpr std::uint32_t kMaxClaimAttempts = 4;

}  // namespace

void RequestDispatcher::OnClaimApplied(const records::RequestClaimed& claimed,
                                       Offset offset,
                                       Verdict verdict,
                                       Instant now) {
  if (claimed.entry() != this->settings.self.value ||
      claimed.entry_incarnation() != this->settings.self_incarnation) {
    return;
  }
  const ClaimKey key{AccountId(claimed.account()), claimed.key()};
  PendingRequest* pending = this->pending_requests.FindByKey(key);
  const bool expected = pending != nullptr &&
                        pending->phase == RequestPhase::kClaimProposed &&
                        pending->proposal == claimed.proposal();
  if (expected) {
    this->router.Release(pending->target.endpoint, pending->is_long);
    if (verdict == Verdict::kAccepted) {
      this->OnOwnClaimAccepted(*pending, offset, now);
    } else {
      this->OnOwnClaimRejected(*pending, verdict, now);
    }
  } else if (verdict == Verdict::kAccepted) {
    // The request was dropped before its claim was applied, so it was never
    // sent.
    this->ProposeSettlement(key, offset,
                            Settlement{records::CLAIM_OUTCOME_NOT_RUN});
  }
}

void RequestDispatcher::OnOwnClaimAccepted(PendingRequest& pending,
                                           Offset offset,
                                           Instant now) {
  pending.claim_offset = offset;
  const bool wanted = !pending.callers.empty() && pending.Deadline() > now;
  if (!wanted || !this->router.IsRoutable(pending.target)) {
    this->OnOwnClaimNotRun(pending, now);
    return;
  }
  this->router.Reserve(pending.target.endpoint, pending.is_long);
  this->Send(pending, pending.target, /*is_hedge=*/false, now);
}

void RequestDispatcher::OnOwnClaimRejected(PendingRequest& pending,
                                           Verdict verdict,
                                           Instant now) {
  pending.phase = RequestPhase::kAwaitingSettlement;
  switch (verdict) {
    case Verdict::kKeyReused:
      for (Caller& caller : pending.callers) {
        caller.repeat = false;
      }
      this->FailAll(pending.id, RequestError::kKeyReused);
      break;
    case Verdict::kDuplicate:
      for (Caller& caller : pending.callers) {
        caller.repeat = true;
        caller.verified_not_run = false;
      }
      this->ReevaluateClaim(pending.id, now);
      break;
    case Verdict::kMalformed:
      this->FailAll(pending.id, RequestError::kKeyRequired);
      break;
    default:
      this->FailAll(pending.id, RequestError::kClaimTableFull);
  }
}

// This request's claim was accepted and certainly did not run. Earlier claims
// of the key did not run either, or this claim would have been rejected.
void RequestDispatcher::OnOwnClaimNotRun(PendingRequest& pending, Instant now) {
  for (Caller& caller : pending.callers) {
    caller.verified_not_run = true;
  }
  pending.unsettled = false;
  pending.phase = RequestPhase::kAwaitingSettlement;
  this->ProposeSettlement(pending.key, pending.claim_offset,
                          Settlement{records::CLAIM_OUTCOME_NOT_RUN});
  this->ReevaluateClaim(pending.id, now);
}

void RequestDispatcher::OnClaimResolved(const ResolvedClaim& resolved,
                                        Instant now) {
  this->ProposeSettlement(resolved.key, resolved.offset, resolved.settlement);
  this->resolver.Stop(resolved.key);
  PendingRequest* pending = this->pending_requests.FindByKey(resolved.key);
  if (pending == nullptr ||
      pending->phase != RequestPhase::kAwaitingSettlement) {
    return;
  }
  if (resolved.settlement.outcome == records::CLAIM_OUTCOME_COMPLETED) {
    // Answered without waiting for the log, which may be unavailable.
    const Settlement& settlement = resolved.settlement;
    const RequestError error = settlement.answer_omitted
                                   ? RequestError::kAnswerTruncated
                                   : RequestError::kNone;
    this->AnswerAll(pending->id, Answer{Ran::kYes, error, settlement.answer});
  } else if (resolved.settlement.outcome == records::CLAIM_OUTCOME_NOT_RUN &&
             resolved.offset == pending->claim_offset) {
    this->OnOwnClaimNotRun(*pending, now);
  }
}

// Decides how to continue with a request from the current claim of its key.
void RequestDispatcher::ReevaluateClaim(RequestId id, Instant now) {
  PendingRequest* found = this->pending_requests.Find(id);
  if (found == nullptr) {
    return;
  }
  PendingRequest& pending = *found;
  pending.phase = RequestPhase::kAwaitingSettlement;
  const Claim* claim = this->claims.Find(pending.key);
  if (claim != nullptr && (claim->payload_digest != pending.payload_digest ||
                           claim->service != pending.request.service)) {
    for (Caller& caller : pending.callers) {
      caller.repeat = false;
    }
    this->FailAll(id, RequestError::kKeyReused);
    return;
  }
  if (claim == nullptr && pending.unsettled) {
    // The claim has expired or the state was rolled back. The request may have
    // run and must not run again.
    this->AnswerAll(id,
                    Answer{Ran::kUnknown, RequestError::kOutcomeUnknown, ""});
    return;
  }
  if (claim == nullptr || claim->state == ClaimState::kNotRun) {
    pending.unsettled = false;
    if (pending.callers.empty()) {
      this->RemovePending(id);
    } else if (pending.claim_count >= kMaxClaimAttempts) {
      this->FailAll(id, RequestError::kEndpointFailed);
    } else {
      this->QueueOrHold(id, now);
    }
    return;
  }
  if (claim->state == ClaimState::kOpen) {
    this->HandleOpenClaim(pending, *claim, now);
    return;
  }
  this->AnswerFromClaim(id, *claim);
}

void RequestDispatcher::HandleOpenClaim(PendingRequest& pending,
                                        const Claim& claim,
                                        Instant now) {
  if (this->settlements.IsPending(pending.key, claim.offset)) {
    return;
  }
  if (this->IsOwnClaim(claim) || this->IsOwnerDead(claim)) {
    this->resolver.Start(pending.key, claim, now);
  }
}

void RequestDispatcher::ProposeSettlement(const ClaimKey& key,
                                          Offset offset,
                                          const Settlement& settlement) {
  if (this->settlements.IsRedundant(key, offset, settlement.outcome)) {
    return;
  }
  this->actions.emplace_back(
      ProposeRecord{this->settlements.Add(key, offset, settlement)});
}

void RequestDispatcher::ResolveOrphanedClaims(Instant now) {
  for (const ClaimKey& key : this->claims.OpenClaims()) {
    const Claim& claim = *this->claims.Find(key);
    const bool wanted = this->resolves_orphans ||
                        this->pending_requests.FindByKey(key) != nullptr;
    if (wanted && this->IsOwnerDead(claim) &&
        !this->settlements.IsPending(key, claim.offset)) {
      this->resolver.Start(key, claim, now);
    }
  }
}

bool RequestDispatcher::IsOwnClaim(const Claim& claim) const {
  return claim.entry == this->settings.self &&
         claim.entry_incarnation == this->settings.self_incarnation;
}

// A claim of an earlier incarnation of this entry has no owner either.
bool RequestDispatcher::IsOwnerDead(const Claim& claim) const {
  if (claim.entry == this->settings.self) {
    return claim.entry_incarnation != this->settings.self_incarnation;
  }
  const auto found = this->alive_entries.find(claim.entry);
  return found == this->alive_entries.end() ||
         found->second != claim.entry_incarnation;
}

void RequestDispatcher::PollResolver(Instant now) {
  if (this->resolver.empty()) {
    return;
  }
  ClaimResolver::DueActions due = this->resolver.Poll(this->router, now);
  for (SendFence& fence : due.fences) {
    this->actions.emplace_back(std::move(fence));
  }
  for (const ResolvedClaim& resolved : due.resolved) {
    this->OnClaimResolved(resolved, now);
  }
}

void RequestDispatcher::OnLogUnavailable() {
  for (const RequestId id :
       this->pending_requests.ListKeyedIn(RequestPhase::kQueued)) {
    PendingRequest& pending = *this->pending_requests.Find(id);
    if (pending.request.hold_during_outage) {
      this->queue.Remove(id);
      pending.phase = RequestPhase::kHeld;
    } else {
      this->FailAll(id, RequestError::kLogUnavailable);
    }
  }
}

void RequestDispatcher::OnLogAvailable(Instant now) {
  for (const RequestId id :
       this->pending_requests.ListKeyedIn(RequestPhase::kHeld)) {
    this->ReevaluateClaim(id, now);
  }
}

// Whether the request ran, as far as `caller` can be told. Nothing has been
// sent while the request is held, queued or has only proposed its claim, and a
// request abandoned by its last caller in these phases is dropped.
Ran RequestDispatcher::RanForCaller(const PendingRequest& pending,
                                    const Caller& caller) const {
  if (!pending.IsKeyed()) {
    return pending.outstanding > 0 ? Combine(pending.ran, Ran::kUnknown)
                                   : pending.ran;
  }
  const bool may_be_sent_for_others = pending.callers.size() > 1;
  switch (pending.phase) {
    case RequestPhase::kHeld:
    case RequestPhase::kQueued:
    case RequestPhase::kClaimProposed:
    case RequestPhase::kAwaitingSettlement: {
      const bool sent = pending.phase == RequestPhase::kAwaitingSettlement &&
                        !caller.verified_not_run;
      const bool earlier = caller.repeat && !caller.verified_not_run;
      return sent || earlier || may_be_sent_for_others ? Ran::kUnknown
                                                       : Ran::kNo;
    }
    case RequestPhase::kSent:
      break;
  }
  return Ran::kUnknown;
}

void RequestDispatcher::FailAll(RequestId id, RequestError error) {
  PendingRequest& pending = *this->pending_requests.Find(id);
  const std::vector<Caller> callers = pending.callers;
  const bool key_reused = error == RequestError::kKeyReused;
  // All callers are answered at once, so each is treated as the only one:
  // nothing will be sent for the others.
  for (const Caller& caller : callers) {
    pending.callers = {caller};
    const Ran ran = key_reused ? Ran::kNo : this->RanForCaller(pending, caller);
    this->AnswerCall(caller, Answer{ran, error, ""});
  }
  pending.callers = callers;
  this->RemovePending(id);
}

void RequestDispatcher::AnswerAll(RequestId id, const Answer& answer) {
  for (const Caller& caller : this->pending_requests.Find(id)->callers) {
    this->AnswerCall(caller, answer);
  }
  this->RemovePending(id);
}

void RequestDispatcher::AnswerFromClaim(RequestId id, const Claim& claim) {
  if (claim.state == ClaimState::kUnknown) {
    this->AnswerAll(id,
                    Answer{Ran::kUnknown, RequestError::kOutcomeUnknown, ""});
    return;
  }
  assert(claim.state == ClaimState::kCompleted);
  const RequestError error = claim.answer_omitted
                                 ? RequestError::kAnswerNotStored
                                 : RequestError::kNone;
  this->AnswerAll(id, Answer{Ran::kYes, error, claim.answer});
}

void RequestDispatcher::AnswerCall(const Caller& caller, const Answer& answer) {
  ++this->counters.answered;
  this->timers.Remove(DeadlineTimer(caller));
  this->actions.emplace_back(AnswerCaller{caller.call, answer});
}

void RequestDispatcher::OnCallDeadline(CallId call) {
  PendingRequest* pending = this->pending_requests.FindByCall(call);
  if (pending == nullptr) {
    return;
  }
  const RequestId id = pending->id;
  for (const Caller& caller : pending->callers) {
    if (caller.call == call) {
      this->AnswerCall(caller, Answer{this->RanForCaller(*pending, caller),
                                      RequestError::kDeadlinePassed, ""});
      break;
    }
  }
  this->pending_requests.RemoveCaller(call);
  this->RemoveIfAbandoned(id);
}

void RequestDispatcher::OnNoEndpointTimeout(RequestId id) {
  const PendingRequest* pending = this->pending_requests.Find(id);
  if (pending != nullptr && pending->phase == RequestPhase::kQueued &&
      !this->router.HasRoutableEndpoint(pending->request.service)) {
    this->FailAll(id, RequestError::kNoEndpoint);
  }
}

// A request sent under a claim is kept until its outcome is recorded, even if
// no caller waits for it.
void RequestDispatcher::RemoveIfAbandoned(RequestId id) {
  const PendingRequest* pending = this->pending_requests.Find(id);
  if (pending == nullptr || !pending->callers.empty()) {
    return;
  }
  if (pending->IsKeyed() && pending->phase == RequestPhase::kSent) {
    return;
  }
  this->RemovePending(id);
}

void RequestDispatcher::RemovePending(RequestId id) {
  PendingRequest& pending = *this->pending_requests.Find(id);
  this->queue.Remove(id);
  for (const Caller& caller : pending.callers) {
    this->timers.Remove(DeadlineTimer(caller));
  }
  if (pending.phase == RequestPhase::kClaimProposed) {
    this->router.Release(pending.target.endpoint, pending.is_long);
  }
  this->pending_requests.Remove(id);
}

ServicePolicy RequestDispatcher::PolicyOf(const ServiceId& service) const {
  const auto found = this->policy.services.find(service);
  return found == this->policy.services.end()
             ? ServicePolicy{this->settings.max_short_run_ms,
                             this->settings.reserved_short_slots}
             : found->second;
}

rpc::Peers RequestDispatcher::PeersTo(const ServingEndpoint& endpoint) const {
  rpc::Peers peers;
  peers.set_sender(this->settings.self.value);
  peers.set_sender_incarnation(this->settings.self_incarnation);
  peers.set_receiver(endpoint.agent.value);
  peers.set_receiver_incarnation(endpoint.agent_incarnation);
  return peers;
}

Actions RequestDispatcher::TakeActions(Instant now) {
  this->last_now = now;
  this->PollResolver(now);
  this->DispatchAll(now);
  return std::exchange(this->actions, {});
}

}  // namespace carobrill::requests
