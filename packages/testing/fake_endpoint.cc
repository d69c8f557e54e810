#include "packages/testing/fake_endpoint.h"

#include <algorithm>
#include <utility>

namespace carobrill::testing {
namespace {

http::HttpResponse Reply(int status, const nlohmann::json& body) {
  return {status, body.dump(), "application/json", {}};
}

}  // namespace

FakeEndpoint::FakeEndpoint(std::int64_t slots)
    : slots(slots),
      control({{"run_ms", -1},
               {"late_ms", 0},
               {"fail", false},
               {"truncate", false},
               {"cross", false},
               {"hang", false},
               {"leaving", false}}) {}

void FakeEndpoint::Handle(const http::HttpRequest& request,
                          const http::HttpResponder& respond) {
  this->task.Post(
      [this, request, respond] { this->HandleOnTask(request, respond); });
}

void FakeEndpoint::HandleOnTask(const http::HttpRequest& request,
                                const http::HttpResponder& respond) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (request.path == "/stats") {
    respond(Reply(200, this->Stats()));
  } else if (request.path == "/control" && body.is_object()) {
    this->control.update(body);
    respond(Reply(200, this->control));
    this->RunNext();
  } else if (request.path == "/v1/health") {
    respond(Reply(this->control["leaving"].get<bool>() ? 503 : 200, {}));
  } else if (request.path == "/v1/execute" && body.is_object()) {
    this->waiting.push_back(
        Attempt{body.value("attempt", ""), body.value("payload", ""),
                body.value("run_ms", std::int64_t{0}), respond});
    this->RunNext();
  } else {
    respond(Reply(404, {}));
  }
}

// The slots are those of the endpoint; whoever sends more has to wait.
void FakeEndpoint::RunNext() {
  while (!this->waiting.empty() && this->running < this->slots &&
         !this->control["hang"].get<bool>()) {
    Attempt attempt = std::move(this->waiting.front());
    this->waiting.pop_front();
    ++this->running;
    ++this->runs[attempt.payload];
    const auto fixed_ms = this->control["run_ms"].get<std::int64_t>();
    const auto run_ms = fixed_ms >= 0 ? fixed_ms : attempt.run_ms;
    this->task.PostAt(BootClock{}.Now().After(run_ms),
                      [this, attempt] { this->Finish(attempt); });
  }
  const auto queued = static_cast<std::int64_t>(this->waiting.size());
  this->peak = std::max(this->peak, this->running);
  this->peak_waiting = std::max(this->peak_waiting, queued);
}

void FakeEndpoint::Finish(const Attempt& attempt) {
  --this->running;
  this->RunNext();
  if (!this->control["cross"].get<bool>()) {
    this->Send(attempt, attempt);
  } else if (!this->crossed.has_value()) {
    this->crossed = attempt;
  } else {
    this->Send(attempt, *this->crossed);
    this->Send(*this->crossed, attempt);
    this->crossed.reset();
  }
}

void FakeEndpoint::Send(const Attempt& attempt, const Attempt& content) {
  auto response =
      this->control["fail"].get<bool>()
          ? Reply(500, {})
          : Reply(200, {{"attempt", content.attempt},
                        {"answer", "answer to " + content.payload}});
  if (this->control["truncate"].get<bool>()) {
    response.body.resize(response.body.size() / 2);
  }
  const auto late_ms = this->control["late_ms"].get<std::int64_t>();
  this->task.PostAt(
      BootClock{}.Now().After(late_ms),
      [respond = attempt.respond, response] { respond(response); });
}

nlohmann::json FakeEndpoint::Stats() const {
  return {{"runs", this->runs},
          {"running", this->running},
          {"waiting", this->waiting.size()},
          {"peak_running", this->peak},
          {"peak_waiting", this->peak_waiting}};
}

}  // namespace carobrill::testing
