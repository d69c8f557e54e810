#ifndef TESTS_DAEMON_FAKE_BACKEND_H_
#define TESTS_DAEMON_FAKE_BACKEND_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "packages/daemon/http_api.h"

namespace carobrill::daemon {

/// A backend that holds requests until the test replies to them, and replies to
/// all other calls immediately.
struct FakeBackend {
  struct OpenRequest {
    RequestCommand command;
    ApiResultCallback<RequestResult> reply;
  };

  void ExecuteRequest(RequestCommand command,
                      ApiResultCallback<RequestResult> reply) {
    this->requests.push_back({std::move(command), std::move(reply)});
  }
  void SubmitJob(JobCommand command, ApiResultCallback<JobView> reply) {
    JobView view;
    view.job = JobId("job-1");
    view.account = command.account;
    view.state = "queued";
    this->jobs.push_back(std::move(command));
    reply(view);
  }
  void CancelJob(CancelCommand command, ApiResultCallback<JobView> reply) {
    reply(Problem{ApiError::kUnknownJob, command.job.value});
  }
  void GetJob(JobId job, ApiResultCallback<JobView> reply) {
    JobView view = this->job;
    view.job = std::move(job);
    reply(view);
  }
  void ListJobs(JobQuery query, ApiResultCallback<Page<JobView>> reply) {
    this->last_query = std::move(query);
    reply(Page<JobView>{{this->job}, this->next_page});
  }
  void GetRules(ApiResultCallback<RulesView> reply) { reply(RulesView{}); }
  void Publish(PublishRulesCommand command,
               ApiResultCallback<RulesView> reply) {
    if (command.base_version != 0) {
      reply(Problem{ApiError::kRulesConflict, "conflict", {}, 7, "+a"});
      return;
    }
    reply(RulesView{1, command.author, command.text, 0});
  }
  void CheckRules(std::string, ApiResultCallback<RulesCheckView> reply) {
    reply(RulesCheckView{true, 0, {}, ""});
  }
  void ListRuleVersions(PageQuery,
                        ApiResultCallback<Page<RuleVersionView>> reply) {
    reply(Page<RuleVersionView>{{this->version}, ""});
  }
  void ListAccounts(PageQuery, ApiResultCallback<Page<AccountView>> reply) {
    reply(Page<AccountView>{{this->account}, ""});
  }
  void ListWorkers(PageQuery, ApiResultCallback<Page<WorkerView>> reply) {
    reply(Page<WorkerView>{{this->worker}, ""});
  }
  void ListEndpoints(PageQuery, ApiResultCallback<Page<EndpointView>> reply) {
    reply(Page<EndpointView>{{this->endpoint}, ""});
  }
  void ListInstances(PageQuery, ApiResultCallback<Page<InstanceView>> reply) {
    reply(Page<InstanceView>{{this->instance}, ""});
  }
  void ListAudit(PageQuery, ApiResultCallback<Page<AuditView>> reply) {
    reply(Page<AuditView>{{this->change}, ""});
  }
  void SetWorkerDrain(DrainCommand command,
                      ApiResultCallback<WorkerView> reply) {
    WorkerView view;
    view.worker = command.worker;
    view.state = command.drain ? "draining" : "ready";
    reply(view);
  }
  Readiness CurrentReadiness() const { return this->readiness; }

  std::vector<OpenRequest> requests;
  std::vector<JobCommand> jobs;
  JobQuery last_query;
  std::string next_page;
  JobView job;
  RuleVersionView version;
  AccountView account;
  WorkerView worker;
  EndpointView endpoint;
  InstanceView instance;
  AuditView change;
  Readiness readiness{true, ""};
};

}  // namespace carobrill::daemon

#endif  // TESTS_DAEMON_FAKE_BACKEND_H_
