#ifndef PACKAGES_DAEMON_REQUEST_EXECUTOR_H_
#define PACKAGES_DAEMON_REQUEST_EXECUTOR_H_

#include <map>
#include <string>

#include "packages/core/task.h"
#include "packages/daemon/api_types.h"
#include "packages/daemon/proposer.h"
#include "packages/ledger/replica.h"
#include "packages/membership/directory.h"
#include "packages/requests/request_dispatcher.h"
#include "packages/rpc/agent_client.h"
#include "packages/rules/rule_set.h"

namespace carobrill::daemon {

/// Runs short requests: passes events to the dispatcher and performs the
/// resulting actions as gRPC calls and log proposals. Used on the entry's task
/// only.
class RequestExecutor {
 public:
  RequestExecutor(const requests::DispatcherSettings& settings,
                  const requests::ClaimTable& claims,
                  Proposer& proposer,
                  rpc::AgentClient& agents);

  /// Runs a request. `callback` gets the answer, or the reason why there is
  /// none.
  void Execute(const RequestCommand& command,
               ApiResultCallback<RequestResult> callback);

  /// Handles a record that was applied to the replicated state.
  void OnRecord(const ledger::AppliedRecord& folded);

  /// Handles the replacement of the entire replicated state.
  void OnStateReplaced();

  /// Handles a change of the current rules.
  void OnRules(const rules::RuleSet& rules);

  /// Updates the known endpoints and entries and the availability of the log.
  void OnMembership(const membership::Directory& directory,
                    bool log_available,
                    Instant now);

  /// Runs the timers of the dispatcher that are due.
  void OnTimer(Instant now);

  /// Refuses new requests. Accepted requests are finished.
  void Drain() { this->dispatcher.Drain(); }

  bool Idle() const { return this->dispatcher.Idle(); }

  const requests::RequestDispatcher& Dispatcher() const {
    return this->dispatcher;
  }

 private:
  struct Caller {
    std::string request;
    ApiResultCallback<RequestResult> callback;
  };

  void Perform(requests::Actions actions);
  void Perform(const requests::ProposeRecord& action);
  void Perform(const requests::SendAttempt& action);
  void Perform(const requests::SendFence& action);
  void Perform(const requests::AnswerCaller& action);

  requests::RequestDispatcher dispatcher;
  Proposer& proposer;
  rpc::AgentClient& agents;
  requests::CallId last_call_id = 0;
  std::map<requests::CallId, Caller> callers;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_REQUEST_EXECUTOR_H_
