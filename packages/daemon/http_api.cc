#include "packages/daemon/http_api.h"

namespace carobrill::daemon::detail {
namespace {

constexpr std::size_t kMaxCallerId = 128;

bool NeedsState(ApiRoute route) {
  return route != ApiRoute::kMetrics && route != ApiRoute::kHealth &&
         route != ApiRoute::kReady && route != ApiRoute::kListInstances;
}

}  // namespace

platform::HttpResponse JsonResponse(int status, std::string body) {
  platform::HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

platform::HttpResponse ReadyResponse(const Readiness& readiness,
                                     bool draining) {
  if (draining) {
    return ResponseOf(
        Problem{ApiError::kDraining, "this instance is shutting down"});
  }
  if (!readiness.ready) {
    return ResponseOf(Problem{ApiError::kNotReady, readiness.reason});
  }
  return JsonResponse(200, Render(readiness));
}

// Reads are served while draining: operators follow a shutdown with them.
// A call with a key may repeat one that another entry has run, so its refusal
// says nothing about whether the work ran.
std::optional<Problem> RefusalOf(ApiRoute route,
                                 const Readiness& readiness,
                                 bool draining,
                                 bool has_key) {
  std::optional<Problem> problem;
  if (draining && IsWork(route)) {
    problem = Problem{ApiError::kDraining, "this instance is shutting down"};
  } else if (!readiness.ready && NeedsState(route)) {
    problem = Problem{ApiError::kNotReady, readiness.reason};
  }
  if (problem.has_value() && IsWork(route) && has_key) {
    problem->ran = Ran::kUnknown;
  }
  return problem;
}

std::string CallerIdOf(const platform::HttpRequest& request) {
  const auto found = request.headers.find("x-request-id");
  if (found == request.headers.end() || found->second.size() > kMaxCallerId ||
      !IsValidIdempotencyKey(found->second)) {
    return {};
  }
  return found->second;
}

}  // namespace carobrill::daemon::detail
