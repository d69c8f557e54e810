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
#include "packages/requests/request_queue.h"
#include "packages/requests/request_types.h"
#include "packages/requests/retry_budget.h"
#include "packages/requests/router.h"
#include "packages/requests/run_time_model.h"
#include "packages/requests/settlements.h"
#include "packages/requests/timer_queue.h"
#include "packages/requests/work_table.h"
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
  Actions OnExecuteReply(const AttemptId& called,
                         const rpc::ExecuteReply& reply,
                         Instant now);

  /// The call of SendAttempt `called` failed or timed out; it may have run.
  Actions OnExecuteFailed(const AttemptId& called, Instant now);

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

  std::size_t RetainedCalls() const { return this->works.CallCount(); }

 private:
  // Arrival.
  std::optional<RequestError> RefusalOf(const Request& request,
                                        Instant now) const;
  void Accept(Request request, Instant now);
  bool JoinWork(const Request& request, const std::string& digest);
  Work& AddWork(Request request, std::string digest, Instant now);
  void Admit(WorkId id, Instant now);
  void Enqueue(WorkId id, Instant now);
  bool MakeRoom(const Work& work);
  bool ShedsNow(const Work& work, const QueueItem& item, Instant now) const;

  // Sending.
  void Pump(Instant now);
  void PumpService(const ServiceId& service, Instant now);
  bool PumpNext(const ServiceId& service,
                const std::optional<QueueItem>& item,
                Instant now);
  void Launch(Work& work, const ServingEndpoint& endpoint, Instant now);
  void ProposeClaim(Work& work, const ServingEndpoint& endpoint);
  void Send(Work& work,
            const ServingEndpoint& endpoint,
            bool is_hedge,
            Instant now);
  void SetAttemptTimers(const Work& work, Attempt& attempt, Instant now);
  void OnHedgeDue(std::uint64_t number, Instant now);
  void OnOverrun(std::uint64_t number);

  // Replies.
  Attempt Finish(const Attempt& attempt);
  void LearnFromFailure(const Attempt& attempt, Instant now);
  void OnMatched(const Attempt& attempt,
                 const rpc::ExecuteReply& reply,
                 Instant now);
  void OnAnswer(const Attempt& attempt,
                const rpc::ExecuteReply& reply,
                Instant now);
  void OnNotRun(const Attempt& attempt, Instant now);
  void OnLost(const Attempt& attempt, RequestError error, Ran ran, Instant now);

  // Claims.
  void OnClaimApplied(const records::RequestClaimed& claimed,
                      Offset offset,
                      records::Verdict verdict,
                      Instant now);
  void OnOwnClaimAccepted(Work& work, Offset offset, Instant now);
  void OnOwnClaimRejected(Work& work, records::Verdict verdict, Instant now);
  void OnOwnClaimNotRun(Work& work, Instant now);
  void OnClaimResolved(const ResolvedClaim& resolved, Instant now);
  void Reconsider(WorkId id, Instant now);
  void ReconsiderOpen(Work& work, const Claim& claim, Instant now);
  void Settle(const ClaimKey& key, Offset offset, const Outcome& outcome);
  void ResolveOrphans(Instant now);
  bool OwnerIsDead(const Claim& claim) const;
  bool IsOwn(const Claim& claim) const;
  void PollResolver(Instant now);
  void OnLogLost();
  void OnLogBack(Instant now);

  // Answers.
  Ran RanFor(const Work& work, const Caller& caller) const;
  void FailAll(WorkId id, RequestError error);
  void AnswerAll(WorkId id, const Answer& answer);
  void AnswerAs(WorkId id, const Claim& claim);
  void AnswerOne(const Caller& caller, const Answer& answer);
  void OnCallDeadline(CallId call);
  void OnNoEndpoint(WorkId id);
  void RemoveIfUnwanted(WorkId id);
  void RemoveWork(WorkId id);

  ServicePolicy PolicyOf(const ServiceId& service) const;
  rpc::Peers PeersTo(const ServingEndpoint& endpoint) const;
  Actions TakeActions(Instant now);

  DispatcherSettings settings;
  const ClaimTable& claims;
  RequestPolicy policy;
  WorkTable works;
  RequestQueue queue;
  RunTimeModel run_times;
  Router router;
  AttemptTable attempts;
  RetryBudget retry_budget;
  HedgePolicy hedge_policy;
  ClaimResolver resolver;
  Settlements settlements;
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
