#include "packages/daemon/api_exchange.h"

#include <utility>

#include "packages/core/log.h"
#include "packages/daemon/api_codec.h"

namespace carobrill::daemon {

void DrainTracker::BeginExchange() {
  const std::lock_guard lock(this->mutex);
  ++this->in_progress;
}

void DrainTracker::EndExchange() {
  std::function<void()> callback;
  {
    const std::lock_guard lock(this->mutex);
    --this->in_progress;
    callback = this->TakeCallbackIfDrained();
  }
  if (callback) {
    callback();
  }
}

void DrainTracker::BeginDrain(std::function<void()> drained) {
  std::function<void()> callback;
  {
    const std::lock_guard lock(this->mutex);
    this->draining.store(true);
    this->drained = std::move(drained);
    callback = this->TakeCallbackIfDrained();
  }
  if (callback) {
    callback();
  }
}

std::size_t DrainTracker::InProgress() const {
  const std::lock_guard lock(this->mutex);
  return this->in_progress;
}

std::function<void()> DrainTracker::TakeCallbackIfDrained() {
  if (!this->draining.load() || this->in_progress != 0) {
    return {};
  }
  return std::exchange(this->drained, {});
}

ApiExchange::ApiExchange(http::HttpResponder respond,
                         std::shared_ptr<DrainTracker> drain_tracker,
                         std::shared_ptr<ApiMetrics> metrics,
                         ApiRoute route,
                         std::string client_request_id)
    : respond(std::move(respond)),
      drain_tracker(std::move(drain_tracker)),
      metrics(std::move(metrics)),
      route(route),
      client_request_id(std::move(client_request_id)),
      started_at(BootClock{}.Now()) {
  this->drain_tracker->BeginExchange();
}

ApiExchange::~ApiExchange() {
  if (this->responded.load()) {
    return;
  }
  Log(LogLevel::kError, "request was dropped without an answer",
      {{"route", std::string(NameOf(this->route))}});
  this->Send(Problem{ApiError::kInternal, "the request was dropped"});
}

void ApiExchange::Send(http::HttpResponse response) {
  if (this->responded.exchange(true)) {
    return;
  }
  if (!this->client_request_id.empty()) {
    response.headers["X-Request-Id"] = this->client_request_id;
  }
  if (this->drain_tracker->Draining()) {
    response.headers["Connection"] = "close";
  }
  this->metrics->RecordResponse(this->route, response.status,
                                BootClock{}.Now().ms - this->started_at.ms);
  this->respond(std::move(response));
  this->drain_tracker->EndExchange();
}

void ApiExchange::Send(const Problem& problem) {
  this->Send(MakeErrorResponse(problem));
}

}  // namespace carobrill::daemon
