// Queues requests, sends them to endpoints and handles the replies.

#include "packages/requests/request_dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "packages/core/digest.h"
#include "packages/core/hash.h"

namespace carobrill::requests {

namespace {

/// Attempts of one request that may be lost. The request itself may be what
/// ends the endpoints that run it.
constexpr std::uint32_t kMaxLostAttempts = 3;

QueueItem MakeQueueItem(const PendingRequest& pending) {
  return QueueItem{pending.id,
                   pending.request.service,
                   pending.request.account,
                   pending.request.request_class,
                   pending.is_long,
                   pending.enqueued_at,
                   pending.predicted_ms,
                   pending.queue_sequence};
}

bool GuaranteesNotRun(const rpc::ExecuteReply& reply) {
  // REFUSAL_DUPLICATE only concerns the second copy; the first may have run.
  return reply.ran() == rpc::RAN_NO &&
         reply.refusal() != rpc::REFUSAL_DUPLICATE;
}

Ran RanOf(rpc::Ran ran) {
  switch (ran) {
    case rpc::RAN_NO:
      return Ran::kNo;
    case rpc::RAN_YES:
      return Ran::kYes;
    default:
      return Ran::kUnknown;
  }
}

}  // namespace

void RequestDispatcher::QueueOrHold(RequestId id, Instant now) {
  PendingRequest& pending = *this->pending_requests.Find(id);
  if (pending.IsKeyed() && !this->log_available) {
    if (pending.request.hold_during_outage) {
      pending.phase = RequestPhase::kHeld;
    } else {
      this->FailAll(id, RequestError::kLogUnavailable);
    }
    return;
  }
  this->Enqueue(id, now);
}

void RequestDispatcher::Enqueue(RequestId id, Instant now) {
  PendingRequest& pending = *this->pending_requests.Find(id);
  pending.phase = RequestPhase::kQueued;
  const QueueItem item = MakeQueueItem(pending);
  if (this->queue.Size() >= this->settings.queue_limit &&
      !this->EvictLowerClass(pending)) {
    ++this->counters.shed;
    this->FailAll(id, RequestError::kQueueFull);
    return;
  }
  if (pending.queue_sequence == 0 && this->ShouldShed(pending, item, now)) {
    ++this->counters.shed;
    this->FailAll(id, RequestError::kDeadlineUnreachable);
    return;
  }
  pending.queue_sequence = this->queue.Push(item);
  if (!this->router.HasRoutableEndpoint(pending.request.service)) {
    this->timers.Add(Timer{now.After(this->settings.no_endpoint_timeout_ms),
                           TimerKind::kNoEndpoint, id});
  }
}

// If the queue is full, evicts the newest request of a lower class.
bool RequestDispatcher::EvictLowerClass(const PendingRequest& pending) {
  const auto victim = this->queue.NewestBelow(pending.request.request_class);
  if (!victim) {
    return false;
  }
  ++this->counters.shed;
  this->FailAll(*victim, RequestError::kQueueFull);
  return true;
}

bool RequestDispatcher::ShouldShed(const PendingRequest& pending,
                                   const QueueItem& item,
                                   Instant now) const {
  if (!this->settings.shed_by_deadline) {
    return false;
  }
  const auto wait_ms = this->queue.EstimateWaitMs(item, now);
  return wait_ms && *wait_ms > 0 &&
         now.After(*wait_ms + pending.predicted_ms) > pending.Deadline();
}

void RequestDispatcher::DispatchAll(Instant now) {
  for (const ServiceId& service : this->queue.Services()) {
    this->DispatchService(service, now);
  }
}

void RequestDispatcher::DispatchService(const ServiceId& service, Instant now) {
  while (true) {
    const auto first = this->queue.NextForService(service);
    if (!first) {
      return;
    }
    // If one lane has no free slot, the other may still have one.
    if (!this->DispatchItem(service, first, now) &&
        !this->DispatchItem(
            service, this->queue.NextInLane(service, !first->is_long), now)) {
      return;
    }
  }
}

bool RequestDispatcher::DispatchItem(const ServiceId& service,
                                     const std::optional<QueueItem>& item,
                                     Instant now) {
  if (!item) {
    return false;
  }
  PendingRequest& pending = *this->pending_requests.Find(item->request_id);
  if (this->settings.shed_by_deadline &&
      now.After(pending.predicted_ms) > pending.Deadline()) {
    // The answer would arrive after the deadline and waste a slot.
    ++this->counters.shed;
    this->FailAll(pending.id, RequestError::kDeadlineUnreachable);
    return true;
  }
  const auto endpoint = this->router.Pick(
      service, pending.is_long, this->PolicyOf(service).reserved_short_slots,
      pending.last_endpoint, /*must_avoid=*/false, now);
  if (!endpoint) {
    return false;
  }
  this->queue.Pop(*item, now);
  this->Launch(pending, *endpoint, now);
  return true;
}

void RequestDispatcher::Launch(PendingRequest& pending,
                               const ServingEndpoint& endpoint,
                               Instant now) {
  this->router.Reserve(endpoint.endpoint, pending.is_long);
  if (pending.IsKeyed()) {
    this->ProposeClaim(pending, endpoint);
  } else {
    this->Send(pending, endpoint, /*is_hedge=*/false, now);
  }
}

void RequestDispatcher::ProposeClaim(PendingRequest& pending,
                                     const ServingEndpoint& endpoint) {
  ++this->counters.claims;
  ++pending.claim_count;
  pending.phase = RequestPhase::kClaimProposed;
  pending.target = endpoint;
  pending.proposal = this->next_proposal++;
  records::Record record;
  records::RequestClaimed& claimed = *record.mutable_request_claimed();
  claimed.set_account(pending.key.account.value);
  claimed.set_key(pending.key.key);
  claimed.set_service(pending.request.service.value);
  claimed.set_payload_digest(pending.payload_digest);
  claimed.set_entry(this->settings.self.value);
  claimed.set_entry_incarnation(this->settings.self_incarnation);
  claimed.set_endpoint(endpoint.endpoint.value);
  claimed.set_agent(endpoint.agent.value);
  claimed.set_agent_incarnation(endpoint.agent_incarnation);
  claimed.set_proposal(pending.proposal);
  this->actions.emplace_back(ProposeRecord{std::move(record)});
}

// The caller has reserved the endpoint's slot.
void RequestDispatcher::Send(PendingRequest& pending,
                             const ServingEndpoint& endpoint,
                             bool is_hedge,
                             Instant now) {
  Attempt draft;
  draft.request_id = pending.id;
  draft.endpoint = endpoint.endpoint;
  draft.agent = endpoint.agent;
  draft.agent_incarnation = endpoint.agent_incarnation;
  draft.sent_at = now;
  draft.is_long = pending.is_long;
  draft.hedge = is_hedge;
  Attempt& attempt = this->attempts.Add(std::move(draft));
  this->SetAttemptTimers(pending, attempt, now);
  pending.phase = RequestPhase::kSent;
  pending.last_endpoint = endpoint.endpoint;
  pending.unsettled = pending.IsKeyed();
  for (Caller& caller : pending.callers) {
    caller.verified_not_run = false;
  }
  ++pending.outstanding;

  SendAttempt send;
  send.attempt = attempt.id;
  send.agent = endpoint.agent;
  send.address = endpoint.address;
  send.deadline = pending.Deadline().After(this->settings.reply_grace_ms);
  *send.request.mutable_peers() = this->PeersTo(endpoint);
  send.request.set_attempt(attempt.id.value);
  send.request.set_service(pending.request.service.value);
  send.request.set_idempotent(pending.request.idempotent);
  send.request.set_claim_offset(pending.claim_offset);
  send.request.set_predicted_long(pending.is_long);
  send.request.set_remaining_ms(
      static_cast<std::uint32_t>(pending.Deadline().RemainingMs(now)));
  send.request.set_run_ms(
      static_cast<std::uint32_t>(pending.request.expected_run_ms));
  send.request.set_payload(pending.request.payload);
  this->actions.emplace_back(std::move(send));
}

void RequestDispatcher::SetAttemptTimers(const PendingRequest& pending,
                                         Attempt& attempt,
                                         Instant now) {
  if (!attempt.is_long) {
    attempt.overrun_at =
        now.After(this->PolicyOf(pending.request.service).max_short_run_ms + 1);
    this->timers.Add(
        Timer{attempt.overrun_at, TimerKind::kOverrun, attempt.number});
  }
  const auto delay_ms = this->hedge_policy.DelayMs(
      this->run_times, pending.request.service, pending.request.kind);
  if (pending.request.idempotent && !attempt.hedge && delay_ms) {
    attempt.hedge_at = now.After(*delay_ms);
    this->timers.Add(
        Timer{attempt.hedge_at, TimerKind::kHedge, attempt.number});
  }
}

void RequestDispatcher::OnHedgeDue(std::uint64_t number, Instant now) {
  Attempt* attempt = this->attempts.FindByNumber(number);
  PendingRequest* pending =
      attempt == nullptr ? nullptr
                         : this->pending_requests.Find(attempt->request_id);
  if (pending == nullptr || pending->phase != RequestPhase::kSent ||
      pending->Deadline() <= now) {
    return;
  }
  // Queued requests take precedence over hedges for a free slot.
  const ServiceId& service = pending->request.service;
  if (this->queue.NextForService(service)) {
    return;
  }
  const auto endpoint = this->router.Pick(
      service, pending->is_long, this->PolicyOf(service).reserved_short_slots,
      attempt->endpoint, /*must_avoid=*/true, now);
  if (!endpoint || !this->hedge_policy.TryConsume()) {
    return;
  }
  ++this->counters.hedges;
  this->router.Reserve(endpoint->endpoint, pending->is_long);
  this->Send(*pending, *endpoint, /*is_hedge=*/true, now);
}

// Observes the run time before the request ends, so that a burst of long
// requests with a short declared time does not fill all slots before the first
// one ends.
void RequestDispatcher::OnOverrun(std::uint64_t number) {
  Attempt* attempt = this->attempts.FindByNumber(number);
  if (attempt == nullptr) {
    return;
  }
  attempt->is_long = true;
  this->router.MarkLong(attempt->endpoint);
  const PendingRequest* pending =
      this->pending_requests.Find(attempt->request_id);
  if (pending != nullptr) {
    const Request& request = pending->request;
    this->run_times.Observe(
        request.service, request.kind,
        this->PolicyOf(request.service).max_short_run_ms + 1);
  }
}

// An attempt that got no answer took at least this long. A call that failed
// sooner than predicted says nothing about the run time.
void RequestDispatcher::ObserveFailedAttempt(const Attempt& attempt,
                                             Instant now) {
  const PendingRequest* pending =
      this->pending_requests.Find(attempt.request_id);
  const std::int64_t elapsed_ms = now.RemainingMs(attempt.sent_at);
  if (pending != nullptr && elapsed_ms > pending->predicted_ms) {
    this->run_times.Observe(pending->request.service, pending->request.kind,
                            elapsed_ms);
  }
}

// Removes an ended attempt, its timers and its slot reservation. The caller
// then handles the result.
Attempt RequestDispatcher::EndAttempt(const Attempt& attempt) {
  Attempt finished = attempt;
  this->timers.Remove(
      Timer{finished.overrun_at, TimerKind::kOverrun, finished.number});
  this->timers.Remove(
      Timer{finished.hedge_at, TimerKind::kHedge, finished.number});
  this->attempts.Remove(finished.id);
  this->router.Release(finished.endpoint, finished.is_long);
  PendingRequest* pending = this->pending_requests.Find(finished.request_id);
  if (pending != nullptr) {
    --pending->outstanding;
  }
  return finished;
}

void RequestDispatcher::OnMatchedReply(const Attempt& attempt,
                                       const rpc::ExecuteReply& reply,
                                       Instant now) {
  this->router.OnLoad(attempt.endpoint, reply.load(), now);
  if (GuaranteesNotRun(reply)) {
    this->router.OnRefusal(attempt.endpoint, reply.refusal(), now);
    this->OnAttemptRefused(attempt, now);
  } else if (reply.ran() == rpc::RAN_YES &&
             reply.refusal() == rpc::REFUSAL_NONE) {
    this->OnAnswer(attempt, reply, now);
  } else {
    this->OnAttemptLost(attempt, RequestError::kEndpointFailed,
                        RanOf(reply.ran()), now);
  }
}

void RequestDispatcher::OnAnswer(const Attempt& attempt,
                                 const rpc::ExecuteReply& reply,
                                 Instant now) {
  PendingRequest* pending = this->pending_requests.Find(attempt.request_id);
  if (pending == nullptr) {
    ++this->counters.late_replies;
    return;
  }
  this->run_times.Observe(pending->request.service, pending->request.kind,
                          now.RemainingMs(attempt.sent_at));
  if (pending->IsKeyed()) {
    this->ProposeSettlement(
        pending->key, pending->claim_offset,
        Settlement{records::CLAIM_OUTCOME_COMPLETED, reply.answer()});
  }
  this->AnswerAll(pending->id,
                  Answer{Ran::kYes, RequestError::kNone, reply.answer()});
}

// The agent refused the attempt and guarantees that it will not run it.
void RequestDispatcher::OnAttemptRefused(const Attempt& attempt, Instant now) {
  PendingRequest* pending = this->pending_requests.Find(attempt.request_id);
  if (pending == nullptr || pending->phase != RequestPhase::kSent) {
    return;
  }
  if (pending->IsKeyed()) {
    this->OnOwnClaimNotRun(*pending, now);
  } else if (pending->outstanding == 0) {
    // Retried without consuming the retry budget: a refusal costs the endpoint
    // nothing, and the router skips the endpoint for a while.
    this->Enqueue(pending->id, now);
  }
}

// The attempt ended without a usable answer.
void RequestDispatcher::OnAttemptLost(const Attempt& attempt,
                                      RequestError error,
                                      Ran ran,
                                      Instant now) {
  PendingRequest* pending = this->pending_requests.Find(attempt.request_id);
  if (pending == nullptr || pending->phase != RequestPhase::kSent) {
    return;
  }
  if (pending->IsKeyed()) {
    // The agent is asked for the answer even if it reports that the request
    // ran.
    pending->phase = RequestPhase::kAwaitingSettlement;
    this->ReevaluateClaim(pending->id, now);
    return;
  }
  pending->ran = Combine(pending->ran, ran);
  ++pending->lost_attempts;
  if (pending->outstanding > 0) {
    return;
  }
  if (pending->lost_attempts < kMaxLostAttempts &&
      this->retry_budget.TryConsume()) {
    ++this->counters.retries;
    this->Enqueue(pending->id, now);
  } else {
    this->FailAll(pending->id, error);
  }
}

}  // namespace carobrill::requests
