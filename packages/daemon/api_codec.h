#ifndef PACKAGES_DAEMON_API_CODEC_H_
#define PACKAGES_DAEMON_API_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "packages/core/time.h"
#include "packages/daemon/api_types.h"
#include "packages/http/http_types.h"

namespace carobrill::daemon {

/// Bounds on what a caller may send.
struct ApiLimits {
  std::size_t max_body_bytes = 1024 * 1024;
  std::int64_t default_deadline_ms = 30'000;
};

/// True for 1 to 64 characters of [A-Za-z0-9._-], the form of all names.
bool IsValidName(std::string_view name);

/// True for 1 to 128 visible ASCII characters.
bool IsValidIdempotencyKey(std::string_view key);

/// Reads the body of POST /v1/services/{service}/requests. `now` is the boot
/// clock. The field `request` stays empty.
Answer<RequestCommand> ParseRequestCommand(const http::HttpRequest& request,
                                           const std::string& service,
                                           const ApiLimits& limits,
                                           Instant now);

/// Reads the body of POST /v1/jobs. `now` is the wall clock.
Answer<JobCommand> ParseJobCommand(const http::HttpRequest& request,
                                   const ApiLimits& limits,
                                   Instant now);

/// Reads the body of POST /v1/rules.
Answer<PublishRules> ParsePublishRules(const http::HttpRequest& request,
                                       const ApiLimits& limits);

/// Reads the body of POST /v1/rules/check and returns the rule text.
Answer<std::string> ParseRulesText(const http::HttpRequest& request,
                                   const ApiLimits& limits);

/// Reads the body of POST /v1/workers/{worker}/drain and undrain; it may be
/// empty.
Answer<DrainCommand> ParseDrainCommand(const http::HttpRequest& request,
                                       const std::string& worker,
                                       bool drain,
                                       const ApiLimits& limits);

/// Reads DELETE /v1/jobs/{job}, which has no body.
Answer<CancelCommand> ParseCancelCommand(const http::HttpRequest& request,
                                         const std::string& job);

/// Reads the query parameters `limit` (1 to 1000) and `after`.
Answer<PageQuery> ParsePageQuery(const http::HttpRequest& request);

/// Reads the query parameters of GET /v1/jobs: those of a page, and `account`,
/// `class` and `state`.
Answer<JobQuery> ParseJobQuery(const http::HttpRequest& request);

/// @{
/// Bodies of answers, as JSON.
std::string Render(const RequestAnswer& answer);
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

/// The answer to a request that failed with `problem`.
http::HttpResponse ResponseOf(const Problem& problem);

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_API_CODEC_H_
