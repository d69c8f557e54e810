#include "packages/daemon/http_api.h"

#include <nlohmann/json.hpp>

namespace carobrill::daemon::detail {
namespace {

constexpr std::size_t kMaxClientRequestIdLength = 128;

bool RequiresState(ApiRoute route) {
  return route != ApiRoute::kMetrics && route != ApiRoute::kHealth &&
         route != ApiRoute::kReady && route != ApiRoute::kListInstances;
}

}  // namespace

http::HttpResponse JsonResponse(int status, std::string body) {
  http::HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

http::HttpResponse ReadyResponse(const Readiness& readiness, bool draining) {
  if (draining) {
    return MakeErrorResponse(
        Problem{ApiError::kDraining, "this instance is shutting down"});
  }
  if (!readiness.ready) {
    return MakeErrorResponse(Problem{ApiError::kNotReady, readiness.reason});
  }
  return JsonResponse(200, Render(readiness));
}

// Read-only routes are served while draining, so that operators can observe a
// shutdown. A call that may be a retry could already have been executed by
// another entry, so rejecting it here doesn't prove that the work did not run.
std::optional<Problem> CheckAdmission(ApiRoute route,
                                      const Readiness& readiness,
                                      bool draining,
                                      bool may_be_retry) {
  std::optional<Problem> problem;
  if (draining && IsMutating(route)) {
    problem = Problem{ApiError::kDraining, "this instance is shutting down"};
  } else if (!readiness.ready && RequiresState(route)) {
    problem = Problem{ApiError::kNotReady, readiness.reason};
  }
  if (problem.has_value() && IsMutating(route) && may_be_retry) {
    problem->ran = Ran::kUnknown;
  }
  return problem;
}

bool MayBeRetry(const http::HttpRequest& request) {
  if (!request.headers.contains("idempotency-key")) {
    return false;
  }
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  const auto first_attempt =
      body.is_object() ? body.find("first_attempt") : body.end();
  return first_attempt == body.end() || *first_attempt != true;
}

std::string GetClientRequestId(const http::HttpRequest& request) {
  const auto found = request.headers.find("x-request-id");
  if (found == request.headers.end() ||
      found->second.size() > kMaxClientRequestIdLength ||
      !IsValidIdempotencyKey(found->second)) {
    return {};
  }
  return found->second;
}

}  // namespace carobrill::daemon::detail
