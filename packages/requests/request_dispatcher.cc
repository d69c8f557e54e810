#include "packages/requests/request_dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "packages/core/digest.h"
#include "packages/core/hash.h"

namespace carobrill::requests {
using records::Verdict;

namespace {

// Reserve that allows a service with few requests to retry.
constexpr std::uint32_t kRetryReserve = 10;

constexpr std::int64_t kReproposeDelayMs = 500;

// The service is hashed separately, so that it cannot run into the payload, and
// the payload's length is appended.
std::string PayloadDigest(const Request& request) {
  return DigestOf(DigestOf(request.service.value) + request.payload) +
         std::to_string(request.payload.size());
}

ClaimKey KeyOf(const Request& request) {
  return ClaimKey{request.account, request.idempotency_key};
}

}  // namespace

RequestDispatcher::RequestDispatcher(const DispatcherSettings& settings,
                                     const ClaimTable& claims)
    : settings(settings),
      claims(claims),
      router(settings.seed),
      attempts(settings.self, settings.self_incarnation),
      retry_budget(settings.retry_percent, kRetryReserve),
      hedge_policy(settings.hedge, settings.hedge_percent),
      resolver(settings),
      settlements(claims.Settings().answer_limit_bytes) {
  assert(!settings.ValidationError().has_value());
}

Actions RequestDispatcher::OnRequest(Request request, Instant now) {
  ++this->counters.requests;
  const auto refusal = this->RejectionFor(request, now);
  if (refusal) {
    const Ran ran =
        request.repeat && !request.idempotent ? Ran::kUnknown : Ran::kNo;
    this->AnswerCall(Caller{request.call, request.deadline},
                     Answer{ran, *refusal, ""});
    return this->TakeActions(now);
  }
  this->retry_budget.OnRequest();
  this->hedge_policy.OnRequest();
  this->Accept(std::move(request), now);
  return this->TakeActions(now);
}

Actions RequestDispatcher::OnCallerGone(CallId call, Instant now) {
  PendingRequest* pending = this->pending_requests.FindByCall(call);
  if (pending != nullptr) {
    const RequestId id = pending->id;
    for (const Caller& caller : pending->callers) {
      if (caller.call == call) {
        this->timers.Remove(DeadlineTimer(caller));
      }
    }
    this->pending_requests.RemoveCaller(call);
    this->RemoveIfAbandoned(id);
  }
  return this->TakeActions(now);
}

Actions RequestDispatcher::OnExecuteReply(const AttemptId& attempt_id,
                                          const rpc::ExecuteReply& reply,
                                          Instant now) {
  const ReplyMatch match = this->attempts.Match(attempt_id, reply);
  if (match == ReplyMatch::kLate) {
    ++this->counters.late_replies;
    return this->TakeActions(now);
  }
  const Attempt attempt = this->EndAttempt(*this->attempts.Find(attempt_id));
  switch (match) {
    case ReplyMatch::kMisrouted:
      ++this->counters.misrouted_replies;
      this->OnAttemptLost(attempt, RequestError::kAnswerTruncated,
                          Ran::kUnknown, now);
      break;
    case ReplyMatch::kTruncated:
      ++this->counters.truncated_replies;
      this->OnAttemptLost(attempt, RequestError::kAnswerTruncated, Ran::kYes,
                          now);
      break;
    default:
      this->OnMatchedReply(attempt, reply, now);
  }
  return this->TakeActions(now);
}

Actions RequestDispatcher::OnExecuteFailed(const AttemptId& attempt_id,
                                           Instant now) {
  const Attempt* found = this->attempts.Find(attempt_id);
  if (found != nullptr) {
    const Attempt attempt = this->EndAttempt(*found);
    this->ObserveFailedAttempt(attempt, now);
    this->OnAttemptLost(attempt, RequestError::kEndpointFailed, Ran::kUnknown,
                        now);
  }
  return this->TakeActions(now);
}

Actions RequestDispatcher::OnFenceReply(std::uint64_t fence,
                                        const rpc::FenceClaimReply& reply,
                                        Instant now) {
  const auto resolved = this->resolver.OnReply(fence, reply, now);
  if (resolved) {
    this->OnClaimResolved(*resolved, now);
  }
  return this->TakeActions(now);
}

Actions RequestDispatcher::OnFenceFailed(std::uint64_t fence, Instant now) {
  this->resolver.OnFailed(fence, now);
  return this->TakeActions(now);
}

Actions RequestDispatcher::OnRecordApplied(const records::Record& record,
                                           Offset offset,
                                           Verdict verdict,
                                           Instant now) {
  if (record.has_request_claimed()) {
    this->OnClaimApplied(record.request_claimed(), offset, verdict, now);
  }
  if (record.has_claim_settled()) {
    const records::ClaimSettled& settled = record.claim_settled();
    const ClaimKey key{AccountId(settled.account()), settled.key()};
    this->settlements.OnApplied(settled, verdict == Verdict::kAccepted);
    if (verdict == Verdict::kAccepted &&
        settled.outcome() != records::CLAIM_OUTCOME_UNKNOWN) {
      this->resolver.Stop(key);
    }
    PendingRequest* pending = this->pending_requests.FindByKey(key);
    if (pending != nullptr &&
        pending->phase == RequestPhase::kAwaitingSettlement) {
      this->ReevaluateClaim(pending->id, now);
    }
  }
  return this->TakeActions(now);
}

Actions RequestDispatcher::OnProposalDropped(const records::Record& record,
                                             Instant now) {
  if (record.has_claim_settled()) {
    this->settlements.OnDropped(record.claim_settled(),
                                now.After(kReproposeDelayMs));
  }
  if (record.has_request_claimed()) {
    const records::RequestClaimed& claimed = record.request_claimed();
    PendingRequest* pending = this->pending_requests.FindByKey(
        ClaimKey{AccountId(claimed.account()), claimed.key()});
    if (pending != nullptr && pending->phase == RequestPhase::kClaimProposed &&
        pending->proposal == claimed.proposal()) {
      this->router.Release(pending->target.endpoint, pending->is_long);
      pending->phase = RequestPhase::kHeld;
      this->QueueOrHold(pending->id, now);
    }
  }
  return this->TakeActions(now);
}

// Records covered by the new state are not applied one by one, so their effect
// is read from the state.
Actions RequestDispatcher::OnClaimTableReplaced(Instant now) {
  for (const RequestId id :
       this->pending_requests.ListKeyedIn(RequestPhase::kClaimProposed)) {
    PendingRequest& pending = *this->pending_requests.Find(id);
    const Claim* claim = this->claims.Find(pending.key);
    if (claim != nullptr && this->IsOwnClaim(*claim) &&
        claim->proposal == pending.proposal) {
      this->router.Release(pending.target.endpoint, pending.is_long);
      this->OnOwnClaimAccepted(pending, claim->offset, now);
    }
  }
  for (const RequestId id :
       this->pending_requests.ListKeyedIn(RequestPhase::kAwaitingSettlement)) {
    this->ReevaluateClaim(id, now);
  }
  this->settlements.OnClaimTableReplaced(this->claims, now);
  return this->TakeActions(now);
}

Actions RequestDispatcher::OnLogAvailability(bool available, Instant now) {
  if (available != this->log_available) {
    this->log_available = available;
    if (available) {
      this->OnLogAvailable(now);
    } else {
      this->OnLogUnavailable();
    }
  }
  return this->TakeActions(now);
}

Actions RequestDispatcher::OnEndpoints(
    const std::vector<ServingEndpoint>& endpoints,
    Instant now) {
  this->router.Update(endpoints, now);
  return this->TakeActions(now);
}

Actions RequestDispatcher::OnLiveEntries(
    const std::map<InstanceId, Incarnation>& alive,
    bool resolves,
    Instant now) {
  this->alive_entries = alive;
  this->resolves_orphans = resolves;
  this->ResolveOrphanedClaims(now);
  return this->TakeActions(now);
}

Actions RequestDispatcher::OnPolicy(const RequestPolicy& new_policy,
                                    Instant now) {
  this->policy = new_policy;
  this->queue.SetWeights(this->policy.accounts);
  return this->TakeActions(now);
}

void RequestDispatcher::Drain() {
  this->draining = true;
}

Actions RequestDispatcher::OnTimer(Instant now) {
  while (const auto timer = this->timers.TakeDue(now)) {
    switch (timer->kind) {
      case TimerKind::kCallDeadline:
        this->OnCallDeadline(timer->id);
        break;
      case TimerKind::kHedge:
        this->OnHedgeDue(timer->id, now);
        break;
      case TimerKind::kOverrun:
        this->OnOverrun(timer->id);
        break;
      case TimerKind::kNoEndpoint:
        this->OnNoEndpointTimeout(timer->id);
        break;
    }
  }
  for (records::Record& record : this->settlements.TakeDue(now)) {
    this->actions.emplace_back(ProposeRecord{std::move(record)});
  }
  return this->TakeActions(now);
}

Instant RequestDispatcher::NextDeadline() const {
  Instant next = std::min({this->timers.NextDueAt(), this->resolver.NextDueAt(),
                           this->settlements.NextDueAt()});
  if (this->queue.Size() > 0) {
    next = std::min(next, this->router.NextRetryAt(this->last_now));
  }
  return next;
}

bool RequestDispatcher::Idle() const {
  return this->pending_requests.empty() && this->settlements.empty() &&
         this->attempts.Size() == 0;
}

std::optional<RequestError> RequestDispatcher::RejectionFor(
    const Request& request,
    Instant now) const {
  if (this->draining) {
    return RequestError::kDraining;
  }
  if (!this->policy.accounts.empty() &&
      !this->policy.accounts.contains(request.account)) {
    return RequestError::kUnknownAccount;
  }
  if (!request.idempotent && request.idempotency_key.empty()) {
    return RequestError::kKeyRequired;
  }
  if (request.deadline <= now) {
    return RequestError::kDeadlinePassed;
  }
  return std::nullopt;
}

void RequestDispatcher::Accept(Request request, Instant now) {
  std::string digest;
  if (!request.idempotent) {
    digest = PayloadDigest(request);
    if (this->JoinPending(request, digest)) {
      return;
    }
  }
  PendingRequest& pending =
      this->AddPending(std::move(request), std::move(digest), now);
  if (pending.IsKeyed() && this->claims.Find(pending.key) != nullptr) {
    // The key has been used before, whether or not the caller marked a repeat.
    pending.callers.front().repeat = true;
    this->ReevaluateClaim(pending.id, now);
    return;
  }
  this->QueueOrHold(pending.id, now);
}

// Calls that use the key of a pending request share its outcome.
bool RequestDispatcher::JoinPending(const Request& request,
                                    const std::string& digest) {
  PendingRequest* pending = this->pending_requests.FindByKey(KeyOf(request));
  if (pending == nullptr) {
    return false;
  }
  const Caller caller{request.call, request.deadline, true};
  if (pending->payload_digest != digest) {
    this->AnswerCall(caller, Answer{Ran::kNo, RequestError::kKeyReused, ""});
    return true;
  }
  this->pending_requests.AddCaller(*pending, caller);
  this->timers.Add(DeadlineTimer(caller));
  return true;
}

PendingRequest& RequestDispatcher::AddPending(Request request,
                                              std::string digest,
                                              Instant now) {
  PendingRequest pending;
  const Caller caller{request.call, request.deadline, request.repeat};
  pending.predicted_ms = this->run_times.Predict(request.service, request.kind,
                                                 request.expected_run_ms);
  pending.is_long =
      pending.predicted_ms > this->PolicyOf(request.service).max_short_run_ms;
  pending.enqueued_at = now;
  pending.key = KeyOf(request);
  pending.payload_digest = std::move(digest);
  pending.callers.push_back(caller);
  pending.request = std::move(request);
  this->timers.Add(DeadlineTimer(caller));
  return this->pending_requests.Add(std::move(pending));
}

}  // namespace carobrill::requests
