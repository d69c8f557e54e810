#ifndef PACKAGES_DAEMON_REQUEST_PATH_H_
#define PACKAGES_DAEMON_REQUEST_PATH_H_

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

/// Runs short requests: hands events to the dispatcher and performs its actions
/// by gRPC and log proposals. Used on the entry's task only.
class RequestPath {
 public:
  RequestPath(const requests::DispatcherSettings& settings,
              const requests::ClaimTable& claims,
              Proposer& proposer,
              rpc::AgentClient& agents);

  /// Runs a request; `callback` gets the answer or the reason for none.
  void Execute(const RequestCommand& command,
               AnswerCallback<RequestAnswer> callback);

  /// A record was folded.
  void OnFolded(const ledger::FoldedRecord& folded);

  /// The folded state was replaced as a whole.
  void OnStateReplaced();

  /// The rules in force have changed.
  void OnRules(const rules::RuleSet& rules);

  /// Takes what is known about endpoints, entries and the log.
  void OnMembership(const membership::Directory& directory,
                    bool log_available,
                    Instant now);

  /// Does what is due.
  void OnTimer(Instant now);

  /// Refuses new requests; those accepted are finished.
  void Drain() { this->dispatcher.Drain(); }

  bool Idle() const { return this->dispatcher.Idle(); }

  const requests::RequestDispatcher& Dispatcher() const {
    return this->dispatcher;
  }

 private:
  struct Caller {
    std::string request;
    AnswerCallback<RequestAnswer> callback;
  };

  void Perform(requests::Actions actions);
  void Perform(const requests::ProposeRecord& action);
  void Perform(const requests::SendAttempt& action);
  void Perform(const requests::SendFence& action);
  void Perform(const requests::AnswerCaller& action);

  requests::RequestDispatcher dispatcher;
  Proposer& proposer;
  rpc::AgentClient& agents;
  requests::CallId last_call = 0;
  std::map<requests::CallId, Caller> callers;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_REQUEST_PATH_H_
