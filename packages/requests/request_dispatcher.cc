#include "packages/requests/request_dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "packages/core/digest.h"
#include "packages/core/hash.h"

namespace carobrill::requests {
namespace {

using records::Verdict;

// A claim that certainly did not run is made again at another endpoint; more
// often than this, something other than a full endpoint is wrong.
constexpr std::uint32_t kMaxClaims = 4;

// The reserve lets a service with few requests retry at all.
constexpr std::uint32_t kRetryReserve = 10;

constexpr std::int64_t kProposeAgainMs = 500;

// Parts are hashed with their lengths, so that they cannot run together.
std::string PayloadDigest(const Request& request) {
  return DigestOf(DigestOf(request.service.value) + request.payload) +
         std::to_string(request.payload.size());
}

ClaimKey KeyOf(const Request& request) {
  return ClaimKey{request.account, request.idempotency_key};
}

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

Timer DeadlineOf(const Caller& caller) {
  return Timer{caller.deadline, TimerKind::kCallDeadline, caller.call};
}

bool IsPromise(const rpc::ExecuteReply& reply) {
  // A duplicate was refused because the first copy may have run.
  return reply.ran() == rpc::RAN_NO &&
         reply.refusal() != rpc::REFUSAL_DUPLICATE;
}

// What two attempts together say: one that certainly ran settles it.
Ran Combine(Ran a, Ran b) {
  if (a == Ran::kYes || b == Ran::kYes) {
    return Ran::kYes;
  }
  return a == Ran::kUnknown ? a : b;
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
  assert(!settings.Fault().has_value());
}

Actions RequestDispatcher::OnRequest(Request request, Instant now) {
  ++this->counters.requests;
  const auto refusal = this->RefusalOf(request, now);
  if (refusal) {
    const Ran ran =
        request.repeat && !request.idempotent ? Ran::kUnknown : Ran::kNo;
    this->AnswerOne(Caller{request.call, request.deadline},
                    Answer{ran, *refusal, ""});
    return this->TakeActions(now);
  }
  this->retry_budget.OnRequest();
  this->hedge_policy.OnRequest();
  this->Accept(std::move(request), now);
  return this->TakeActions(now);
}

Actions RequestDispatcher::OnCallerGone(CallId call, Instant now) {
  Work* work = this->works.FindByCall(call);
  if (work != nullptr) {
    const WorkId id = work->id;
    for (const Caller& caller : work->callers) {
      if (caller.call == call) {
        this->timers.Remove(DeadlineOf(caller));
      }
    }
    this->works.RemoveCaller(call);
    this->RemoveIfUnwanted(id);
  }
  return this->TakeActions(now);
}

Actions RequestDispatcher::OnExecuteReply(const AttemptId& called,
                                          const rpc::ExecuteReply& reply,
                                          Instant now) {
  const ReplyMatch match = this->attempts.Match(called, reply);
  if (match == ReplyMatch::kLate) {
    ++this->counters.late_replies;
    return this->TakeActions(now);
  }
  const Attempt attempt = this->Finish(*this->attempts.Find(called));
  switch (match) {
    case ReplyMatch::kMisrouted:
      ++this->counters.misrouted_replies;
      this->OnLost(attempt, RequestError::kAnswerTruncated, Ran::kUnknown, now);
      break;
    case ReplyMatch::kTruncated:
      ++this->counters.truncated_replies;
      this->OnLost(attempt, RequestError::kAnswerTruncated, Ran::kYes, now);
      break;
    default:
      this->OnMatched(attempt, reply, now);
  }
  return this->TakeActions(now);
}

Actions RequestDispatcher::OnExecuteFailed(const AttemptId& called,
                                           Instant now) {
  const Attempt* found = this->attempts.Find(called);
  if (found != nullptr) {
    const Attempt attempt = this->Finish(*found);
    this->LearnFromFailure(attempt, now);
    this->OnLost(attempt, RequestError::kEndpointFailed, Ran::kUnknown, now);
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
    Work* work = this->works.FindByKey(key);
    if (work != nullptr && work->phase == WorkPhase::kWatching) {
      this->Reconsider(work->id, now);
    }
  }
  return this->TakeActions(now);
}

Actions RequestDispatcher::OnProposalDropped(const records::Record& record,
                                             Instant now) {
  if (record.has_claim_settled()) {
    this->settlements.OnDropped(record.claim_settled(),
                                now.After(kProposeAgainMs));
  }
  if (record.has_request_claimed()) {
    const records::RequestClaimed& claimed = record.request_claimed();
    Work* work = this->works.FindByKey(
        ClaimKey{AccountId(claimed.account()), claimed.key()});
    if (work != nullptr && work->phase == WorkPhase::kClaiming &&
        work->proposal == claimed.proposal()) {
      this->router.Release(work->target.endpoint, work->is_long);
      work->phase = WorkPhase::kHeld;
      this->Admit(work->id, now);
    }
  }
  return this->TakeActions(now);
}

// Records that the new state covers are not applied one by one, so what they
// would have said is read from the state.
Actions RequestDispatcher::OnClaimsReplaced(Instant now) {
  for (const WorkId id : this->works.KeyedIn(WorkPhase::kClaiming)) {
    Work& work = *this->works.Find(id);
    const Claim* claim = this->claims.Find(work.key);
    if (claim != nullptr && this->IsOwn(*claim) &&
        claim->proposal == work.proposal) {
      this->router.Release(work.target.endpoint, work.is_long);
      this->OnOwnClaimAccepted(work, claim->offset, now);
    }
  }
  for (const WorkId id : this->works.KeyedIn(WorkPhase::kWatching)) {
    this->Reconsider(id, now);
  }
  this->settlements.OnClaimsReplaced(this->claims, now);
  return this->TakeActions(now);
}

Actions RequestDispatcher::OnLogState(bool available, Instant now) {
  if (available != this->log_available) {
    this->log_available = available;
    if (available) {
      this->OnLogBack(now);
    } else {
      this->OnLogLost();
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

Actions RequestDispatcher::OnEntries(
    const std::map<InstanceId, Incarnation>& alive,
    bool resolves,
    Instant now) {
  this->alive_entries = alive;
  this->resolves_orphans = resolves;
  this->ResolveOrphans(now);
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
        this->OnNoEndpoint(timer->id);
        break;
    }
  }
  for (records::Record& record : this->settlements.TakeDue(now)) {
    this->actions.emplace_back(ProposeRecord{std::move(record)});
  }
  return this->TakeActions(now);
}

Instant RequestDispatcher::NextDeadline() const {
  Instant next = std::min({this->timers.NextAt(), this->resolver.NextAt(),
                           this->settlements.NextAt()});
  if (this->queue.Size() > 0) {
    next = std::min(next, this->router.NextChange(this->last_now));
  }
  return next;
}

bool RequestDispatcher::Idle() const {
  return this->works.empty() && this->settlements.empty() &&
         this->attempts.Size() == 0;
}

std::optional<RequestError> RequestDispatcher::RefusalOf(const Request& request,
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
    if (this->JoinWork(request, digest)) {
      return;
    }
  }
  Work& work = this->AddWork(std::move(request), std::move(digest), now);
  if (work.Keyed() && this->claims.Find(work.key) != nullptr) {
    // The key has been used, whatever the caller says.
    work.callers.front().repeat = true;
    this->Reconsider(work.id, now);
    return;
  }
  this->Admit(work.id, now);
}

// Calls with the key of work that is under way here share its outcome.
bool RequestDispatcher::JoinWork(const Request& request,
                                 const std::string& digest) {
  Work* work = this->works.FindByKey(KeyOf(request));
  if (work == nullptr) {
    return false;
  }
  const Caller caller{request.call, request.deadline, true};
  if (work->payload_digest != digest) {
    this->AnswerOne(caller, Answer{Ran::kNo, RequestError::kKeyReused, ""});
    return true;
  }
  this->works.AddCaller(*work, caller);
  this->timers.Add(DeadlineOf(caller));
  return true;
}

Work& RequestDispatcher::AddWork(Request request,
                                 std::string digest,
                                 Instant now) {
  Work work;
  const Caller caller{request.call, request.deadline, request.repeat};
  work.predicted_ms = this->run_times.Predict(request.service, request.kind,
                                              request.expected_run_ms);
  work.is_long = work.predicted_ms > this->PolicyOf(request.service).short_ms;
  work.enqueued_at = now;
  work.key = KeyOf(request);
  work.payload_digest = std::move(digest);
  work.callers.push_back(caller);
  work.request = std::move(request);
  this->timers.Add(DeadlineOf(caller));
  return this->works.Add(std::move(work));
}

// Queues work whose key is free as far as is known here.
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
