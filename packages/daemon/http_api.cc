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
std::optional<Problem> RefusalOf(ApiRoute route,
                                 const Readiness& readiness,
                                 bool draining) {
  if (draining && IsWork(route)) {
    return Problem{ApiError::kDraining, "this instance is shutting down"};
  }
  if (!readiness.ready && NeedsState(route)) {
    return Problem{ApiError::kNotReady, readiness.reason};
  }
  return std::nullopt;
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
