#ifndef PACKAGES_DAEMON_API_ROUTE_H_
#define PACKAGES_DAEMON_API_ROUTE_H_

#include <string>
#include <string_view>

#include "packages/core/name_table.h"
#include "packages/daemon/api_types.h"

namespace carobrill::daemon {

/// Operations of the API. The names are used as metric labels.
enum class ApiRoute {
  kExecuteRequest,
  kSubmitJob,
  kListJobs,
  kGetJob,
  kCancelJob,
  kGetRules,
  kPublishRules,
  kCheckRules,
  kListRuleVersions,
  kListAccounts,
  kListWorkers,
  kListEndpoints,
  kListInstances,
  kListAudit,
  kDrainWorker,
  kUndrainWorker,
  kMetrics,
  kHealth,
  kReady,
  kUnknown,
};

constexpr auto NamesOf(ApiRoute) {
  return MakeNameTable<ApiRoute>({
      {ApiRoute::kExecuteRequest, "execute_request"},
      {ApiRoute::kSubmitJob, "submit_job"},
      {ApiRoute::kListJobs, "list_jobs"},
      {ApiRoute::kGetJob, "get_job"},
      {ApiRoute::kCancelJob, "cancel_job"},
      {ApiRoute::kGetRules, "get_rules"},
      {ApiRoute::kPublishRules, "publish_rules"},
      {ApiRoute::kCheckRules, "check_rules"},
      {ApiRoute::kListRuleVersions, "list_rule_versions"},
      {ApiRoute::kListAccounts, "list_accounts"},
      {ApiRoute::kListWorkers, "list_workers"},
      {ApiRoute::kListEndpoints, "list_endpoints"},
      {ApiRoute::kListInstances, "list_instances"},
      {ApiRoute::kListAudit, "list_audit"},
      {ApiRoute::kDrainWorker, "drain_worker"},
      {ApiRoute::kUndrainWorker, "undrain_worker"},
      {ApiRoute::kMetrics, "metrics"},
      {ApiRoute::kHealth, "health"},
      {ApiRoute::kReady, "ready"},
      {ApiRoute::kUnknown, "unknown"},
  });
}

/// A route and the name extracted from its path, for example a job id.
struct RouteMatch {
  ApiRoute route = ApiRoute::kUnknown;
  std::string name;
};

/// Finds the route for a method and a path. Fails with kNotFound,
/// kMethodNotAllowed, or kInvalidField if the name in the path is invalid.
Answer<RouteMatch> MatchRoute(std::string_view method, std::string_view path);

/// Returns true for routes that change state or execute work.
bool IsMutating(ApiRoute route);

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_API_ROUTE_H_
