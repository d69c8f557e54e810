// Queues requests, sends them to endpoints and takes their answers.

#include "packages/requests/request_dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "packages/core/digest.h"
#include "packages/core/hash.h"

namespace carobrill::requests {

namespace {

QueueItem ItemOf(const Work& work) {
  return QueueItem{work.id,
                   work.request.service,
                   work.request.account,
                   work.request.request_class,
                   work.is_long,
                   work.enqueued_at,
                   work.predicted_ms,
                   work.queue_sequence};
}

bool IsPromise(const rpc::ExecuteReply& reply) {
  // A duplicate was refused because the first copy may have run.
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

void RequestDispatcher::Admit(WorkId id, Instant now) {
  Work& work = *this->works.Find(id);
  if (work.Keyed() && !this->log_available) {
    if (work.request.hold_during_outage) {
      work.phase = WorkPhase::kHeld;
    } else {
      this->FailAll(id, RequestError::kLogUnavailable);
    }
    return;
  }
  this->Enqueue(id, now);
}

void RequestDispatcher::Enqueue(WorkId id, Instant now) {
  Work& work = *this->works.Find(id);
  work.phase = WorkPhase::kQueued;
  const QueueItem item = ItemOf(work);
  if (this->queue.Size() >= this->settings.queue_limit &&
      !this->MakeRoom(work)) {
    ++this->counters.shed;
    this->FailAll(id, RequestError::kQueueFull);
    return;
  }
  if (work.queue_sequence == 0 && this->ShedsNow(work, item, now)) {
    ++this->counters.shed;
    this->FailAll(id, RequestError::kDeadlineUnreachable);
    return;
  }
  work.queue_sequence = this->queue.Push(item);
  if (!this->router.HasRoutable(work.request.service)) {
    this->timers.Add(Timer{now.After(this->settings.no_endpoint_ms),
                           TimerKind::kNoEndpoint, id});
  }
}

// In a full queue a request takes the place of the newest of a lower class.
bool RequestDispatcher::MakeRoom(const Work& work) {
  const auto victim = this->queue.NewestBelow(work.request.request_class);
  if (!victim) {
    return false;
  }
  ++this->counters.shed;
  this->FailAll(*victim, RequestError::kQueueFull);
  return true;
}

bool RequestDispatcher::ShedsNow(const Work& work,
                                 const QueueItem& item,
                                 Instant now) const {
  if (!this->settings.shed_by_deadline) {
    return false;
  }
  const auto wait_ms = this->queue.WaitMs(item, now);
  return wait_ms && *wait_ms > 0 &&
         now.After(*wait_ms + work.predicted_ms) > work.Deadline();
}

void RequestDispatcher::Pump(Instant now) {
  for (const ServiceId& service : this->queue.Services()) {
    this->PumpService(service, now);
  }
}

void RequestDispatcher::PumpService(const ServiceId& service, Instant now) {
  while (true) {
    const auto first = this->queue.NextOf(service);
    if (!first) {
      return;
    }
    // A lane without room must not stop the other one.
    if (!this->PumpNext(service, first, now) &&
        !this->PumpNext(service, this->queue.Next(service, !first->is_long),
                        now)) {
      return;
    }
  }
}

bool RequestDispatcher::PumpNext(const ServiceId& service,
                                 const std::optional<QueueItem>& item,
                                 Instant now) {
  if (!item) {
    return false;
  }
  Work& work = *this->works.Find(item->work);
  if (this->settings.shed_by_deadline &&
      now.After(work.predicted_ms) > work.Deadline()) {
    // Its slot would be spent on an answer that comes too late.
    ++this->counters.shed;
    this->FailAll(work.id, RequestError::kDeadlineUnreachable);
    return true;
  }
  const auto endpoint = this->router.Pick(
      service, work.is_long, this->PolicyOf(service).short_slots,
      work.last_endpoint, /*must_avoid=*/false, now);
  if (!endpoint) {
    return false;
  }
  this->queue.Pop(*item, now);
  this->Launch(work, *endpoint, now);
  return true;
}

void RequestDispatcher::Launch(Work& work,
                               const ServingEndpoint& endpoint,
                               Instant now) {
  this->router.Reserve(endpoint.endpoint, work.is_long);
  if (work.Keyed()) {
    this->ProposeClaim(work, endpoint);
  } else {
    this->Send(work, endpoint, /*is_hedge=*/false, now);
  }
}

void RequestDispatcher::ProposeClaim(Work& work,
                                     const ServingEndpoint& endpoint) {
  ++this->counters.claims;
  ++work.claims;
  work.phase = WorkPhase::kClaiming;
  work.target = endpoint;
  work.proposal = this->next_proposal++;
  records::Record record;
  records::RequestClaimed& claimed = *record.mutable_request_claimed();
  claimed.set_account(work.key.account.value);
  claimed.set_key(work.key.key);
  claimed.set_service(work.request.service.value);
  claimed.set_payload_digest(work.payload_digest);
  claimed.set_entry(this->settings.self.value);
  claimed.set_entry_incarnation(this->settings.self_incarnation);
  claimed.set_endpoint(endpoint.endpoint.value);
  claimed.set_agent(endpoint.agent.value);
  claimed.set_agent_incarnation(endpoint.agent_incarnation);
  claimed.set_proposal(work.proposal);
  this->actions.emplace_back(ProposeRecord{std::move(record)});
}

// The endpoint's slot has been reserved by the caller.
void RequestDispatcher::Send(Work& work,
                             const ServingEndpoint& endpoint,
                             bool is_hedge,
                             Instant now) {
  Attempt draft;
  draft.work = work.id;
  draft.endpoint = endpoint.endpoint;
  draft.agent = endpoint.agent;
  draft.agent_incarnation = endpoint.agent_incarnation;
  draft.sent_at = now;
  draft.is_long = work.is_long;
  draft.hedge = is_hedge;
  Attempt& attempt = this->attempts.Add(std::move(draft));
  this->SetAttemptTimers(work, attempt, now);
  work.phase = WorkPhase::kSent;
  work.last_endpoint = endpoint.endpoint;
  work.unsettled = work.Keyed();
  for (Caller& caller : work.callers) {
    caller.verified_not_run = false;
  }
  ++work.outstanding;

  SendAttempt send;
  send.attempt = attempt.id;
  send.agent = endpoint.agent;
  send.address = endpoint.address;
  send.deadline = work.Deadline().After(this->settings.reply_grace_ms);
  *send.request.mutable_peers() = this->PeersTo(endpoint);
  send.request.set_attempt(attempt.id.value);
  send.request.set_service(work.request.service.value);
  send.request.set_idempotent(work.request.idempotent);
  send.request.set_claim_offset(work.claim_offset);
  send.request.set_predicted_long(work.is_long);
  send.request.set_remaining_ms(
      static_cast<std::uint32_t>(work.Deadline().RemainingMs(now)));
  send.request.set_run_ms(
      static_cast<std::uint32_t>(work.request.expected_run_ms));
  send.request.set_payload(work.request.payload);
  this->actions.emplace_back(std::move(send));
}

void RequestDispatcher::SetAttemptTimers(const Work& work,
                                         Attempt& attempt,
                                         Instant now) {
  if (!attempt.is_long) {
    attempt.overrun_at =
        now.After(this->PolicyOf(work.request.service).short_ms + 1);
    this->timers.Add(
        Timer{attempt.overrun_at, TimerKind::kOverrun, attempt.number});
  }
  const auto delay_ms = this->hedge_policy.DelayMs(
      this->run_times, work.request.service, work.request.kind);
  if (work.request.idempotent && !attempt.hedge && delay_ms) {
    attempt.hedge_at = now.After(*delay_ms);
    this->timers.Add(
        Timer{attempt.hedge_at, TimerKind::kHedge, attempt.number});
  }
}

void RequestDispatcher::OnHedgeDue(std::uint64_t number, Instant now) {
  Attempt* attempt = this->attempts.FindByNumber(number);
  Work* work = attempt == nullptr ? nullptr : this->works.Find(attempt->work);
  if (work == nullptr || work->phase != WorkPhase::kSent ||
      work->Deadline() <= now) {
    return;
  }
  // Waiting work has a better use for a free slot than a second copy.
  const ServiceId& service = work->request.service;
  if (this->queue.NextOf(service)) {
    return;
  }
  const auto endpoint = this->router.Pick(
      service, work->is_long, this->PolicyOf(service).short_slots,
      attempt->endpoint, /*must_avoid=*/true, now);
  if (!endpoint || !this->hedge_policy.TryTake()) {
    return;
  }
  ++this->counters.hedges;
  this->router.Reserve(endpoint->endpoint, work->is_long);
  this->Send(*work, *endpoint, /*is_hedge=*/true, now);
}

// Learning from work that still runs keeps a burst of long requests with a
// short declared time from filling all slots before the first one ends.
void RequestDispatcher::OnOverrun(std::uint64_t number) {
  Attempt* attempt = this->attempts.FindByNumber(number);
  if (attempt == nullptr) {
    return;
  }
  attempt->is_long = true;
  this->router.TurnLong(attempt->endpoint);
  const Work* work = this->works.Find(attempt->work);
  if (work != nullptr) {
    const Request& request = work->request;
    this->run_times.Observe(request.service, request.kind,
                            this->PolicyOf(request.service).short_ms + 1);
  }
}

// A straggler that never answers took at least so long; a call that failed
// sooner than expected says nothing.
void RequestDispatcher::LearnFromFailure(const Attempt& attempt, Instant now) {
  const Work* work = this->works.Find(attempt.work);
  const std::int64_t elapsed_ms = now.RemainingMs(attempt.sent_at);
  if (work != nullptr && elapsed_ms > work->predicted_ms) {
    this->run_times.Observe(work->request.service, work->request.kind,
                            elapsed_ms);
  }
}

// Takes a finished attempt out of the books; what it says comes next.
Attempt RequestDispatcher::Finish(const Attempt& attempt) {
  Attempt finished = attempt;
  this->timers.Remove(
      Timer{finished.overrun_at, TimerKind::kOverrun, finished.number});
  this->timers.Remove(
      Timer{finished.hedge_at, TimerKind::kHedge, finished.number});
  this->attempts.Remove(finished.id);
  this->router.Release(finished.endpoint, finished.is_long);
  Work* work = this->works.Find(finished.work);
  if (work != nullptr) {
    --work->outstanding;
  }
  return finished;
}

void RequestDispatcher::OnMatched(const Attempt& attempt,
                                  const rpc::ExecuteReply& reply,
                                  Instant now) {
  this->router.OnLoad(attempt.endpoint, reply.load(), now);
  if (IsPromise(reply)) {
    this->router.OnRefusal(attempt.endpoint, reply.refusal(), now);
    this->OnNotRun(attempt, now);
  } else if (reply.ran() == rpc::RAN_YES &&
             reply.refusal() == rpc::REFUSAL_NONE) {
    this->OnAnswer(attempt, reply, now);
  } else {
    this->OnLost(attempt, RequestError::kEndpointFailed, RanOf(reply.ran()),
                 now);
  }
}

void RequestDispatcher::OnAnswer(const Attempt& attempt,
                                 const rpc::ExecuteReply& reply,
                                 Instant now) {
  Work* work = this->works.Find(attempt.work);
  if (work == nullptr) {
    ++this->counters.late_replies;
    return;
  }
  this->run_times.Observe(work->request.service, work->request.kind,
                          now.RemainingMs(attempt.sent_at));
  if (work->Keyed()) {
    this->Settle(work->key, work->claim_offset,
                 Outcome{records::CLAIM_OUTCOME_COMPLETED, reply.answer()});
  }
  this->AnswerAll(work->id,
                  Answer{Ran::kYes, RequestError::kNone, reply.answer()});
}

// The agent refused the attempt: it has not run and will not.
void RequestDispatcher::OnNotRun(const Attempt& attempt, Instant now) {
  Work* work = this->works.Find(attempt.work);
  if (work == nullptr || work->phase != WorkPhase::kSent) {
    return;
  }
  if (work->Keyed()) {
    this->OnOwnClaimNotRun(*work, now);
  } else if (work->outstanding == 0) {
    // Not counted against the retry budget: a refusal costs the endpoint
    // nothing, and it is passed over for a while.
    this->Enqueue(work->id, now);
  }
}

// The attempt ended without a usable answer.
void RequestDispatcher::OnLost(const Attempt& attempt,
                               RequestError error,
                               Ran ran,
                               Instant now) {
  Work* work = this->works.Find(attempt.work);
  if (work == nullptr || work->phase != WorkPhase::kSent) {
    return;
  }
  if (work->Keyed()) {
    // The agent is asked even when it says that it ran, for the answer.
    work->phase = WorkPhase::kWatching;
    this->Reconsider(work->id, now);
    return;
  }
  work->ran = Combine(work->ran, ran);
  if (work->outstanding > 0) {
    return;
  }
  if (this->retry_budget.TryTake()) {
    ++this->counters.retries;
    this->Enqueue(work->id, now);
  } else {
    this->FailAll(work->id, error);
  }
}

}  // namespace carobrill::requests
