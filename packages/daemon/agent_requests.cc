#include "packages/daemon/agent_requests.h"

#include "packages/core/log.h"

namespace carobrill::daemon {
namespace {

// An endpoint may answer after the caller's deadline. Until then the slot is in
// use and the outcome is of use to FenceClaim; a longer wait would give up a
// slot of an endpoint that lost the attempt.
constexpr std::int64_t kLateAnswerMs = 30'000;

// With the announcement interval this keeps a withdrawal by the endpoint itself
// within the target of one second.
constexpr std::int64_t kHealthIntervalMs = 250;
constexpr std::int64_t kHealthTimeoutMs = 1'000;

// One slow answer is not a withdrawal.
constexpr int kHealthTimeouts = 2;

agent::AttemptOutcome OutcomeOf(
    const platform::PlatformReply<std::string>& reply) {
  agent::AttemptOutcome outcome;
  if (reply.Ok()) {
    outcome.ran = rpc::RAN_YES;
    outcome.answer = reply.value;
  }
  return outcome;
}

}  // namespace

AgentRequests::AgentRequests(AgentContext& context)
    : context(context),
      endpoint(context.http, context.settings.agent.endpoint.url),
      admission(context.self, context.gate, context.lease) {}

void AgentRequests::Execute(const rpc::ExecuteRequest& request,
                            const rpc::Responder<rpc::ExecuteReply>& respond) {
  const Instant now = BootClock{}.Now();
  const rpc::Refusal refusal = this->admission.Admit(request, now);
  if (refusal == rpc::REFUSAL_NONE) {
    this->Run(request, respond, now);
    return;
  }
  ++this->refused;
  rpc::ExecuteReply reply = this->admission.RefusalOf(request, refusal);
  *reply.mutable_load() = this->Load();
  respond(std::move(reply));
}

void AgentRequests::FenceClaim(
    const rpc::FenceClaimRequest& request,
    const rpc::Responder<rpc::FenceClaimReply>& respond) {
  respond(this->admission.Fence(request, BootClock{}.Now()));
}

void AgentRequests::Tick(Instant now) {
  this->admission.Tick(now);
  if (now >= this->ask_at && !this->asking) {
    this->AskHealth(now);
  }
}

rpc::ServiceLoad AgentRequests::Load() const {
  const ServiceEndpointSettings& settings =
      this->context.settings.agent.endpoint;
  rpc::ServiceLoad load;
  load.set_endpoint(settings.id);
  load.set_service(settings.service);
  load.set_partner(settings.partner);
  load.set_slots(settings.slots);
  load.set_slots_used(this->context.gate.SlotsUsed());
  load.set_long_used(this->context.gate.LongUsed());
  load.set_connections(settings.connections);
  load.set_connections_used(this->context.gate.ConnectionsUsed());
  return load;
}

void AgentRequests::Run(const rpc::ExecuteRequest& request,
                        const rpc::Responder<rpc::ExecuteReply>& respond,
                        Instant now) {
  ++this->running;
  ++this->passed;
  const auto attempt = agent::RequestAdmission::AttemptOf(request, now);
  this->endpoint.Execute(
      request.attempt(), request.payload(), request.run_ms(),
      attempt.key.deadline.After(kLateAnswerMs),
      [this, request, respond,
       attempt](const platform::PlatformReply<std::string>& reply) {
        --this->running;
        const agent::AttemptOutcome outcome = OutcomeOf(reply);
        this->admission.End(attempt, outcome, BootClock{}.Now());
        if (!reply.Ok()) {
          Log(LogLevel::kWarning, "endpoint returned no usable answer",
              {{"attempt", request.attempt()},
               {"failure", std::string(NameOf(reply.failure))}});
        }
        rpc::ExecuteReply answer = this->admission.ReplyTo(request, outcome);
        *answer.mutable_load() = this->Load();
        respond(std::move(answer));
      });
}

void AgentRequests::AskHealth(Instant now) {
  this->asking = true;
  this->ask_at = now.After(kHealthIntervalMs);
  this->endpoint.Health(
      now.After(kHealthTimeoutMs),
      [this](const platform::PlatformReply<platform::EndpointHealth>& reply) {
        this->asking = false;
        this->OnHealth(reply);
      });
}

// A refused connection means that the endpoint has ended, so new work would
// fail. The endpoint takes work again once it answers that it serves.
void AgentRequests::OnHealth(
    const platform::PlatformReply<platform::EndpointHealth>& reply) {
  const bool serves =
      reply.Ok() && reply.value == platform::EndpointHealth::kServing;
  const bool timed_out = reply.failure == platform::PlatformFailure::kTimeout;
  this->timeouts = timed_out ? this->timeouts + 1 : 0;
  if (timed_out && this->timeouts < kHealthTimeouts) {
    return;
  }
  if (serves != this->ready) {
    Log(LogLevel::kInfo, serves ? "endpoint serves" : "endpoint leaves",
        {{"endpoint", this->context.settings.agent.endpoint.id}});
  }
  const bool left = this->ready && !serves;
  this->ready = serves;
  if (left || serves) {
    this->context.gate.SetLeaving(agent::LeaveCause::kHealth, !serves);
  }
}

}  // namespace carobrill::daemon
