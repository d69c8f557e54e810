#ifndef PACKAGES_REQUESTS_REQUEST_DISPATCHER_H_
#define PACKAGES_REQUESTS_REQUEST_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/serving_endpoint.h"
#include "packages/core/time.h"
#include "packages/records/records.pb.h"
#include "packages/records/verdict.h"
#include "packages/requests/action.h"
#include "packages/requests/attempt_table.h"
#include "packages/requests/claim_resolver.h"
#include "packages/requests/claim_table.h"
#include "packages/requests/dispatcher_settings.h"
#include "packages/requests/hedge_policy.h"
#include "packages/requests/pending_settlements.h"
#include "packages/requests/request_queue.h"
#include "packages/requests/request_table.h"
#include "packages/requests/request_types.h"
#include "packages/requests/retry_budget.h"
#include "packages/requests/router.h"
#include "packages/requests/run_time_model.h"
#include "packages/requests/timer_queue.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::requests {

/// Event counts since the dispatcher was created, for metrics.
struct DispatcherCounters {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t shed = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t claims = 0;
  std::uint64_t late_replies = 0;
  std::uint64_t misrouted_replies = 0;
  std::uint64_t truncated_replies = 0;
};

/// Dispatches the short requests of one entry to endpoints. A state machine
/// without I/O: each event is passed in with the time at which it happened and
/// returns the actions that the owner must perform in order. Not thread-safe.
/// `claims` must be the claim table of the replicated state machine on the same
/// thread and must outlive the dispatcher.
class RequestDispatcher {
 public:
  RequestDispatcher(const DispatcherSettings& settings,
                    const ClaimTable& claims);

  /// A caller makes a request; answered by exactly one AnswerCaller.
  Actions OnRequest(Request request, Instant now);

  /// The caller of `call` no longer waits and gets no answer.
  Actions OnCallerGone(CallId call, Instant now);

  /// The call of SendAttempt `attempt_id` returned `reply`.
  Actions OnExecuteReply(const AttemptId& attempt_id,
                         const rpc::ExecuteReply& reply,
                         Instant now);

  /// The call of SendAttempt `attempt_id` failed or timed out; the request may
  /// have run.
  Actions OnExecuteFailed(const AttemptId& attempt_id, Instant now);

  /// The call of SendFence `fence` returned `reply`.
  Actions OnFenceReply(std::uint64_t fence,
                       const rpc::FenceClaimReply& reply,
                       Instant now);

  /// The call of SendFence `fence` failed or timed out.
  Actions OnFenceFailed(std::uint64_t fence, Instant now);

  /// `record`, proposed by this or another entry, was applied with `verdict`.
  /// Must be called for every record, after the claim table has applied it.
  Actions OnRecordApplied(const records::Record& record,
                          Offset offset,
                          records::Verdict verdict,
                          Instant now);

  /// A proposed record was dropped and will never appear in the log.
  Actions OnProposalDropped(const records::Record& record, Instant now);

  /// The claim table was replaced from a snapshot or from a peer's state.
  Actions OnClaimTableReplaced(Instant now);

  /// The log became available or unavailable for appends and reads. Initially
  /// unavailable.
  Actions OnLogAvailability(bool available, Instant now);

  /// Sets all known endpoints, as returned by Directory::Endpoints.
  Actions OnEndpoints(const std::vector<ServingEndpoint>& endpoints,
                      Instant now);

  /// Sets the entries that are not dead, including this one. One of them, the
  /// first in planner rank, has `resolves_orphans` set and resolves the open
  /// claims of dead entries even without a pending request for them.
  Actions OnLiveEntries(const std::map<InstanceId, Incarnation>& alive,
                        bool resolves_orphans,
                        Instant now);

  /// The rules in force have changed.
  Actions OnPolicy(const RequestPolicy& policy, Instant now);

  /// Rejects new requests from now on; accepted ones are finished.
  void Drain();

  /// Handles timers and settlements that are due at `now`.
  Actions OnTimer(Instant now);

  /// When OnTimer must be called next.
  Instant NextDeadline() const;

  /// True if no request is pending, no attempt is in progress and no settlement
  /// is pending.
  bool Idle() const;

  const DispatcherCounters& Counters() const { return this->counters; }

  std::size_t QueueSize() const { return this->queue.Size(); }

  std::size_t InFlight() const { return this->attempts.Size(); }

  std::size_t RetainedCalls() const {
    return this->pending_requests.CallCount();
  }

