#include "packages/daemon/request_executor.h"

#include <utility>
#include <variant>

#include "packages/daemon/problems.h"

namespace carobrill::daemon {
namespace {

Instant Now() {
  return BootClock{}.Now();
}

requests::RequestClass ClassOf(PriorityClass work_class) {
  switch (work_class) {
    case PriorityClass::kUrgent:
      return requests::RequestClass::kUrgent;
    case PriorityClass::kNormal:
      return requests::RequestClass::kNormal;
    case PriorityClass::kBatch:
      return requests::RequestClass::kBatch;
  }
  return requests::RequestClass::kNormal;
}

requests::RequestPolicy RequestPolicyOf(const rules::RuleSet& rules) {
  requests::RequestPolicy policy;
  for (const auto& [account, rule] : rules.accounts) {
    policy.accounts[account] = rule.share;
  }
  for (const auto& [service, rule] : rules.services) {
    policy.services[service] = {rule.max_short_run_ms,
                                rule.reserved_short_slots};
  }
  return policy;
}

}  // namespace

RequestExecutor::RequestExecutor(const requests::DispatcherSettings& settings,
                                 const requests::ClaimTable& claims,
                                 Proposer& proposer,
                                 rpc::AgentClient& agents)
    : dispatcher(settings, claims), proposer(proposer), agents(agents) {}

void RequestExecutor::Execute(const RequestCommand& command,
                              ApiResultCallback<RequestResult> callback) {
  requests::Request request;
  request.call = ++this->last_call_id;
  request.account = command.account;
  request.service = command.service;
  request.request_class = ClassOf(command.work_class);
  request.idempotency_key = command.idempotency_key;
  request.idempotent = command.idempotent;
  request.deadline = command.deadline;
  request.kind = command.kind;
  request.expected_run_ms = command.expected_run_ms;
  request.payload = command.payload;
  request.hold_during_outage = command.hold_during_outage;
  // Another entry may have run an earlier call with the same key. "Not run" can
  // only be reported if the caller states that this is its first attempt.
  request.repeat = !command.idempotent && !command.first_attempt;
  this->callers[request.call] = {command.request, std::move(callback)};
  this->Perform(this->dispatcher.OnRequest(std::move(request), Now()));
}

void RequestExecutor::OnRecord(const ledger::AppliedRecord& folded) {
  if (folded.status == ledger::ApplyStatus::kApplied) {
    this->Perform(this->dispatcher.OnRecordApplied(folded.record, folded.offset,
                                                   folded.verdict, Now()));
  }
}

void RequestExecutor::OnStateReplaced() {
  this->Perform(this->dispatcher.OnClaimTableReplaced(Now()));
}

void RequestExecutor::OnRules(const rules::RuleSet& rules) {
  this->Perform(this->dispatcher.OnPolicy(RequestPolicyOf(rules), Now()));
}

void RequestExecutor::OnMembership(const membership::Directory& directory,
                                   bool log_available,
                                   Instant now) {
  std::map<InstanceId, Incarnation> alive;
  for (const auto& entry : directory.Entries(now)) {
    if (entry.liveness != membership::Liveness::kDead) {
      alive[entry.entry] = entry.incarnation;
    }
  }
  this->Perform(this->dispatcher.OnLiveEntries(
      alive, directory.IsPreferredPlanner(now), now));
  this->Perform(this->dispatcher.OnEndpoints(directory.Endpoints(now), now));
  this->Perform(this->dispatcher.OnLogAvailability(log_available, now));
}

void RequestExecutor::OnTimer(Instant now) {
  if (this->dispatcher.NextDeadline() <= now) {
    this->Perform(this->dispatcher.OnTimer(now));
  }
}

void RequestExecutor::Perform(requests::Actions actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& one) { this->Perform(one); }, action);
  }
}

// Only records that were never written are reported to the dispatcher. An
// unknown verdict is resolved from the claim table after the state has been
// replaced.
void RequestExecutor::Perform(const requests::ProposeRecord& action) {
  this->proposer.Propose(
      action.record, "", Instant::Never(),
      [this, record = action.record](const ledger::ProposalResult& result) {
        if (result.outcome == ledger::ProposalOutcome::kNotWritten) {
          this->Perform(this->dispatcher.OnProposalDropped(record, Now()));
        }
      });
}

void RequestExecutor::Perform(const requests::SendAttempt& action) {
  this->agents.Execute(
      action.address, action.request, action.deadline,
      [this, attempt = action.attempt](
          const rpc::RpcResult<rpc::ExecuteReply>& reply) {
        this->Perform(
            reply.Ok()
                ? this->dispatcher.OnExecuteReply(attempt, reply.value, Now())
                : this->dispatcher.OnExecuteFailed(attempt, Now()));
      });
}

void RequestExecutor::Perform(const requests::SendFence& action) {
  this->agents.FenceClaim(
      action.address, action.request, action.deadline,
      [this, fence = action.fence](
          const rpc::RpcResult<rpc::FenceClaimReply>& reply) {
        this->Perform(
            reply.Ok()
                ? this->dispatcher.OnFenceReply(fence, reply.value, Now())
                : this->dispatcher.OnFenceFailed(fence, Now()));
      });
}

void RequestExecutor::Perform(const requests::AnswerCaller& action) {
  const auto found = this->callers.find(action.call);
  if (found == this->callers.end()) {
    return;
  }
  const Caller caller = std::move(found->second);
  this->callers.erase(found);
  if (action.answer.error == requests::RequestError::kNone) {
    caller.callback(RequestResult{caller.request, action.answer.answer, {}});
  } else {
    caller.callback(ToProblem(action.answer));
  }
}

}  // namespace carobrill::daemon
