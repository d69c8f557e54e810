#include "packages/daemon/http_api.h"

#include <nlohmann/json.hpp>

namespace carobrill::daemon::detail {
namespace {

constexpr std::size_t kMaxCallerId = 128;

bool NeedsState(ApiRoute route) {
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
    return ResponseOf(
        Problem{ApiError::kDraining, "this instance is shutting down"});
  }
  if (!readiness.ready) {
    return ResponseOf(Problem{ApiError::kNotReady, readiness.reason});
  }
  return JsonResponse(200, Render(readiness));
}

// Reads are served while draining: operators follow a shutdown with them.
// A call may repeat one that another entry has run, so its refusal
// says nothing about whether the work ran.
std::optional<Problem> RefusalOf(ApiRoute route,
                                 const Readiness& readiness,
                                 bool draining,
                                 bool may_repeat) {
  std::optional<Problem> problem;
  if (draining && IsWork(route)) {
    problem = Problem{ApiError::kDraining, "this instance is shutting down"};
  } else if (!readiness.ready && NeedsState(route)) {
    problem = Problem{ApiError::kNotReady, readiness.reason};
  }
  if (problem.has_value() && IsWork(route) && may_repeat) {
    problem->ran = Ran::kUnknown;
  }
  return problem;
}

bool MayRepeat(const http::HttpRequest& request) {
  if (!request.headers.contains("idempotency-key")) {
    return false;
  }
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  const auto vouched =
      body.is_object() ? body.find("first_attempt") : body.end();
  return vouched == body.end() || *vouched != true;
}

std::string CallerIdOf(const http::HttpRequest& request) {
  const auto found = request.headers.find("x-request-id");
  if (found == request.headers.end() || found->second.size() > kMaxCallerId ||
      !IsValidIdempotencyKey(found->second)) {
    return {};
  }
  return found->second;
}

}  // namespace carobrill::daemon::detail
