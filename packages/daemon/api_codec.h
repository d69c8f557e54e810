#ifndef PACKAGES_DAEMON_API_CODEC_H_
#define PACKAGES_DAEMON_API_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "packages/core/time.h"
#include "packages/daemon/api_types.h"
#include "packages/http/http_types.h"

namespace carobrill::daemon {

/// Limits on client requests.
struct ApiLimits {
  std::size_t max_body_bytes = 1024 * 1024;
  std::int64_t default_deadline_ms = 30'000;
};

/// True for 1 to 64 characters of [A-Za-z0-9._-], the format of all names.
bool IsValidName(std::string_view name);

/// True for 1 to 128 visible ASCII characters.
bool IsValidIdempotencyKey(std::string_view key);

/// Parses a POST /v1/services/{service}/requests call. `now` is the boot clock.
/// Leaves `RequestCommand::request` empty.
Answer<RequestCommand> ParseRequestCommand(const http::HttpRequest& request,
                                           const std::string& service,
                                           const ApiLimits& limits,
                                           Instant now);

/// Parses a POST /v1/jobs call. `now` is the wall clock.
Answer<JobCommand> ParseJobCommand(const http::HttpRequest& request,
                                   const ApiLimits& limits,
                                   Instant now);

/// Parses the body of POST /v1/rules.
Answer<PublishRulesCommand> ParsePublishRules(const http::HttpRequest& request,
                                              const ApiLimits& limits);

/// Parses the body of POST /v1/rules/check and returns the text of the rule
/// file.
Answer<std::string> ParseRulesText(const http::HttpRequest& request,
                                   const ApiLimits& limits);

/// Parses the body of POST /v1/workers/{worker}/drain and undrain, which may be
/// empty.
Answer<DrainCommand> ParseDrainCommand(const http::HttpRequest& request,
                                       const std::string& worker,
                                       bool drain,
                                       const ApiLimits& limits);

/// Parses a DELETE /v1/jobs/{job} call, which must not have a body.
Answer<CancelCommand> ParseCancelCommand(const http::HttpRequest& request,
                                         const std::string& job);

/// Parses the query parameters `limit` (1 to 1000) and `after`.
Answer<PageQuery> ParsePageQuery(const http::HttpRequest& request);

/// Parses the query parameters of GET /v1/jobs: the paging parameters,
/// `account`, `class` and `state`.
Answer<JobQuery> ParseJobQuery(const http::HttpRequest& request);

/// @{
/// Serializes a response body as JSON.
std::string Render(const RequestResult& answer);
std::string Render(const JobView& job);
std::string Render(const RulesView& rules);
std::string Render(const RulesCheckView& check);
std::string Render(const WorkerView& worker);
std::string Render(const Page<JobView>& page);
std::string Render(const Page<RuleVersionView>& page);
std::string Render(const Page<AccountView>& page);
std::string Render(const Page<WorkerView>& page);
std::string Render(const Page<EndpointView>& page);
std::string Render(const Page<InstanceView>& page);
std::string Render(const Page<AuditView>& page);
std::string Render(const Readiness& readiness);
std::string Render(const Problem& problem);
/// @}

/// Builds the error response for `problem` (`application/problem+json`).
http::HttpResponse MakeErrorResponse(const Problem& problem);

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_API_CODEC_H_
