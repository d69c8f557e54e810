#include "packages/daemon/api_codec.h"

#include <algorithm>
#include <bit>
#include <charconv>
#include <utility>

#include "packages/daemon/json_reader.h"

namespace carobrill::daemon {
namespace {

using Json = nlohmann::json;
using http::HttpRequest;

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxKeyLength = 128;
constexpr std::size_t kMaxAuthorLength = 128;
constexpr std::size_t kMaxReasonLength = 256;
constexpr std::int64_t kDayMs = 24LL * 3600 * 1000;
// Work that may wait longer than this must be submitted as a job.
constexpr std::int64_t kMaxRequestDeadlineMs = 3600LL * 1000;
constexpr std::int64_t kMaxJobDeadlineMs = 365 * kDayMs;
constexpr std::int64_t kMaxRunMs = 365 * kDayMs;
// Gangs have at most 64 members (docs/design.md, section 7.1).
constexpr std::int64_t kMaxGangMembers = 64;
constexpr std::int64_t kMaxAccelerators = 64;
constexpr std::int64_t kMaxCores = 4096;
constexpr std::int64_t kMaxMemoryMb = 16LL * 1024 * 1024;
constexpr std::uint32_t kMaxPageSize = 1000;
constexpr std::size_t kMaxCursorLength = 256;

std::string GetHeader(const HttpRequest& request, const char* name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? std::string() : found->second;
}

// The actor is used only in the audit trail, so an invalid value is truncated
// and sanitized instead of rejected.
std::string GetActor(const HttpRequest& request) {
  std::string actor = GetHeader(request, "x-actor").substr(0, kMaxAuthorLength);
  std::replace_if(
      actor.begin(), actor.end(), [](char c) { return c < ' ' || c > '~'; },
      '?');
  return actor;
}

bool IsJsonMediaType(std::string type) {
  type = type.substr(0, type.find(';'));
  while (type.ends_with(' ')) {
    type.pop_back();
  }
  std::transform(type.begin(), type.end(), type.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return type.empty() || type == "application/json";
}

Answer<Json> ParseBody(const HttpRequest& request, const ApiLimits& limits) {
  if (request.body_too_large || request.body.size() > limits.max_body_bytes) {
    return Problem{ApiError::kBodyTooLarge,
                   "the body may have at most " +
                       std::to_string(limits.max_body_bytes) + " bytes"};
  }
  if (!IsJsonMediaType(GetHeader(request, "content-type"))) {
    return Problem{ApiError::kUnsupportedMediaType,
                   "the body must be application/json"};
  }
  return ParseStrictJson(request.body);
}

Answer<std::string> ParseIdempotencyKey(const HttpRequest& request) {
  const auto found = request.headers.find("idempotency-key");
  if (found == request.headers.end()) {
    return std::string();
  }
  if (!IsValidIdempotencyKey(found->second)) {
    return Problem{ApiError::kInvalidIdempotencyKey,
                   "Idempotency-Key must be 1 to 128 visible characters"};
  }
  return found->second;
}

std::optional<std::uint32_t> ParsePositiveInteger(std::string_view text) {
  std::uint32_t value = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || value == 0) {
    return std::nullopt;
  }
  return value;
}

Problem InvalidQuery(const std::string& message) {
  return Problem{ApiError::kInvalidQuery, message};
}

std::optional<Problem> CheckQueryParameters(
    const HttpRequest& request,
    std::initializer_list<std::string_view> known_parameters) {
  for (const auto& [name, value] : request.query) {
    if (std::find(known_parameters.begin(), known_parameters.end(), name) ==
        known_parameters.end()) {
      return InvalidQuery("the query parameter '" + name + "' is not known");
    }
  }
  return std::nullopt;
}

Answer<PageQuery> ReadPageQuery(const HttpRequest& request) {
  PageQuery page;
  if (const auto limit = request.query.find("limit");
      limit != request.query.end()) {
    const auto value = ParsePositiveInteger(limit->second);
    if (!value.has_value() || *value > kMaxPageSize) {
      return InvalidQuery("limit must be an integer from 1 to 1000");
    }
    page.limit = *value;
  }
  if (const auto after = request.query.find("after");
      after != request.query.end()) {
    if (after->second.size() > kMaxCursorLength) {
      return InvalidQuery("after is not a cursor of this list");
    }
    page.after = after->second;
  }
  return page;
}

std::string Serialize(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json ToJson(const RuleFileError& fault) {
  return {
      {"line", fault.line}, {"kind", fault.kind}, {"message", fault.message}};
}

Json RuleErrorsToJson(const std::vector<RuleFileError>& faults) {
  Json list = Json::array();
  for (const auto& fault : faults) {
    list.push_back(ToJson(fault));
  }
  return list;
}

Json ToJson(const JobView& job) {
  Json workers = Json::array();
  for (const auto& worker : job.workers) {
    workers.push_back(worker.value);
  }
  return {{"job", job.job.value},
          {"account", job.account.value},
          {"class", NameOf(job.work_class)},
          {"kind", job.kind},
          {"state", job.state},
          {"attempt", job.attempt},
          {"members", job.members},
          {"accelerators", job.accelerators},
          {"idempotent", job.idempotent},
          {"borrowed", job.borrowed},
          {"workers", std::move(workers)},
          {"waiting_reason", job.waiting_reason},
          {"queue_position", job.queue_position},
          {"reason", job.reason},
          {"submitted_at_ms", job.submitted_at_ms},
          {"started_at_ms", job.started_at_ms},
          {"ended_at_ms", job.ended_at_ms}};
}

Json ToJson(const RuleVersionView& version) {
  return {{"version", version.version},
          {"author", version.author},
          {"published_at_ms", version.published_at_ms},
          {"diff", version.diff}};
}

Json ToJson(const AccountView& account) {
  return {{"account", account.account.value},
          {"guarantee", account.guarantee},
          {"quota", account.quota},
          {"share", account.share},
          {"used_guaranteed", account.used_guaranteed},
          {"used_borrowed", account.used_borrowed},
          {"jobs_queued", account.jobs_queued},
          {"jobs_running", account.jobs_running},
          {"at_risk", account.at_risk},
          {"at_risk_reason", account.at_risk_reason}};
}

Json ToJson(const WorkerView& worker) {
  return {{"worker", worker.worker.value},
          {"rack", worker.rack.value},
          {"failure_domain", worker.failure_domain.value},
          {"region", worker.region.value},
          {"state", worker.state},
          {"reason", worker.reason},
          {"accelerators", worker.accelerators},
          {"accelerators_used", worker.accelerators_used},
          {"cores", worker.cores_milli / 1000.0},
          {"memory_mb", worker.memory_mb},
          {"incarnation", worker.incarnation}};
}

Json ToJson(const EndpointView& endpoint) {
  return {{"endpoint", endpoint.endpoint.value},
          {"service", endpoint.service.value},
          {"partner", endpoint.partner},
          {"failure_domain", endpoint.failure_domain.value},
          {"region", endpoint.region.value},
          {"state", endpoint.state},
          {"slots", endpoint.slots},
          {"slots_used", endpoint.slots_used},
          {"connections", endpoint.connections},
          {"connections_used", endpoint.connections_used},
          {"heard_ms_ago", endpoint.last_report_age_ms}};
}

Json ToJson(const InstanceView& instance) {
  return {{"instance", instance.instance.value},
          {"role", instance.role},
          {"incarnation", instance.incarnation},
          {"address", instance.address},
          {"failure_domain", instance.failure_domain.value},
          {"region", instance.region.value},
          {"state", instance.state},
          {"planner", instance.planner},
          {"applied_offset", instance.applied_offset},
          {"lineage", instance.lineage},
          {"rules_version", instance.rules_version},
          {"heard_ms_ago", instance.last_report_age_ms}};
}

Json ToJson(const AuditView& change) {
  return {{"offset", change.offset},  {"appended_at_ms", change.appended_at_ms},
          {"actor", change.actor},    {"instance", change.instance},
          {"change", change.change},  {"subject", change.subject},
          {"verdict", change.verdict}};
}

template <typename View>
std::string RenderPage(const char* name, const Page<View>& page) {
  Json items = Json::array();
  for (const auto& item : page.items) {
    items.push_back(ToJson(item));
  }
  return Serialize({{name, std::move(items)}, {"next", page.next}});
}

Answer<RequestCommand> RequireIdempotencyKey(RequestCommand command) {
  if (!command.idempotent && command.idempotency_key.empty()) {
    return Problem{ApiError::kIdempotencyKeyRequired,
                   "a request that is not idempotent needs the header "
                   "Idempotency-Key"};
  }
  return command;
}

void ReadResources(JsonReader& reader, JobCommand& command) {
  command.members = static_cast<std::uint32_t>(
      reader.Integer("members", 1, kMaxGangMembers, 1));
  command.accelerators = static_cast<std::uint32_t>(
      reader.Integer("accelerators", 0, kMaxAccelerators, 0));
  command.cores_milli =
      static_cast<std::uint32_t>(reader.MilliUnits("cores", kMaxCores));
  command.memory_mb = static_cast<std::uint32_t>(
      reader.Integer("memory_mb", 0, kMaxMemoryMb, 0));
  command.adjacency = reader.Value<Adjacency>("adjacent", Adjacency::kNone);
}

std::optional<Problem> CheckResources(const JobCommand& command) {
  if (command.accelerators != 0 && !std::has_single_bit(command.accelerators)) {
    return Problem{ApiError::kInvalidField,
                   "the field 'accelerators' must be 0 or a power of two"};
  }
  if (command.accelerators == 0 && command.cores_milli == 0 &&
      command.memory_mb == 0) {
    return Problem{ApiError::kInvalidField,
                   "one of 'accelerators', 'cores' and 'memory_mb' must be "
                   "above 0"};
  }
  return std::nullopt;
}

}  // namespace

bool IsValidName(std::string_view name) {
  if (name.empty() || name.size() > kMaxNameLength) {
    return false;
  }
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
  });
}

