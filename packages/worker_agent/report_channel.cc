#include "packages/worker_agent/report_channel.h"

#include <string>
#include <utility>

#include "packages/core/log.h"

namespace carobrill::worker_agent {

ReportChannel::ReportChannel(Task& task,
                             InstanceId agent,
                             std::uint64_t incarnation,
                             ReportChannelCallbacks callbacks)
    : task(task),
      agent(std::move(agent)),
      incarnation(incarnation),
      callbacks(std::move(callbacks)) {}

ReportChannel::~ReportChannel() {
  *this->alive = false;
}

bool ReportChannel::OnExchange(const rpc::ExchangeRequest& request,
                               rpc::Responder<rpc::ExchangeReply> respond) {
  // The address may have belonged to another agent before.
  if (!request.agent().empty() && request.agent() != this->agent.value) {
    if (std::exchange(this->rejected_agent, request.agent()) !=
        request.agent()) {
      Log(LogLevel::kWarning, "rejecting exchanges for another agent",
          {{"agent", request.agent()},
           {"epoch", std::to_string(request.epoch())}});
    }
    respond(this->Rejection());
    return false;
  }
  if (request.epoch() < this->epoch) {
    respond(this->Rejection());
    return true;
  }
  if (request.epoch() > this->epoch) {
    Log(LogLevel::kInfo, "following a new planner",
        {{"epoch", std::to_string(request.epoch())}});
    this->epoch = request.epoch();
    this->last_exchange = 0;
    this->callbacks.on_epoch(this->epoch);
  }
  if (request.sequence() > this->last_exchange) {
    this->last_exchange = request.sequence();
    // The clock that a lease for an earlier process was dated by may have
    // started anew with the machine.
    if (request.agent_incarnation() == 0 ||
        request.agent_incarnation() == this->incarnation) {
      this->callbacks.on_request(request);
    }
  }
  this->AnswerPending();
  if (request.wait_ms() <= 0 || request.seen_report() < this->report) {
    respond(this->Reply());
    return true;
  }
  this->pending_response = std::move(respond);
  this->task.PostAt(
      BootClock{}.Now().After(request.wait_ms()),
      [this, alive = this->alive, number = ++this->pending_number] {
        if (*alive && number == this->pending_number) {
          this->AnswerPending();
        }
      });
  return true;
}

void ReportChannel::Report() {
  ++this->report;
  this->AnswerPending();
}

rpc::ExchangeReply ReportChannel::Rejection() const {
  rpc::ExchangeReply reply;
  reply.set_accepted(false);
  reply.set_highest_epoch(this->epoch);
  return reply;
}

rpc::ExchangeReply ReportChannel::Reply() const {
  rpc::ExchangeReply reply = this->callbacks.reply();
  reply.set_accepted(true);
  reply.set_highest_epoch(this->epoch);
  reply.set_report(this->report);
  reply.set_process_age_ms(BootClock{}.Now().ms - this->started_at.ms);
  return reply;
}

void ReportChannel::AnswerPending() {
  if (this->pending_response) {
    const auto respond = std::exchange(this->pending_response, std::nullopt);
    (*respond)(this->Reply());
  }
}

}  // namespace carobrill::worker_agent
