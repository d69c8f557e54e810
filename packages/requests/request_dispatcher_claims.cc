// Claims of non-idempotent requests, and the answers that follow from them.

#include "packages/requests/request_dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "packages/core/digest.h"
#include "packages/core/hash.h"

namespace carobrill::requests {
using records::Verdict;

namespace {

// A claim that certainly did not run is made again at another endpoint; more
// often than this, something other than a full endpoint is wrong.
constexpr std::uint32_t kMaxClaims = 4;

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
  Work* work = this->works.FindByKey(key);
  const bool expected = work != nullptr &&
                        work->phase == WorkPhase::kClaiming &&
                        work->proposal == claimed.proposal();
  if (expected) {
    this->router.Release(work->target.endpoint, work->is_long);
    if (verdict == Verdict::kAccepted) {
      this->OnOwnClaimAccepted(*work, offset, now);
    } else {
      this->OnOwnClaimRejected(*work, verdict, now);
    }
  } else if (verdict == Verdict::kAccepted) {
    // Given up before its verdict was known, hence never sent.
    this->Settle(key, offset, Outcome{records::CLAIM_OUTCOME_NOT_RUN});
  }
}

void RequestDispatcher::OnOwnClaimAccepted(Work& work,
                                           Offset offset,
                                           Instant now) {
  work.claim_offset = offset;
  const bool wanted = !work.callers.empty() && work.Deadline() > now;
  if (!wanted || !this->router.IsRoutable(work.target)) {
    this->OnOwnClaimNotRun(work, now);
    return;
  }
  this->router.Reserve(work.target.endpoint, work.is_long);
  this->Send(work, work.target, /*is_hedge=*/false, now);
}

void RequestDispatcher::OnOwnClaimRejected(Work& work,
                                           Verdict verdict,
                                           Instant now) {
  work.phase = WorkPhase::kWatching;
  switch (verdict) {
    case Verdict::kKeyReused:
      for (Caller& caller : work.callers) {
        caller.repeat = false;
      }
      this->FailAll(work.id, RequestError::kKeyReused);
      break;
    case Verdict::kDuplicate:
      for (Caller& caller : work.callers) {
        caller.repeat = true;
        caller.verified_not_run = false;
      }
      this->Reconsider(work.id, now);
      break;
    case Verdict::kMalformed:
      this->FailAll(work.id, RequestError::kKeyRequired);
      break;
    default:
      this->FailAll(work.id, RequestError::kClaimTableFull);
  }
}

// The claim of this work was accepted, and certainly nothing ran under it. No
// earlier claim of the key can have run either, or it would have been refused.
void RequestDispatcher::OnOwnClaimNotRun(Work& work, Instant now) {
  for (Caller& caller : work.callers) {
    caller.verified_not_run = true;
  }
  work.unsettled = false;
  work.phase = WorkPhase::kWatching;
  this->Settle(work.key, work.claim_offset,
               Outcome{records::CLAIM_OUTCOME_NOT_RUN});
  this->Reconsider(work.id, now);
}

void RequestDispatcher::OnClaimResolved(const ResolvedClaim& resolved,
                                        Instant now) {
  this->Settle(resolved.key, resolved.offset, resolved.outcome);
  this->resolver.Stop(resolved.key);
  Work* work = this->works.FindByKey(resolved.key);
  if (work == nullptr || work->phase != WorkPhase::kWatching) {
    return;
  }
  if (resolved.outcome.outcome == records::CLAIM_OUTCOME_COMPLETED) {
    // The caller need not wait for the log, which may be down.
    const Outcome& outcome = resolved.outcome;
    const RequestError error = outcome.answer_omitted
                                   ? RequestError::kAnswerTruncated
                                   : RequestError::kNone;
    this->AnswerAll(work->id, Answer{Ran::kYes, error, outcome.answer});
  } else if (resolved.outcome.outcome == records::CLAIM_OUTCOME_NOT_RUN &&
             resolved.offset == work->claim_offset) {
    this->OnOwnClaimNotRun(*work, now);
  }
}

// Decides what becomes of work after a look at the claim of its key.
void RequestDispatcher::Reconsider(WorkId id, Instant now) {
  Work* found = this->works.Find(id);
  if (found == nullptr) {
    return;
  }
  Work& work = *found;
  work.phase = WorkPhase::kWatching;
  const Claim* claim = this->claims.Find(work.key);
  if (claim != nullptr && (claim->payload_digest != work.payload_digest ||
                           claim->service != work.request.service)) {
    for (Caller& caller : work.callers) {
      caller.repeat = false;
    }
    this->FailAll(id, RequestError::kKeyReused);
    return;
  }
  if (claim == nullptr && work.unsettled) {
    // Its claim has expired, or the state went back: it must not run again.
    this->AnswerAll(id,
                    Answer{Ran::kUnknown, RequestError::kOutcomeUnknown, ""});
    return;
  }
  if (claim == nullptr || claim->state == ClaimState::kNotRun) {
    work.unsettled = false;
    if (work.callers.empty()) {
      this->RemoveWork(id);
    } else if (work.claims >= kMaxClaims) {
      this->FailAll(id, RequestError::kEndpointFailed);
    } else {
      this->Admit(id, now);
    }
    return;
  }
  if (claim->state == ClaimState::kOpen) {
    this->ReconsiderOpen(work, *claim, now);
    return;
  }
  this->AnswerAs(id, *claim);
}

void RequestDispatcher::ReconsiderOpen(Work& work,
                                       const Claim& claim,
                                       Instant now) {
  if (this->settlements.IsPending(work.key, claim.offset)) {
    return;
  }
  if (this->IsOwn(claim) || this->OwnerIsDead(claim)) {
    this->resolver.Start(work.key, claim, now);
  }
}

void RequestDispatcher::Settle(const ClaimKey& key,
                               Offset offset,
                               const Outcome& outcome) {
  if (this->settlements.Covers(key, offset, outcome.outcome)) {
    return;
  }
  this->actions.emplace_back(
      ProposeRecord{this->settlements.Add(key, offset, outcome)});
}

void RequestDispatcher::ResolveOrphans(Instant now) {
  for (const ClaimKey& key : this->claims.OpenClaims()) {
    const Claim& claim = *this->claims.Find(key);
    const bool wanted =
        this->resolves_orphans || this->works.FindByKey(key) != nullptr;
    if (wanted && this->OwnerIsDead(claim) &&
        !this->settlements.IsPending(key, claim.offset)) {
      this->resolver.Start(key, claim, now);
    }
  }
}

bool RequestDispatcher::IsOwn(const Claim& claim) const {
  return claim.entry == this->settings.self &&
         claim.entry_incarnation == this->settings.self_incarnation;
}

// A claim of an earlier incarnation of this entry has no owner either.
bool RequestDispatcher::OwnerIsDead(const Claim& claim) const {
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
  ClaimResolver::Due due = this->resolver.Poll(this->router, now);
  for (SendFence& fence : due.fences) {
    this->actions.emplace_back(std::move(fence));
  }
  for (const ResolvedClaim& resolved : due.resolved) {
    this->OnClaimResolved(resolved, now);
  }
}

void RequestDispatcher::OnLogLost() {
  for (const WorkId id : this->works.KeyedIn(WorkPhase::kQueued)) {
    Work& work = *this->works.Find(id);
    if (work.request.hold_during_outage) {
      this->queue.Remove(id);
      work.phase = WorkPhase::kHeld;
    } else {
      this->FailAll(id, RequestError::kLogUnavailable);
    }
  }
}

void RequestDispatcher::OnLogBack(Instant now) {
  for (const WorkId id : this->works.KeyedIn(WorkPhase::kHeld)) {
    this->Reconsider(id, now);
  }
}

// Whether the work ran, as far as `caller` can be told. Nothing is sent while
// the work is held, queued or claiming, and work that its last caller leaves in
// these phases is dropped.
Ran RequestDispatcher::RanFor(const Work& work, const Caller& caller) const {
  if (!work.Keyed()) {
    return work.outstanding > 0 ? Combine(work.ran, Ran::kUnknown) : work.ran;
  }
  const bool may_be_sent_for_others = work.callers.size() > 1;
  switch (work.phase) {
    case WorkPhase::kHeld:
    case WorkPhase::kQueued:
    case WorkPhase::kClaiming:
    case WorkPhase::kWatching: {
      const bool sent =
          work.phase == WorkPhase::kWatching && !caller.verified_not_run;
      const bool earlier = caller.repeat && !caller.verified_not_run;
      return sent || earlier || may_be_sent_for_others ? Ran::kUnknown
                                                       : Ran::kNo;
    }
    case WorkPhase::kSent:
      break;
  }
  return Ran::kUnknown;
}

void RequestDispatcher::FailAll(WorkId id, RequestError error) {
  Work& work = *this->works.Find(id);
  const std::vector<Caller> callers = work.callers;
  const bool key_reused = error == RequestError::kKeyReused;
  // All are told at once, so nothing will be sent for any of them.
  for (const Caller& caller : callers) {
    work.callers = {caller};
    const Ran ran = key_reused ? Ran::kNo : this->RanFor(work, caller);
    this->AnswerOne(caller, Answer{ran, error, ""});
  }
  work.callers = callers;
  this->RemoveWork(id);
}

void RequestDispatcher::AnswerAll(WorkId id, const Answer& answer) {
  for (const Caller& caller : this->works.Find(id)->callers) {
    this->AnswerOne(caller, answer);
  }
  this->RemoveWork(id);
}

void RequestDispatcher::AnswerAs(WorkId id, const Claim& claim) {
  if (claim.state == ClaimState::kUnknown) {
    this->AnswerAll(id,
                    Answer{Ran::kUnknown, RequestError::kOutcomeUnknown, ""});
    return;
  }
  assert(claim.state == ClaimState::kCompleted);
  const RequestError error =
      claim.answer_omitted ? RequestError::kAnswerNotKept : RequestError::kNone;
  this->AnswerAll(id, Answer{Ran::kYes, error, claim.answer});
}

void RequestDispatcher::AnswerOne(const Caller& caller, const Answer& answer) {
  ++this->counters.answered;
  this->timers.Remove(DeadlineOf(caller));
  this->actions.emplace_back(AnswerCaller{caller.call, answer});
}

void RequestDispatcher::OnCallDeadline(CallId call) {
  Work* work = this->works.FindByCall(call);
  if (work == nullptr) {
    return;
  }
  const WorkId id = work->id;
  for (const Caller& caller : work->callers) {
    if (caller.call == call) {
      this->AnswerOne(caller, Answer{this->RanFor(*work, caller),
                                     RequestError::kDeadlinePassed, ""});
      break;
    }
  }
  this->works.RemoveCaller(call);
  this->RemoveIfUnwanted(id);
}

void RequestDispatcher::OnNoEndpoint(WorkId id) {
  const Work* work = this->works.Find(id);
  if (work != nullptr && work->phase == WorkPhase::kQueued &&
      !this->router.HasRoutable(work->request.service)) {
    this->FailAll(id, RequestError::kNoEndpoint);
  }
}

// Work that has been sent under a claim is finished for the record, even when
// nobody waits for it any more.
void RequestDispatcher::RemoveIfUnwanted(WorkId id) {
  const Work* work = this->works.Find(id);
  if (work == nullptr || !work->callers.empty()) {
    return;
  }
  if (work->Keyed() && work->phase == WorkPhase::kSent) {
    return;
  }
  this->RemoveWork(id);
}

void RequestDispatcher::RemoveWork(WorkId id) {
  Work& work = *this->works.Find(id);
  this->queue.Remove(id);
  for (const Caller& caller : work.callers) {
    this->timers.Remove(DeadlineOf(caller));
  }
  if (work.phase == WorkPhase::kClaiming) {
    this->router.Release(work.target.endpoint, work.is_long);
  }
  this->works.Remove(id);
}

ServicePolicy RequestDispatcher::PolicyOf(const ServiceId& service) const {
  const auto found = this->policy.services.find(service);
  return found == this->policy.services.end()
             ? ServicePolicy{this->settings.short_ms,
                             this->settings.short_slots}
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
  this->Pump(now);
  return std::exchange(this->actions, {});
}

}  // namespace carobrill::requests
