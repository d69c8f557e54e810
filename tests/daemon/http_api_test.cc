#include "packages/daemon/http_api.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "packages/http/http_client.h"
#include "packages/http/http_server.h"
#include "tests/daemon/fake_backend.h"

namespace carobrill::daemon {
namespace {

using http::HttpRequest;
using http::HttpResponse;
using nlohmann::json;

const std::string kRequestBody =
    R"({"account":"acme","class":"urgent","idempotent":true,"deadline_ms":500,)"
    R"("kind":"check","expected_run_ms":20,"payload":"p",)"
    R"("hold_during_outage":false})";
const std::string kJobBody =
    R"({"account":"acme","class":"batch","kind":"train","members":4,)"
    R"("accelerators":8,"cores":2.5,"memory_mb":1024,"adjacent":"rack",)"
    R"("expected_run_ms":60000,"idempotent":false,"preemption":"checkpoint",)"
    R"("deadline_ms":0,"payload":"p"})";
const std::string kRulesBody =
    R"({"base_version":0,"author":"A. Mensah","text":"account a"})";

struct Harness {
  FakeBackend backend;
  MetricsRegistry metrics;
  HttpApi<FakeBackend> api{backend, metrics, ApiLimits{64 * 1024, 30'000},
                           "e1"};
  std::vector<HttpResponse> responses;

  // Destroys open exchanges first, because they use the metrics.
  ~Harness() { this->backend.requests.clear(); }

  void Call(const std::string& method,
            const std::string& path,
            const std::string& body = "",
            std::map<std::string, std::string> headers = {},
            std::map<std::string, std::string> query = {}) {
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = std::move(headers);
    request.query = std::move(query);
    this->api.Handle(request, [this](HttpResponse response) {
      this->responses.push_back(std::move(response));
    });
  }

  HttpResponse CallNow(const std::string& method,
                       const std::string& path,
                       const std::string& body = "",
                       std::map<std::string, std::string> headers = {},
                       std::map<std::string, std::string> query = {}) {
    this->responses.clear();
    this->Call(method, path, body, std::move(headers), std::move(query));
    REQUIRE(this->responses.size() == 1);
    return this->responses.front();
  }
};

void CheckProblem(const HttpResponse& response,
                  ApiError error,
                  Ran ran = Ran::kNo) {
  CHECK(response.content_type == "application/problem+json");
  CHECK(response.status == GetErrorInfo(error).status);
  const auto body = json::parse(response.body);
  CHECK(body["type"] == "urn:carobrill:error:" + std::string(NameOf(error)));
  CHECK(body["status"] == response.status);
  CHECK(body["ran"] == NameOf(ran));
}

TEST_CASE("a request is converted to a command and its answer returned") {
  // Guards against body fields that are assigned to the wrong member.
  Harness harness;
  const auto before = BootClock{}.Now();
  harness.Call("POST", "/v1/services/checks/requests", kRequestBody,
               {{"idempotency-key", "k1"}, {"x-request-id", "caller-7"}});
  REQUIRE(harness.backend.requests.size() == 1);
  auto& [command, reply] = harness.backend.requests[0];
  CHECK(command.request == "e1-1");
  CHECK(command.idempotency_key == "k1");
  CHECK(command.service.value == "checks");
  CHECK(command.account.value == "acme");
  CHECK(command.work_class == PriorityClass::kUrgent);
  CHECK(command.idempotent);
  CHECK(command.kind == "check");
  CHECK(command.expected_run_ms == 20);
  CHECK(command.payload == "p");
  CHECK(command.deadline >= before.After(500));
  CHECK(command.deadline <= BootClock{}.Now().After(500));
  CHECK(harness.api.InProgress() == 1);
  reply(RequestResult{command.request, "done", EndpointId("ep")});
  REQUIRE(harness.responses.size() == 1);
  CHECK(harness.responses[0].status == 200);
  CHECK(harness.responses[0].headers.at("X-Request-Id") == "caller-7");
  const auto body = json::parse(harness.responses[0].body);
  CHECK(body["request"] == "e1-1");
  CHECK(body["ran"] == "yes");
  CHECK(body["answer"] == "done");
  CHECK(harness.api.InProgress() == 0);
}

TEST_CASE("a job submission is converted to a command") {
  // Guards against resource amounts in the wrong unit.
  Harness harness;
  const auto response =
      harness.CallNow("POST", "/v1/jobs", kJobBody, {{"x-actor", "op\n1"}});
  CHECK(response.status == 201);
  CHECK(json::parse(response.body)["job"] == "job-1");
  const auto& job = harness.backend.jobs.at(0);
  CHECK(job.work_class == PriorityClass::kBatch);
  CHECK(job.members == 4);
  CHECK(job.accelerators == 8);
  CHECK(job.cores_milli == 2500);
  CHECK(job.memory_mb == 1024);
  CHECK(job.adjacency == Adjacency::kRack);
  CHECK(job.preemption == Preemption::kCheckpoint);
  CHECK_FALSE(job.idempotent);
  CHECK(job.deadline == Instant::Never());
  CHECK(job.actor == "op?1");
}

TEST_CASE("invalid bodies are rejected with a typed error") {
  // Guards against running work that differs from what the client requested.
  Harness harness;
  const auto check_rejected = [&](const std::string& from,
                                  const std::string& to, ApiError error) {
    std::string body = kJobBody;
    body.replace(body.find(from), from.size(), to);
    INFO(body);
    CheckProblem(harness.CallNow("POST", "/v1/jobs", body), error);
  };
  check_rejected("\"account\":\"acme\",", "", ApiError::kMissingField);
  check_rejected("\"idempotent\":false,", "", ApiError::kMissingField);
  check_rejected("\"kind\"", "\"color\":1,\"kind\"", ApiError::kUnknownField);
  check_rejected("\"kind\"", "\"members\":4,\"kind\"",
                 ApiError::kMalformedJson);
  check_rejected("\"members\":4", "\"members\":65", ApiError::kInvalidField);
  check_rejected("\"members\":4", "\"members\":4.0", ApiError::kInvalidField);
  check_rejected("\"members\":4", "\"members\":18446744073709551615",
                 ApiError::kInvalidField);
  check_rejected("\"accelerators\":8", "\"accelerators\":3",
                 ApiError::kInvalidField);
  check_rejected("2.5", "-1", ApiError::kInvalidField);
  check_rejected("2.5", "1e999", ApiError::kMalformedJson);
  check_rejected("\"rack\"", "\"row\"", ApiError::kInvalidField);
  check_rejected("\"acme\"", "\"a/b\"", ApiError::kInvalidField);
  check_rejected("\"p\"", "[[[[[[[[[1]]]]]]]]]", ApiError::kMalformedJson);
  check_rejected("}", "", ApiError::kMalformedJson);
  check_rejected("}", "} {}", ApiError::kMalformedJson);
  CheckProblem(harness.CallNow("POST", "/v1/jobs", "[]"),
               ApiError::kMalformedJson);
  CheckProblem(harness.CallNow("POST", "/v1/jobs", kJobBody,
                               {{"content-type", "text/plain"}}),
               ApiError::kUnsupportedMediaType);
  CheckProblem(harness.CallNow("POST", "/v1/jobs", std::string(70'000, ' ')),
               ApiError::kBodyTooLarge);
  CHECK(harness.backend.jobs.empty());
}

TEST_CASE("Idempotency-Key is validated and required if not idempotent") {
  // Guards against a request that may run twice because it has no valid key.
  Harness harness;
  std::string body = kRequestBody;
  body.replace(body.find("true"), 4, "false");
  const std::string path = "/v1/services/checks/requests";
  CheckProblem(harness.CallNow("POST", path, body),
               ApiError::kIdempotencyKeyRequired);
  for (const std::string key : {"", "a b", "\x80", "a\tb"}) {
    CheckProblem(
        harness.CallNow("POST", path, body, {{"idempotency-key", key}}),
        ApiError::kInvalidIdempotencyKey);
  }
  CheckProblem(harness.CallNow("POST", path, body,
                               {{"idempotency-key", std::string(129, 'a')}}),
               ApiError::kInvalidIdempotencyKey);
  CHECK(harness.backend.requests.empty());
  harness.Call("POST", path, body, {{"idempotency-key", "k"}});
  CHECK(harness.backend.requests.size() == 1);
}

TEST_CASE("paths, methods and names are checked") {
  // Guards against calls that are routed to the wrong operation.
  Harness harness;
  CheckProblem(harness.CallNow("GET", "/v1/nothing"), ApiError::kNotFound);
  CheckProblem(harness.CallNow("GET", "/v1/jobs/"), ApiError::kInvalidField);
  CheckProblem(harness.CallNow("GET", "/v1/jobs/a/b"), ApiError::kNotFound);
  CheckProblem(harness.CallNow("GET", "/v1/jobs/a b"), ApiError::kInvalidField);
  CheckProblem(harness.CallNow("PUT", "/v1/jobs"), ApiError::kMethodNotAllowed);
  CheckProblem(harness.CallNow("GET", ""), ApiError::kNotFound);
  CheckProblem(harness.CallNow("DELETE", "/v1/jobs/j"), ApiError::kUnknownJob);
  CHECK(harness.CallNow("GET", "/v1/jobs/j-1").status == 200);
  const auto drained = harness.CallNow("POST", "/v1/workers/w1/drain");
  CHECK(json::parse(drained.body)["state"] == "draining");
  const auto undrained = harness.CallNow("POST", "/v1/workers/w1/undrain",
                                         R"({"reason":"repaired"})");
  CHECK(json::parse(undrained.body)["state"] == "ready");
}

TEST_CASE("lists are paged and filtered") {
  // Guards against a list that is truncated without a cursor to the rest.
  Harness harness;
  harness.backend.next_page = "next";
  const auto response = harness.CallNow("GET", "/v1/jobs", "", {},
                                        {{"limit", "10"},
                                         {"after", "c"},
                                         {"account", "acme"},
                                         {"class", "batch"}});
  CHECK(json::parse(response.body)["next"] == "next");
  CHECK(harness.backend.last_query.page.limit == 10);
  CHECK(harness.backend.last_query.page.after == "c");
  CHECK(harness.backend.last_query.account.value == "acme");
  CHECK(harness.backend.last_query.work_class == PriorityClass::kBatch);
  for (const std::string limit : {"0", "1001", "x", "-1", "", "99999999999"}) {
    CheckProblem(
        harness.CallNow("GET", "/v1/workers", "", {}, {{"limit", limit}}),
        ApiError::kInvalidQuery);
  }
  CheckProblem(harness.CallNow("GET", "/v1/jobs", "", {}, {{"foo", "1"}}),
               ApiError::kInvalidQuery);
  for (const std::string name :
       {"accounts", "workers", "endpoints", "instances", "audit"}) {
    CHECK(harness.CallNow("GET", "/v1/" + name).status == 200);
  }
}

TEST_CASE("a rules conflict includes the diff to the active version") {
  // Guards against a conflict that hides what was published in the meantime.
  Harness harness;
  CHECK(harness.CallNow("POST", "/v1/rules", kRulesBody).status == 200);
  std::string body = kRulesBody;
  body.replace(body.find(":0"), 2, ":3");
  const auto response = harness.CallNow("POST", "/v1/rules", body);
  CheckProblem(response, ApiError::kRulesConflict);
  CHECK(json::parse(response.body)["version_in_force"] == 7);
  CHECK(json::parse(response.body)["diff"] == "+a");
}

TEST_CASE(
    "an instance without state serves only health, metrics and instances") {
  // Guards against answers from incomplete state.
  Harness harness;
  harness.backend.readiness = {false, "the log is being read"};
  CheckProblem(harness.CallNow("GET", "/readyz"), ApiError::kNotReady);
  CheckProblem(harness.CallNow("GET", "/v1/jobs"), ApiError::kNotReady);
  CheckProblem(harness.CallNow("POST", "/v1/jobs", kJobBody),
               ApiError::kNotReady);
  CHECK(harness.CallNow("GET", "/healthz").status == 200);
  CHECK(harness.CallNow("GET", "/metrics").status == 200);
  CHECK(harness.CallNow("GET", "/v1/instances").status == 200);
}

TEST_CASE("draining rejects new work and waits for work in progress") {
  // Guards against a shutdown that interrupts a request.
  Harness harness;
  const std::string path = "/v1/services/checks/requests";
  harness.Call("POST", path, kRequestBody);
  int drained = 0;
  harness.api.BeginDrain([&] { ++drained; });
  CHECK(drained == 0);
  CheckProblem(harness.CallNow("GET", "/readyz"), ApiError::kDraining);
  const auto refused = harness.CallNow("POST", path, kRequestBody);
  CheckProblem(refused, ApiError::kDraining);
  CHECK(refused.headers.at("Connection") == "close");
  CHECK(harness.CallNow("GET", "/v1/jobs").status == 200);
  CHECK(drained == 0);
  auto& open = harness.backend.requests.at(0);
  harness.responses.clear();
  open.reply(RequestResult{open.command.request, "done", {}});
  CHECK(harness.responses.at(0).status == 200);
  CHECK(drained == 1);
  CHECK(harness.CallNow("GET", "/healthz").status == 200);
  CHECK(drained == 1);
}

TEST_CASE("holds.not_run_is_true: a rejected call with a key may have run") {
  // Guards against reporting "not run" for the retry of a call that another
  // entry has executed.
  const Readiness ready{true, ""};
  const Readiness not_ready{false, "recovering"};
  const auto ran = [](const std::optional<Problem>& problem) {
    return problem.value().EffectiveExecutionStatus();
  };
  const auto route = ApiRoute::kExecuteRequest;
  CHECK(ran(detail::CheckAdmission(route, ready, true, true)) == Ran::kUnknown);
  CHECK(ran(detail::CheckAdmission(route, not_ready, false, true)) ==
        Ran::kUnknown);
  CHECK(ran(detail::CheckAdmission(route, ready, true, false)) == Ran::kNo);
  CHECK_FALSE(detail::CheckAdmission(route, ready, false, true).has_value());
  http::HttpRequest request;
  CHECK_FALSE(detail::MayBeRetry(request));
  request.headers["idempotency-key"] = "k";
  request.body = R"({"first_attempt":false})";
  CHECK(detail::MayBeRetry(request));
  request.body = "no JSON";
  CHECK(detail::MayBeRetry(request));
  request.body = R"({"first_attempt":true})";
  CHECK_FALSE(detail::MayBeRetry(request));
}

TEST_CASE("an exchange sends exactly one response, whatever the backend does") {
  // Guards against clients that wait forever and responses that are sent twice.
  Harness harness;
  const std::string path = "/v1/services/checks/requests";
  harness.Call("POST", path, kRequestBody);
  harness.Call("POST", path, kRequestBody);
  harness.Call("POST", path, kRequestBody);
  auto& requests = harness.backend.requests;
  const RequestResult answer{requests[0].command.request, "a", {}};
  requests[0].reply(answer);
  requests[0].reply(answer);
  CHECK(harness.responses.size() == 1);
  requests[1].reply(answer);
  REQUIRE(harness.responses.size() == 2);
  CheckProblem(harness.responses[1], ApiError::kInternal, Ran::kUnknown);
  requests[2].reply = nullptr;
  REQUIRE(harness.responses.size() == 3);
  CheckProblem(harness.responses[2], ApiError::kInternal, Ran::kUnknown);
  CHECK(harness.api.InProgress() == 0);
}

TEST_CASE("every error has a name, a status and a title") {
  // Guards against an error that is added without its entry in the tables.
  std::set<std::string_view> titles;
  for (const auto& [error, name] : NamesOf(ApiError{}).entries) {
    const auto info = GetErrorInfo(error);
    CHECK(info.status >= 400);
    CHECK(titles.insert(info.title).second);
    CHECK((error == ApiError::kInternal) == (info.status == 500));
  }
}

std::string MutatedBody(std::string body) {
  const auto edits = *rc::gen::inRange(1, 5);
  for (int i = 0; i < edits && !body.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        body[at] = static_cast<char>(*rc::gen::inRange(0, 256));
        break;
      case 1:
        body.erase(at, *rc::gen::inRange<std::size_t>(1, 12));
        break;
      case 2:
        body.insert(at, *rc::gen::element<std::string>(
                            "{", "}", "[", "]", "\"", ",", ":", "null", "1e400",
                            "-1", "\\u0000", "\\ud800", "99999999999999999999",
                            std::string(1, '\0'), "{\"a\":{\"a\":1}}"));
        break;
      default:
        body.insert(
            at,
            body.substr(*rc::gen::inRange<std::size_t>(0, body.size()), 25));
        break;
    }
  }
  return body;
}

TEST_CASE("random and mutated bodies are accepted or rejected, never crash") {
  // Guards against crashes and 5xx responses caused by a client, and against
  // rejections that do not state whether the work ran.
  CHECK(rc::check([] {
    Harness harness;
    const auto [path, base] = *rc::gen::element(
        std::pair<std::string, std::string>{"/v1/jobs", kJobBody},
        std::pair<std::string, std::string>{"/v1/services/s/requests",
                                            kRequestBody},
        std::pair<std::string, std::string>{"/v1/rules", kRulesBody},
        std::pair<std::string, std::string>{"/v1/rules/check", kRulesBody},
        std::pair<std::string, std::string>{"/v1/workers/w/drain",
                                            R"({"reason":"r"})"});
    const auto body = *rc::gen::inRange(0, 10) == 0
                          ? *rc::gen::arbitrary<std::string>()
                          : MutatedBody(base);
    harness.Call("POST", path, body);
    if (harness.responses.empty()) {
      RC_ASSERT(harness.backend.requests.size() == 1U);
      return;
    }
    const auto& response = harness.responses.at(0);
    RC_ASSERT(response.status < 500);
    const auto answer = json::parse(response.body);
    if (response.status >= 400) {
      RC_ASSERT(answer["ran"] == "no");
      RC_ASSERT(answer["type"].get<std::string>().starts_with(
          "urn:carobrill:error:"));
    }
  }));
}

TEST_CASE(
    "holds.own_answer: concurrent callers get the answers to their own "
    "requests") {
  // Guards against answers that are sent on the wrong connection when the
  // backend replies out of order and from another thread.
  constexpr int kCallers = 120;
  FakeBackend backend;
  MetricsRegistry metrics;
  HttpApi<FakeBackend> api(backend, metrics, ApiLimits{}, "e1");
  Task server_task("server");
  Task client_task("client");
  http::HttpServer server(server_task, [&](const HttpRequest& request,
                                           http::HttpResponder respond) {
    api.Handle(request, std::move(respond));
  });
  const auto port = server.Listen("127.0.0.1", 0);
  REQUIRE(port.has_value());
  http::HttpClient client(client_task);
  std::vector<std::string> answers(kCallers);
  std::atomic<int> answered = 0;
  for (int i = 0; i < kCallers; ++i) {
    http::HttpClientRequest call;
    call.method = "POST";
    call.url =
        "http://127.0.0.1:" + std::to_string(*port) + "/v1/services/s/requests";
    call.body = json{{"account", "a"},
                     {"class", "normal"},
                     {"idempotent", true},
                     {"kind", "k"},
                     {"payload", std::to_string(i)}}
                    .dump();
    call.deadline = BootClock{}.Now().After(20'000);
    client.Send(call, [&, i](http::HttpClientResult reply) {
      const auto body = json::parse(reply.body, nullptr, false);
      // An error is recorded in place of the answer, so that the failed check
      // prints it.
      answers[i] = body.is_object() && body.contains("answer")
                       ? body.value("answer", "")
                       : std::string(NameOf(reply.failure)) + " " +
                             std::to_string(reply.status) + " " + reply.body;
      ++answered;
    });
  }
  const auto give_up = BootClock{}.Now().After(20'000);
  std::mt19937 random(7);
  while (answered < kCallers && BootClock{}.Now() < give_up) {
    std::vector<FakeBackend::OpenRequest> open;
    server_task.Run([&] { open.swap(backend.requests); });
    std::shuffle(open.begin(), open.end(), random);
    for (auto& request : open) {
      request.reply(RequestResult{
          request.command.request, "to " + request.command.payload, {}});
    }
  }
  CHECK(answered == kCallers);
  for (int i = 0; i < kCallers; ++i) {
    CHECK(answers[i] == "to " + std::to_string(i));
  }
}

}  // namespace
}  // namespace carobrill::daemon
