#include "packages/cli/job_commands.h"

#include <glib.h>

#include <charconv>
#include <cstdio>
#include <optional>
#include <utility>

#include "packages/cli/output.h"
#include "packages/core/time.h"

namespace carobrill::cli {
namespace {

using nlohmann::json;

constexpr std::int64_t kMaxDurationMs = 365LL * 24 * 3600 * 1000;
constexpr std::int64_t kMaxCount = 1'000'000'000;
constexpr std::int64_t kMaxWaitSeconds = 365LL * 24 * 3600;
constexpr std::int64_t kMsPerSecond = 1000;
constexpr unsigned long kPollIntervalUs = 500'000;

boost::leaf::error_id UsageError(const std::string& message) {
  return Fail(CliError{CliExit::kUsage, message});
}

void AddText(const CommandLine& line,
             const char* option,
             const char* field,
             json& body) {
  if (const auto value = line.Value(option)) {
    body[field] = *value;
  }
}

Result<void> AddInteger(const CommandLine& line,
                        const char* option,
                        const char* field,
                        std::int64_t max,
                        json& body) {
  BOOST_LEAF_AUTO(value, line.Integer(option, 0, max));
  if (value.has_value()) {
    body[field] = *value;
  }
  return {};
}

Result<void> AddCores(const CommandLine& line, json& body) {
  const auto text = line.Value("cores");
  if (!text.has_value()) {
    return {};
  }
  double cores = 0;
  const char* end = text->data() + text->size();
  const auto result = std::from_chars(text->data(), end, cores);
  if (result.ec != std::errc() || result.ptr != end || !(cores >= 0)) {
    return UsageError("--cores must be a number of at least 0");
  }
  body["cores"] = cores;
  return {};
}

Result<void> AddPayload(const CommandLine& line, json& body) {
  if (line.Has("payload") && line.Has("payload-file")) {
    return UsageError("--payload and --payload-file exclude each other");
  }
  AddText(line, "payload", "payload", body);
  if (const auto path = line.Value("payload-file")) {
    BOOST_LEAF_AUTO(text, ReadFile(*path));
    body["payload"] = std::move(text);
  }
  return {};
}

/// Adds the fields common to jobs and requests.
Result<void> AddWorkFields(const CommandLine& line, json& body) {
  AddText(line, "account", "account", body);
  AddText(line, "class", "class", body);
  AddText(line, "kind", "kind", body);
  BOOST_LEAF_CHECK(AddInteger(line, "expected-run-ms", "expected_run_ms",
                              kMaxDurationMs, body));
  BOOST_LEAF_CHECK(
      AddInteger(line, "deadline-ms", "deadline_ms", kMaxDurationMs, body));
  BOOST_LEAF_CHECK(AddPayload(line, body));
  if (line.Has("idempotent")) {
    body["idempotent"] = true;
  }
  // Work that is not declared idempotent runs at most once.
  if (!body.contains("idempotent")) {
    body["idempotent"] = false;
  }
  for (const char* required : {"account", "class", "kind"}) {
    if (!body.contains(required)) {
      return UsageError(std::string("--") + required + " is missing");
    }
  }
  return {};
}

Result<std::string> Serialize(const json& body) {
  // A payload file may contain bytes that are not valid UTF-8.
  try {
    return body.dump();
  } catch (const json::type_error&) {
    return Fail(CliError{CliExit::kInput, "the payload is not valid UTF-8"});
  }
}

std::string IdempotencyKeyFor(const CommandLine& line) {
  const auto key = line.Value("key");
  return key.has_value() ? *key : NewIdempotencyKey();
}

/// Sends a request with an idempotency key. When the outcome is unknown, the
/// error message tells how to repeat the command with the same key.
Result<json> CallWithIdempotencyKey(const CommandContext& context,
                                    const ApiRequest& request,
                                    const std::string& key) {
  CliError failure;
  auto answer =
      ValueOr<CliError>([&] { return context.api.Call(request); },
                        [&](const CliError& error) { failure = error; });
  if (answer.has_value()) {
    return std::move(*answer);
  }
  if (failure.exit == CliExit::kOutcomeUnknown) {
    failure.message +=
        "\nrepeat the same command with --key " + key + " to learn the outcome";
  }
  return Fail(std::move(failure));
}

ApiRequest MakePostRequest(const std::string& path,
                           std::string body,
                           const std::string& key) {
  ApiRequest request;
  request.method = "POST";
  request.path = path;
  request.body = std::move(body);
  request.headers = {{"Idempotency-Key", key}, {"X-Actor", UserName()}};
  // The idempotency key makes retries safe.
  request.retry_policy = RetryPolicy::kAlways;
  request.mutating = true;
  return request;
}

Result<json> GetJob(const CommandContext& context, const std::string& job) {
  ApiRequest request;
  request.path = "/v1/jobs/" + PercentEncode(job);
  return context.api.Call(request);
}

bool HasEnded(const json& job) {
  const auto ended = job.find("ended_at_ms");
  return ended != job.end() && ended->is_number_integer() && *ended != 0;
}

CliExit ExitCodeForJob(const json& job) {
  const std::string state = FormatField(job, "state");
  if (state == "succeeded") {
    return CliExit::kOk;
  }
  return state == "outcome_unknown" ? CliExit::kOutcomeUnknown
                                    : CliExit::kFailed;
}

Result<CliExit> WaitUntilEnded(const CommandContext& context, json job) {
  BOOST_LEAF_AUTO(limit_s,
                  context.line.Integer("wait-limit-s", 0, kMaxWaitSeconds));
  const Instant limit = limit_s.has_value()
                            ? BootClock{}.Now().After(*limit_s * kMsPerSecond)
                            : Instant::Never();
  const std::string id = FormatField(job, "job");
  {
    Progress progress;
    while (!HasEnded(job) && BootClock{}.Now() < limit) {
      progress.Show(DescribeJob(job));
      g_usleep(kPollIntervalUs);
      BOOST_LEAF_ASSIGN(job, GetJob(context, id));
    }
  }
  context.Print(job, DescribeJob(job) + "\n");
  return HasEnded(job) ? ExitCodeForJob(job) : CliExit::kWaitLimit;
}

}  // namespace

std::string DescribeJob(const json& job) {
  const std::string state = FormatField(job, "state");
  std::string text =
      "job " + FormatField(job, "job") + " of " + FormatField(job, "account");
  if (state == "queued") {
    const std::string position = FormatField(job, "queue_position");
    const std::string waiting_reason = FormatField(job, "waiting_reason");
    text += " is queued";
    text += position == "-" || position == "0" ? "" : " at place " + position;
    return text + ": " +
           (waiting_reason == "-" ? "it waits for the next run of the planner"
                                  : waiting_reason);
  }
  text += " is " + state;
  const std::string workers = FormatField(job, "workers");
  const std::string reason = FormatField(job, "reason");
  text += workers == "-" ? "" : " on " + workers;
  text += reason == "-" ? "" : ": " + reason;
  return text;
}

Result<json> BuildJobBody(const CommandLine& line) {
  json body = json::object();
  if (const auto path = line.Value("file")) {
    BOOST_LEAF_AUTO(text, ReadFile(*path));
    body = json::parse(text, nullptr, false, /*ignore_comments=*/true);
    if (!body.is_object()) {
      return Fail(
          CliError{CliExit::kInput,
                   *path + ": the file does not contain a JSON object"});
    }
  }
  BOOST_LEAF_CHECK(AddWorkFields(line, body));
  BOOST_LEAF_CHECK(AddInteger(line, "members", "members", kMaxCount, body));
  BOOST_LEAF_CHECK(
      AddInteger(line, "accelerators", "accelerators", kMaxCount, body));
  BOOST_LEAF_CHECK(AddInteger(line, "memory-mb", "memory_mb", kMaxCount, body));
  BOOST_LEAF_CHECK(AddCores(line, body));
  AddText(line, "adjacent", "adjacent", body);
  AddText(line, "preemption", "preemption", body);
  return body;
}

Result<CliExit> Submit(const CommandContext& context) {
  BOOST_LEAF_AUTO(body, BuildJobBody(context.line));
  BOOST_LEAF_AUTO(text, Serialize(body));
  const std::string key = IdempotencyKeyFor(context.line);
  BOOST_LEAF_AUTO(
      job,
      CallWithIdempotencyKey(
          context, MakePostRequest("/v1/jobs", std::move(text), key), key));
  if (context.line.Has("wait")) {
    return WaitUntilEnded(context, std::move(job));
  }
  context.Print(job, DescribeJob(job) + "\n");
  return CliExit::kOk;
}

Result<CliExit> ShowStatus(const CommandContext& context) {
  BOOST_LEAF_AUTO(job, GetJob(context, context.line.argument));
  std::string text = DescribeJob(job) + "\n";
  for (const char* field : {"class", "kind", "attempt", "members",
                            "accelerators", "borrowed", "idempotent"}) {
    text += "  " + std::string(field) + ": " + FormatField(job, field) + "\n";
  }
  for (const char* field :
       {"submitted_at_ms", "started_at_ms", "ended_at_ms"}) {
    const std::string name(field);
    text += "  " + name.substr(0, name.find("_at_ms")) + ": " +
            FormatField(job, field, FieldFormat::kTime) + "\n";
  }
  context.Print(job, text);
  return CliExit::kOk;
}

Result<CliExit> CancelJob(const CommandContext& context) {
  ApiRequest request;
  request.method = "DELETE";
  request.path = "/v1/jobs/" + PercentEncode(context.line.argument);
  request.headers = {{"X-Actor", UserName()}};
  request.mutating = true;
  BOOST_LEAF_AUTO(job, context.api.Call(request));
  context.Print(job, DescribeJob(job) + "\n");
  return CliExit::kOk;
}

Result<CliExit> SendRequest(const CommandContext& context) {
  json body = json::object();
  BOOST_LEAF_CHECK(AddWorkFields(context.line, body));
  if (context.line.Has("hold-during-outage")) {
    body["hold_during_outage"] = true;
  }
  // A key generated by this process cannot have been used before.
  body["first_attempt"] = !context.line.Has("key");
  BOOST_LEAF_AUTO(text, Serialize(body));
  const std::string key = IdempotencyKeyFor(context.line);
  const auto path =
      "/v1/services/" + PercentEncode(context.line.argument) + "/requests";
  BOOST_LEAF_AUTO(
      answer, CallWithIdempotencyKey(
                  context, MakePostRequest(path, std::move(text), key), key));
  const auto found = answer.find("answer");
  context.Print(answer, (found != answer.end() && found->is_string()
                             ? found->get<std::string>()
                             : std::string()) +
                            "\n");
  return CliExit::kOk;
}

Result<CliExit> SetDrain(const CommandContext& context, bool drain) {
  ApiRequest request;
  request.method = "POST";
  request.path = "/v1/workers/" + PercentEncode(context.line.argument) +
                 (drain ? "/drain" : "/undrain");
  request.headers = {{"X-Actor", UserName()}};
  request.mutating = true;
  if (const auto reason = context.line.Value("reason")) {
    BOOST_LEAF_ASSIGN(request.body, Serialize(json{{"reason", *reason}}));
  }
  BOOST_LEAF_AUTO(worker, context.api.Call(request));
  context.Print(worker, "worker " + FormatField(worker, "worker") + " is " +
                            FormatField(worker, "state") + "\n");
  return CliExit::kOk;
}

}  // namespace carobrill::cli