 private:
  // Admission.
  std::optional<RequestError> RejectionFor(const Request& request,
                                           Instant now) const;
  void Accept(Request request, Instant now);
  bool JoinPending(const Request& request, const std::string& digest);
  PendingRequest& AddPending(Request request, std::string digest, Instant now);
  void QueueOrHold(RequestId id, Instant now);
  void Enqueue(RequestId id, Instant now);
  bool EvictLowerClass(const PendingRequest& pending);
  bool ShouldShed(const PendingRequest& pending,
                  const QueueItem& item,
                  Instant now) const;

  // Dispatch.
  void DispatchAll(Instant now);
  void DispatchService(const ServiceId& service, Instant now);
  bool DispatchItem(const ServiceId& service,
                    const std::optional<QueueItem>& item,
                    Instant now);
  void Launch(PendingRequest& pending,
              const ServingEndpoint& endpoint,
              Instant now);
  void ProposeClaim(PendingRequest& pending, const ServingEndpoint& endpoint);
  void Send(PendingRequest& pending,
            const ServingEndpoint& endpoint,
            bool is_hedge,
            Instant now);
  void SetAttemptTimers(const PendingRequest& pending,
                        Attempt& attempt,
                        Instant now);
  void OnHedgeDue(std::uint64_t number, Instant now);
  void OnOverrun(std::uint64_t number);

  // Replies.
  Attempt EndAttempt(const Attempt& attempt);
  void ObserveFailedAttempt(const Attempt& attempt, Instant now);
  void OnMatchedReply(const Attempt& attempt,
                      const rpc::ExecuteReply& reply,
                      Instant now);
  void OnAnswer(const Attempt& attempt,
                const rpc::ExecuteReply& reply,
                Instant now);
  void OnAttemptRefused(const Attempt& attempt, Instant now);
  void OnAttemptLost(const Attempt& attempt,
                     RequestError error,
                     Ran ran,
                     Instant now);

  // Claims.
  void OnClaimApplied(const records::RequestClaimed& claimed,
                      Offset offset,
                      records::Verdict verdict,
                      Instant now);
  void OnOwnClaimAccepted(PendingRequest& pending, Offset offset, Instant now);
  void OnOwnClaimRejected(PendingRequest& pending,
                          records::Verdict verdict,
                          Instant now);
  void OnOwnClaimNotRun(PendingRequest& pending, Instant now);
  void OnClaimResolved(const ResolvedClaim& resolved, Instant now);
  void ReevaluateClaim(RequestId id, Instant now);
  void HandleOpenClaim(PendingRequest& pending,
                       const Claim& claim,
                       Instant now);
  void ProposeSettlement(const ClaimKey& key,
                         Offset offset,
                         const Settlement& settlement);
  void ResolveOrphanedClaims(Instant now);
  bool IsOwnerDead(const Claim& claim) const;
  bool IsOwnClaim(const Claim& claim) const;
  void PollResolver(Instant now);
  void OnLogUnavailable();
  void OnLogAvailable(Instant now);

  // Answers.
  Ran RanForCaller(const PendingRequest& pending, const Caller& caller) const;
  void FailAll(RequestId id, RequestError error);
  void AnswerAll(RequestId id, const Answer& answer);
  void AnswerFromClaim(RequestId id, const Claim& claim);
  void AnswerCall(const Caller& caller, const Answer& answer);
  void OnCallDeadline(CallId call);
  void OnNoEndpointTimeout(RequestId id);
  void RemoveIfAbandoned(RequestId id);
  void RemovePending(RequestId id);

  ServicePolicy PolicyOf(const ServiceId& service) const;
  rpc::Peers PeersTo(const ServingEndpoint& endpoint) const;
  Actions TakeActions(Instant now);

  DispatcherSettings settings;
  const ClaimTable& claims;
  RequestPolicy policy;
  RequestTable pending_requests;
  RequestQueue queue;
  RunTimeModel run_times;
  Router router;
  AttemptTable attempts;
  RetryBudget retry_budget;
  HedgePolicy hedge_policy;
  ClaimResolver resolver;
  PendingSettlements settlements;
  TimerQueue timers;
  /// Time of the last event.
  Instant last_now;
  std::map<InstanceId, Incarnation> alive_entries;
  bool resolves_orphans = false;
  bool log_available = false;
  bool draining = false;
  std::uint64_t next_proposal = 1;
  Actions actions;
  DispatcherCounters counters;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_REQUEST_DISPATCHER_H_
