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

constexpr std::int64_t kMaxMs = 365LL * 24 * 3600 * 1000;
constexpr std::int64_t kMaxCount = 1'000'000'000;
constexpr std::int64_t kMaxWaitSeconds = 365LL * 24 * 3600;
constexpr std::int64_t kMsPerSecond = 1000;
constexpr unsigned long kPollMicros = 500'000;

boost::leaf::error_id Usage(const std::string& message) {
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
    return Usage("--cores must be a number of at least 0");
  }
  body["cores"] = cores;
  return {};
}

Result<void> AddPayload(const CommandLine& line, json& body) {
  if (line.Has("payload") && line.Has("payload-file")) {
    return Usage("--payload and --payload-file exclude each other");
  }
  AddText(line, "payload", "payload", body);
  if (const auto path = line.Value("payload-file")) {
    BOOST_LEAF_AUTO(text, ReadFile(*path));
    body["payload"] = std::move(text);
  }
  return {};
}

/// Fields that jobs and requests share.
Result<void> AddWorkFields(const CommandLine& line, json& body) {
  AddText(line, "account", "account", body);
  AddText(line, "class", "class", body);
  AddText(line, "kind", "kind", body);
  BOOST_LEAF_CHECK(
      AddInteger(line, "expected-run-ms", "expected_run_ms", kMaxMs, body));
  BOOST_LEAF_CHECK(
      AddInteger(line, "deadline-ms", "deadline_ms", kMaxMs, body));
  BOOST_LEAF_CHECK(AddPayload(line, body));
  if (line.Has("idempotent")) {
    body["idempotent"] = true;
  }
  // What nobody has called repeatable runs at most once.
  if (!body.contains("idempotent")) {
    body["idempotent"] = false;
  }
  for (const char* required : {"account", "class", "kind"}) {
    if (!body.contains(required)) {
      return Usage(std::string("--") + required + " is missing");
    }
  }
  return {};
}

Result<std::string> Serialized(const json& body) {
  // A payload file may hold bytes that JSON cannot carry.
  try {
    return body.dump();
  } catch (const json::type_error&) {
    return Fail(CliError{CliExit::kInput, "the payload is not valid UTF-8"});
  }
}

std::string KeyOf(const CommandLine& line) {
  const auto key = line.Value("key");
  return key.has_value() ? *key : NewKey();
}

