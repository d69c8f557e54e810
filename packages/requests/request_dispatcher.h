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

/// What the dispatcher has done since its start, for metrics.
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

/// The path of short requests through one entry, as a state machine: events
/// come in with the time at which they happened, actions come out. The owner
/// performs the actions in order. Not safe for use by several threads; `claims`
/// must be the claim table of the fold on the same thread and must outlive it.
class RequestDispatcher {
 public:
  RequestDispatcher(const DispatcherSettings& settings,
                    const ClaimTable& claims);

  /// A caller asks; answered by exactly one AnswerCaller.
  Actions OnRequest(Request request, Instant now);

  /// The caller of `call` no longer waits; it gets no answer.
  Actions OnCallerGone(CallId call, Instant now);

  /// The call of SendAttempt `called` returned `reply`.
  Actions OnExecuteReply(const AttemptId& attempt_id,
                         const rpc::ExecuteReply& reply,
                         Instant now);

  /// The call of SendAttempt `called` failed or timed out; it may have run.
  Actions OnExecuteFailed(const AttemptId& attempt_id, Instant now);

  /// The call of SendFence `fence` returned `reply`.
  Actions OnFenceReply(std::uint64_t fence,
                       const rpc::FenceClaimReply& reply,
                       Instant now);

  /// The call of SendFence `fence` failed or timed out.
  Actions OnFenceFailed(std::uint64_t fence, Instant now);

  /// The fold has applied `record`, of this or of another entry, with
  /// `verdict`. Called for every record, after the claim table has applied it.
  Actions OnRecordApplied(const records::Record& record,
                          Offset offset,
                          records::Verdict verdict,
                          Instant now);

  /// A proposed record was dropped and will never be in the log.
  Actions OnProposalDropped(const records::Record& record, Instant now);

  /// The claim table was replaced by a snapshot or by a peer's state.
  Actions OnClaimsReplaced(Instant now);

  /// Appends and reads of the log succeed, or fail. Starts as unavailable.
  Actions OnLogState(bool available, Instant now);

  /// All endpoints that are known, as Directory::Endpoints returns them.
  Actions OnEndpoints(const std::vector<ServingEndpoint>& endpoints,
                      Instant now);

  /// Entries that are not dead, this one included. One of them, the first in
  /// planner rank, resolves the open claims of dead entries unasked.
  Actions OnEntries(const std::map<InstanceId, Incarnation>& alive,
                    bool resolves_orphans,
                    Instant now);

  /// The rules in force have changed.
  Actions OnPolicy(const RequestPolicy& policy, Instant now);

  /// From now on new requests are refused; those accepted are finished.
  void Drain();

  /// Does what is due at `now`.
  Actions OnTimer(Instant now);

  /// When OnTimer must be called next.
  Instant NextDeadline() const;

  /// True when nothing waits, runs or has to be settled.
  bool Idle() const;

  const DispatcherCounters& Counters() const { return this->counters; }

  std::size_t QueueSize() const { return this->queue.Size(); }

  std::size_t InFlight() const { return this->attempts.Size(); }

  std::size_t RetainedCalls() const {
    return this->pending_requests.CallCount();
  }

 private:
  // Arrival.
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

  // Sending.
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
