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
                      ApiResultCallback<RequestResult> reply);
  void SubmitJob(JobCommand command, ApiResultCallback<JobView> reply);
  void CancelJob(CancelCommand command, ApiResultCallback<JobView> reply);
  void GetJob(JobId job, ApiResultCallback<JobView> reply);
  void ListJobs(JobQuery query, ApiResultCallback<Page<JobView>> reply);
  void GetRules(ApiResultCallback<RulesView> reply);
  void Publish(PublishRulesCommand command, ApiResultCallback<RulesView> reply);
  void CheckRules(std::string text, ApiResultCallback<RulesCheckView> reply);
  void ListRuleVersions(PageQuery query,
                        ApiResultCallback<Page<RuleVersionView>> reply);
  void ListAccounts(PageQuery query,
                    ApiResultCallback<Page<AccountView>> reply);
  void ListWorkers(PageQuery query, ApiResultCallback<Page<WorkerView>> reply);
  void ListEndpoints(PageQuery query,
                     ApiResultCallback<Page<EndpointView>> reply);
  void ListInstances(PageQuery query,
                     ApiResultCallback<Page<InstanceView>> reply);
  void ListAudit(PageQuery query, ApiResultCallback<Page<AuditView>> reply);
  void SetWorkerDrain(DrainCommand command,
                      ApiResultCallback<WorkerView> reply);
  Readiness CurrentReadiness() const { return this->core.CurrentReadiness(); }

 private:
  void SubmitOnTask(const JobCommand& command,
                    ApiResultCallback<JobView> reply);
  void PublishOnTask(const PublishRulesCommand& command,
                     ApiResultCallback<RulesView> reply);
  void DrainOnTask(const DrainCommand& command,
                   ApiResultCallback<WorkerView> reply);
  Answer<JobView> ViewOfJob(const JobId& id) const;
  Answer<WorkerView> ViewOfWorker(const WorkerId& id) const;
  Problem RulesProblem(const PublishRulesCommand& command,
                       records::Verdict verdict) const;
  JobId NextJobId();

  EntryCore& core;
  Task& task;
  /// Number of the last job id; accessed on the entry's task only.
  std::uint64_t last_job_number = 0;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_ENTRY_BACKEND_H_
