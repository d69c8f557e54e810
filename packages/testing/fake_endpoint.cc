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
      [this, request, respond] { this->HandleInTask(request, respond); });
}

void FakeEndpoint::HandleInTask(const http::HttpRequest& request,
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

// Attempts beyond the number of slots wait in a queue.
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
  this->peak_running = std::max(this->peak_running, this->running);
  this->peak_waiting = std::max(this->peak_waiting, queued);
}

void FakeEndpoint::Finish(const Attempt& attempt) {
  --this->running;
  this->RunNext();
  if (!this->control["cross"].get<bool>()) {
    this->Send(attempt, attempt);
  } else if (!this->swap_candidate.has_value()) {
    this->swap_candidate = attempt;
  } else {
    this->Send(attempt, *this->swap_candidate);
    this->Send(*this->swap_candidate, attempt);
    this->swap_candidate.reset();
  }
}

void FakeEndpoint::Send(const Attempt& attempt, const Attempt& answer_source) {
  auto response =
      this->control["fail"].get<bool>()
          ? Reply(500, {})
          : Reply(200, {{"attempt", answer_source.attempt},
                        {"answer", "answer to " + answer_source.payload}});
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
          {"peak_running", this->peak_running},
          {"peak_waiting", this->peak_waiting}};
}

}  // namespace carobrill::testing
