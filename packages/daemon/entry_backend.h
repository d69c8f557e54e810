#ifndef PACKAGES_DAEMON_ENTRY_BACKEND_H_
#define PACKAGES_DAEMON_ENTRY_BACKEND_H_

#include <cstdint>
#include <functional>
#include <string>

#include "packages/core/task.h"
#include "packages/daemon/api_types.h"
#include "packages/daemon/entry_core.h"

namespace carobrill::daemon {

/// Executes the commands of the HTTP API on the entry's task. Implements the
/// concept ApiBackend. The public functions are thread-safe.
class EntryBackend {
 public:
  /// `core` and `task` must outlive the backend.
  EntryBackend(EntryCore& core, Task& task) : core(core), task(task) {}

  void ExecuteRequest(RequestCommand command,
                      AnswerCallback<RequestAnswer> reply);
  void SubmitJob(JobCommand command, AnswerCallback<JobView> reply);
  void CancelJob(CancelCommand command, AnswerCallback<JobView> reply);
  void GetJob(JobId job, AnswerCallback<JobView> reply);
  void ListJobs(JobQuery query, AnswerCallback<Page<JobView>> reply);
  void GetRules(AnswerCallback<RulesView> reply);
  void Publish(PublishRules command, AnswerCallback<RulesView> reply);
  void CheckRules(std::string text, AnswerCallback<RulesCheckView> reply);
  void ListRuleVersions(PageQuery query,
                        AnswerCallback<Page<RuleVersionView>> reply);
  void ListAccounts(PageQuery query, AnswerCallback<Page<AccountView>> reply);
  void ListWorkers(PageQuery query, AnswerCallback<Page<WorkerView>> reply);
  void ListEndpoints(PageQuery query, AnswerCallback<Page<EndpointView>> reply);
  void ListInstances(PageQuery query, AnswerCallback<Page<InstanceView>> reply);
  void ListAudit(PageQuery query, AnswerCallback<Page<AuditView>> reply);
  void SetWorkerDrain(DrainCommand command, AnswerCallback<WorkerView> reply);
  Readiness CurrentReadiness() const { return this->core.CurrentReadiness(); }

 private:
  void SubmitOnTask(const JobCommand& command, AnswerCallback<JobView> reply);
  void PublishOnTask(const PublishRules& command,
                     AnswerCallback<RulesView> reply);
  void DrainOnTask(const DrainCommand& command,
                   AnswerCallback<WorkerView> reply);
  Answer<JobView> ViewOfJob(const JobId& id) const;
  Answer<WorkerView> ViewOfWorker(const WorkerId& id) const;
  Problem RulesProblem(const PublishRules& command,
                       records::Verdict verdict) const;
  JobId NextJobId();

  EntryCore& core;
  Task& task;
  /// Number of the last job id; accessed on the entry's task only.
  std::uint64_t last_job_number = 0;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_ENTRY_BACKEND_H_
