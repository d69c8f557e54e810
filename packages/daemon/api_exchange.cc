#include "packages/daemon/api_exchange.h"

#include <utility>

#include "packages/core/log.h"
#include "packages/daemon/api_codec.h"

namespace carobrill::daemon {

void DrainGate::Enter() {
  const std::lock_guard lock(this->mutex);
  ++this->in_progress;
}

void DrainGate::Leave() {
  std::function<void()> callback;
  {
    const std::lock_guard lock(this->mutex);
    --this->in_progress;
    callback = this->TakeCallbackIfIdle();
  }
  if (callback) {
    callback();
  }
}

void DrainGate::BeginDrain(std::function<void()> drained) {
  std::function<void()> callback;
  {
    const std::lock_guard lock(this->mutex);
    this->draining.store(true);
    this->drained = std::move(drained);
    callback = this->TakeCallbackIfIdle();
  }
  if (callback) {
    callback();
  }
}

std::size_t DrainGate::InProgress() const {
  const std::lock_guard lock(this->mutex);
  return this->in_progress;
}

std::function<void()> DrainGate::TakeCallbackIfIdle() {
  if (!this->draining.load() || this->in_progress != 0) {
    return {};
  }
  return std::exchange(this->drained, {});
}

ApiExchange::ApiExchange(http::HttpResponder respond,
                         std::shared_ptr<DrainGate> gate,
                         std::shared_ptr<ApiMetrics> metrics,
                         ApiRoute route,
                         std::string caller_id)
    : respond(std::move(respond)),
      gate(std::move(gate)),
      metrics(std::move(metrics)),
      route(route),
      caller_id(std::move(caller_id)),
      started(BootClock{}.Now()) {
  this->gate->Enter();
}

ApiExchange::~ApiExchange() {
  if (this->answered.load()) {
    return;
  }
  Log(LogLevel::kError, "a request was dropped without an answer",
      {{"route", std::string(NameOf(this->route))}});
  this->Send(Problem{ApiError::kInternal, "the request was dropped"});
}

void ApiExchange::Send(http::HttpResponse response) {
  if (this->answered.exchange(true)) {
    return;
  }
  if (!this->caller_id.empty()) {
    response.headers["X-Request-Id"] = this->caller_id;
  }
  if (this->gate->Draining()) {
    response.headers["Connection"] = "close";
  }
  this->metrics->CountAnswer(this->route, response.status,
                             BootClock{}.Now().ms - this->started.ms);
  this->respond(std::move(response));
  this->gate->Leave();
}

void ApiExchange::Send(const Problem& problem) {
  this->Send(ResponseOf(problem));
}

}  // namespace carobrill::daemon