/// Makes a call with a key; an error whose outcome is open says how to ask
/// again.
Result<json> CallWithKey(const Session& session,
                         const ApiCall& call,
                         const std::string& key) {
  CliError failure;
  auto answer =
      ValueOr<CliError>([&] { return session.caller.Call(call); },
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

ApiCall WorkCall(const std::string& path,
                 std::string body,
                 const std::string& key) {
  ApiCall call;
  call.method = "POST";
  call.path = path;
  call.body = std::move(body);
  call.headers = {{"Idempotency-Key", key}, {"X-Actor", UserName()}};
  // The key makes a repeat harmless.
  call.repeat = Repeat::kAlways;
  call.changes = true;
  return call;
}

Result<json> GetJob(const Session& session, const std::string& job) {
  ApiCall call;
  call.path = "/v1/jobs/" + QueryEscaped(job);
  return session.caller.Call(call);
}

bool HasEnded(const json& job) {
  const auto ended = job.find("ended_at_ms");
  return ended != job.end() && ended->is_number_integer() && *ended != 0;
}

CliExit ExitOfEnded(const json& job) {
  const std::string state = FieldText(job, "state");
  if (state == "succeeded") {
    return CliExit::kOk;
  }
  return state == "outcome_unknown" ? CliExit::kOutcomeUnknown
                                    : CliExit::kFailed;
}

Result<CliExit> WaitForEnd(const Session& session, json job) {
  BOOST_LEAF_AUTO(limit_s,
                  session.line.Integer("wait-limit-s", 0, kMaxWaitSeconds));
  const Instant limit = limit_s.has_value()
                            ? BootClock{}.Now().After(*limit_s * kMsPerSecond)
                            : Instant::Never();
  const std::string id = FieldText(job, "job");
  {
    Progress progress;
    while (!HasEnded(job) && BootClock{}.Now() < limit) {
      progress.Show(JobSentence(job));
      g_usleep(kPollMicros);
      BOOST_LEAF_ASSIGN(job, GetJob(session, id));
    }
  }
  session.Print(job, JobSentence(job) + "\n");
  return HasEnded(job) ? ExitOfEnded(job) : CliExit::kWaitLimit;
}

}  // namespace

std::string JobSentence(const json& job) {
  const std::string state = FieldText(job, "state");
  std::string text =
      "job " + FieldText(job, "job") + " of " + FieldText(job, "account");
  if (state == "queued") {
    const std::string place = FieldText(job, "queue_position");
    const std::string why = FieldText(job, "waiting_reason");
    text += " is queued";
    text += place == "-" || place == "0" ? "" : " at place " + place;
    return text + ": " +
           (why == "-" ? "it waits for the next run of the planner" : why);
  }
  text += " is " + state;
  const std::string workers = FieldText(job, "workers");
  const std::string reason = FieldText(job, "reason");
  text += workers == "-" ? "" : " on " + workers;
  text += reason == "-" ? "" : ": " + reason;
  return text;
}

Result<json> JobBody(const CommandLine& line) {
  json body = json::object();
  if (const auto path = line.Value("file")) {
    BOOST_LEAF_AUTO(text, ReadFile(*path));
    body = json::parse(text, nullptr, false, /*ignore_comments=*/true);
    if (!body.is_object()) {
      return Fail(
          CliError{CliExit::kInput, *path + ": the file holds no JSON object"});
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

Result<CliExit> Submit(const Session& session) {
  BOOST_LEAF_AUTO(body, JobBody(session.line));
  BOOST_LEAF_AUTO(text, Serialized(body));
  const std::string key = KeyOf(session.line);
  BOOST_LEAF_AUTO(
      job,
      CallWithKey(session, WorkCall("/v1/jobs", std::move(text), key), key));
  if (session.line.Has("wait")) {
    return WaitForEnd(session, std::move(job));
  }
  session.Print(job, JobSentence(job) + "\n");
  return CliExit::kOk;
}

Result<CliExit> ShowStatus(const Session& session) {
  BOOST_LEAF_AUTO(job, GetJob(session, session.line.argument));
  std::string text = JobSentence(job) + "\n";
  for (const char* field : {"class", "kind", "attempt", "members",
                            "accelerators", "borrowed", "idempotent"}) {
    text += "  " + std::string(field) + ": " + FieldText(job, field) + "\n";
  }
  for (const char* field :
       {"submitted_at_ms", "started_at_ms", "ended_at_ms"}) {
    const std::string name(field);
    text += "  " + name.substr(0, name.find("_at_ms")) + ": " +
            FieldText(job, field, FieldFormat::kTime) + "\n";
  }
  session.Print(job, text);
  return CliExit::kOk;
}

Result<CliExit> CancelJob(const Session& session) {
  ApiCall call;
  call.method = "DELETE";
  call.path = "/v1/jobs/" + QueryEscaped(session.line.argument);
  call.headers = {{"X-Actor", UserName()}};
  call.changes = true;
  BOOST_LEAF_AUTO(job, session.caller.Call(call));
  session.Print(job, JobSentence(job) + "\n");
  return CliExit::kOk;
}

Result<CliExit> SendRequest(const Session& session) {
  json body = json::object();
  BOOST_LEAF_CHECK(AddWorkFields(session.line, body));
  if (session.line.Has("hold-during-outage")) {
    body["hold_during_outage"] = true;
  }
  // A key that the client has just made is certainly new.
  body["first_attempt"] = !session.line.Has("key");
  BOOST_LEAF_AUTO(text, Serialized(body));
  const std::string key = KeyOf(session.line);
  const auto path =
      "/v1/services/" + QueryEscaped(session.line.argument) + "/requests";
  BOOST_LEAF_AUTO(
      answer, CallWithKey(session, WorkCall(path, std::move(text), key), key));
  const auto found = answer.find("answer");
  session.Print(answer, (found != answer.end() && found->is_string()
                             ? found->get<std::string>()
                             : std::string()) +
                            "\n");
  return CliExit::kOk;
}

Result<CliExit> SetDrain(const Session& session, bool drain) {
  ApiCall call;
  call.method = "POST";
  call.path = "/v1/workers/" + QueryEscaped(session.line.argument) +
              (drain ? "/drain" : "/undrain");
  call.headers = {{"X-Actor", UserName()}};
  call.changes = true;
  if (const auto reason = session.line.Value("reason")) {
    BOOST_LEAF_ASSIGN(call.body, Serialized(json{{"reason", *reason}}));
  }
  BOOST_LEAF_AUTO(worker, session.caller.Call(call));
  session.Print(worker, "worker " + FieldText(worker, "worker") + " is " +
                            FieldText(worker, "state") + "\n");
  return CliExit::kOk;
}

}  // namespace carobrill::cli