bool IsValidIdempotencyKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeyLength &&
         std::all_of(key.begin(), key.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

Answer<RequestCommand> ParseRequestCommand(const HttpRequest& request,
                                           const std::string& service,
                                           const ApiLimits& limits,
                                           Instant now) {
  const auto body = ParseBody(request, limits);
  if (const auto* problem = std::get_if<Problem>(&body)) {
    return *problem;
  }
  auto key = ParseIdempotencyKey(request);
  if (const auto* problem = std::get_if<Problem>(&key)) {
    return *problem;
  }
  JsonReader reader(std::get<Json>(body));
  RequestCommand command;
  command.idempotency_key = std::get<std::string>(std::move(key));
  command.service = ServiceId(service);
  command.account = AccountId(reader.Name("account", std::nullopt));
  command.work_class = reader.Value<PriorityClass>("class", std::nullopt);
  command.idempotent = reader.Boolean("idempotent", std::nullopt);
  command.deadline = now.After(reader.Integer(
      "deadline_ms", 1, kMaxRequestDeadlineMs, limits.default_deadline_ms));
  command.kind = reader.Name("kind", std::nullopt);
  command.expected_run_ms = reader.Integer("expected_run_ms", 0, kMaxRunMs, 0);
  command.payload = reader.String("payload", 0, limits.max_body_bytes, "");
  command.hold_during_outage = reader.Boolean("hold_during_outage", false);
  command.first_attempt = reader.Boolean("first_attempt", false);
  if (const auto problem = reader.Finish()) {
    return *problem;
  }
  return RequireIdempotencyKey(std::move(command));
}

Answer<JobCommand> ParseJobCommand(const HttpRequest& request,
                                   const ApiLimits& limits,
                                   Instant now) {
  const auto body = ParseBody(request, limits);
  if (const auto* problem = std::get_if<Problem>(&body)) {
    return *problem;
  }
  auto key = ParseIdempotencyKey(request);
  if (const auto* problem = std::get_if<Problem>(&key)) {
    return *problem;
  }
  JsonReader reader(std::get<Json>(body));
  JobCommand command;
  command.idempotency_key = std::get<std::string>(std::move(key));
  command.actor = GetActor(request);
  command.account = AccountId(reader.Name("account", std::nullopt));
  command.work_class = reader.Value<PriorityClass>("class", std::nullopt);
  command.kind = reader.Name("kind", std::nullopt);
  ReadResources(reader, command);
  command.expected_run_ms = reader.Integer("expected_run_ms", 0, kMaxRunMs, 0);
  command.idempotent = reader.Boolean("idempotent", std::nullopt);
  command.preemption =
      reader.Value<Preemption>("preemption", Preemption::kNever);
  const auto deadline_ms =
      reader.Integer("deadline_ms", 0, kMaxJobDeadlineMs, 0);
  command.deadline =
      deadline_ms == 0 ? Instant::Never() : now.After(deadline_ms);
  command.payload = reader.String("payload", 0, limits.max_body_bytes, "");
  if (const auto problem = reader.Finish()) {
    return *problem;
  }
  if (const auto problem = CheckResources(command)) {
    return *problem;
  }
  return command;
}

Answer<PublishRulesCommand> ParsePublishRules(const HttpRequest& request,
                                              const ApiLimits& limits) {
  const auto body = ParseBody(request, limits);
  if (const auto* problem = std::get_if<Problem>(&body)) {
    return *problem;
  }
  JsonReader reader(std::get<Json>(body));
  PublishRulesCommand command;
  command.base_version = static_cast<std::uint64_t>(
      reader.Integer("base_version", 0, INT64_MAX, std::nullopt));
  command.author = reader.String("author", 1, kMaxAuthorLength, std::nullopt);
  command.text = reader.String("text", 0, limits.max_body_bytes, std::nullopt);
  if (const auto problem = reader.Finish()) {
    return *problem;
  }
  return command;
}

Answer<std::string> ParseRulesText(const HttpRequest& request,
                                   const ApiLimits& limits) {
  const auto body = ParseBody(request, limits);
  if (const auto* problem = std::get_if<Problem>(&body)) {
    return *problem;
  }
  JsonReader reader(std::get<Json>(body));
  auto text = reader.String("text", 0, limits.max_body_bytes, std::nullopt);
  if (const auto problem = reader.Finish()) {
    return *problem;
  }
  return text;
}

Answer<DrainCommand> ParseDrainCommand(const HttpRequest& request,
                                       const std::string& worker,
                                       bool drain,
                                       const ApiLimits& limits) {
  DrainCommand command;
  command.worker = WorkerId(worker);
  command.drain = drain;
  command.actor = GetActor(request);
  if (request.body.empty()) {
    return command;
  }
  const auto body = ParseBody(request, limits);
  if (const auto* problem = std::get_if<Problem>(&body)) {
    return *problem;
  }
  JsonReader reader(std::get<Json>(body));
  command.reason = reader.String("reason", 0, kMaxReasonLength, "");
  if (const auto problem = reader.Finish()) {
    return *problem;
  }
  return command;
}

Answer<CancelCommand> ParseCancelCommand(const HttpRequest& request,
                                         const std::string& job) {
  if (!request.body.empty()) {
    return Problem{ApiError::kUnknownField, "a cancellation has no body"};
  }
  return CancelCommand{JobId(job), GetActor(request)};
}

Answer<PageQuery> ParsePageQuery(const HttpRequest& request) {
  if (const auto problem = CheckQueryParameters(request, {"limit", "after"})) {
    return *problem;
  }
  return ReadPageQuery(request);
}

Answer<JobQuery> ParseJobQuery(const HttpRequest& request) {
  if (const auto problem = CheckQueryParameters(
          request, {"limit", "after", "account", "class", "state"})) {
    return *problem;
  }
  auto page = ReadPageQuery(request);
  if (const auto* problem = std::get_if<Problem>(&page)) {
    return *problem;
  }
  JobQuery query;
  query.page = std::get<PageQuery>(std::move(page));
  for (const auto& [name, value] : request.query) {
    if (name == "limit" || name == "after") {
      continue;
    }
    if (!IsValidName(value)) {
      return InvalidQuery("the query parameter '" + name + "' is not a name");
    }
    if (name == "account") {
      query.account = AccountId(value);
    } else if (name == "state") {
      query.state = value;
    } else {
      query.work_class = FindByName<PriorityClass>(value);
      if (!query.work_class.has_value()) {
        return InvalidQuery("class must be urgent, normal or batch");
      }
    }
  }
  return query;
}

std::string Render(const RequestResult& answer) {
  return Serialize({{"request", answer.request},
                    {"ran", NameOf(Ran::kYes)},
                    {"answer", answer.answer},
                    {"endpoint", answer.endpoint.value}});
}

std::string Render(const JobView& job) {
  return Serialize(ToJson(job));
}

std::string Render(const RulesView& rules) {
  return Serialize({{"version", rules.version},
                    {"author", rules.author},
                    {"published_at_ms", rules.published_at_ms},
                    {"text", rules.text}});
}

std::string Render(const RulesCheckView& check) {
  return Serialize({{"valid", check.valid},
                    {"version_in_force", check.version_in_force},
                    {"faults", RuleErrorsToJson(check.faults)},
                    {"diff", check.diff}});
}

std::string Render(const WorkerView& worker) {
  return Serialize(ToJson(worker));
}

std::string Render(const Page<JobView>& page) {
  return RenderPage("jobs", page);
}

std::string Render(const Page<RuleVersionView>& page) {
  return RenderPage("versions", page);
}

std::string Render(const Page<AccountView>& page) {
  return RenderPage("accounts", page);
}

std::string Render(const Page<WorkerView>& page) {
  return RenderPage("workers", page);
}

std::string Render(const Page<EndpointView>& page) {
  return RenderPage("endpoints", page);
}

std::string Render(const Page<InstanceView>& page) {
  return RenderPage("instances", page);
}

std::string Render(const Page<AuditView>& page) {
  return RenderPage("changes", page);
}

std::string Render(const Readiness& readiness) {
  return Serialize({{"status", readiness.ready ? "ready" : "not ready"},
                    {"reason", readiness.reason}});
}

std::string Render(const Problem& problem) {
  const ApiErrorInfo info = GetErrorInfo(problem.error);
  Json json = {
      {"type", "urn:carobrill:error:" + std::string(NameOf(problem.error))},
      {"title", info.title},
      {"status", info.status},
      {"detail", problem.detail},
      {"ran", NameOf(problem.EffectiveExecutionStatus())}};
  if (problem.error == ApiError::kRulesConflict) {
    json["version_in_force"] = problem.version_in_force;
    json["diff"] = problem.diff;
  }
  if (!problem.faults.empty()) {
    json["faults"] = RuleErrorsToJson(problem.faults);
  }
  return Serialize(json);
}

http::HttpResponse MakeErrorResponse(const Problem& problem) {
  http::HttpResponse response;
  response.status = GetErrorInfo(problem.error).status;
  response.content_type = "application/problem+json";
  response.body = Render(problem);
  if (problem.error == ApiError::kDraining) {
    response.headers["Connection"] = "close";
  }
  return response;
}

}  // namespace carobrill::daemon
