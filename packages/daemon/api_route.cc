#include "packages/daemon/api_route.h"

#include <array>
#include <vector>

#include "packages/daemon/api_codec.h"

namespace carobrill::daemon {
namespace {

struct RoutePattern {
  std::string_view method;
  // A segment "*" matches any name.
  std::string_view path;
  ApiRoute route;
};

constexpr std::array kRoutePatterns = {
    RoutePattern{"POST", "v1/services/*/requests", ApiRoute::kExecuteRequest},
    RoutePattern{"POST", "v1/jobs", ApiRoute::kSubmitJob},
    RoutePattern{"GET", "v1/jobs", ApiRoute::kListJobs},
    RoutePattern{"GET", "v1/jobs/*", ApiRoute::kGetJob},
    RoutePattern{"DELETE", "v1/jobs/*", ApiRoute::kCancelJob},
    RoutePattern{"GET", "v1/rules", ApiRoute::kGetRules},
    RoutePattern{"POST", "v1/rules", ApiRoute::kPublishRules},
    RoutePattern{"POST", "v1/rules/check", ApiRoute::kCheckRules},
    RoutePattern{"GET", "v1/rules/history", ApiRoute::kListRuleVersions},
    RoutePattern{"GET", "v1/accounts", ApiRoute::kListAccounts},
    RoutePattern{"GET", "v1/workers", ApiRoute::kListWorkers},
    RoutePattern{"GET", "v1/endpoints", ApiRoute::kListEndpoints},
    RoutePattern{"GET", "v1/instances", ApiRoute::kListInstances},
    RoutePattern{"GET", "v1/audit", ApiRoute::kListAudit},
    RoutePattern{"POST", "v1/workers/*/drain", ApiRoute::kDrainWorker},
    RoutePattern{"POST", "v1/workers/*/undrain", ApiRoute::kUndrainWorker},
    RoutePattern{"GET", "metrics", ApiRoute::kMetrics},
    RoutePattern{"GET", "healthz", ApiRoute::kHealth},
    RoutePattern{"GET", "readyz", ApiRoute::kReady},
};

std::vector<std::string_view> SplitPath(std::string_view path) {
  std::vector<std::string_view> segments;
  while (true) {
    const auto slash = path.find('/');
    segments.push_back(path.substr(0, slash));
    if (slash == std::string_view::npos) {
      return segments;
    }
    path.remove_prefix(slash + 1);
  }
}

bool MatchesPattern(const std::vector<std::string_view>& pattern,
                    const std::vector<std::string_view>& path,
                    std::string_view& name) {
  if (pattern.size() != path.size()) {
    return false;
  }
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    if (pattern[i] == "*") {
      name = path[i];
    } else if (pattern[i] != path[i]) {
      return false;
    }
  }
  return true;
}

}  // namespace

Answer<RouteMatch> MatchRoute(std::string_view method, std::string_view path) {
  if (!path.starts_with('/')) {
    return Problem{ApiError::kNotFound, "the path must start with /"};
  }
  const auto segments = SplitPath(path.substr(1));
  bool path_exists = false;
  for (const auto& pattern : kRoutePatterns) {
    std::string_view name;
    if (!MatchesPattern(SplitPath(pattern.path), segments, name)) {
      continue;
    }
    path_exists = true;
    if (pattern.method != method) {
      continue;
    }
    if (pattern.path.find('*') != std::string_view::npos &&
        !IsValidName(name)) {
      return Problem{ApiError::kInvalidField,
                     "the name in the path must be 1 to 64 characters of "
                     "letters, digits, '.', '_' and '-'"};
    }
    return RouteMatch{pattern.route, std::string(name)};
  }
  if (path_exists) {
    return Problem{ApiError::kMethodNotAllowed,
                   "the path does not allow this method"};
  }
  return Problem{ApiError::kNotFound, "there is nothing at this path"};
}

bool IsMutating(ApiRoute route) {
  switch (route) {
    case ApiRoute::kExecuteRequest:
    case ApiRoute::kSubmitJob:
    case ApiRoute::kCancelJob:
    case ApiRoute::kPublishRules:
    case ApiRoute::kDrainWorker:
    case ApiRoute::kUndrainWorker:
      return true;
    default:
      return false;
  }
}

}  // namespace carobrill::daemon
