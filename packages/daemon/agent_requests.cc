#include "packages/daemon/agent_requests.h"

#include "packages/core/log.h"

namespace carobrill::daemon {
namespace {

// How long after the caller's deadline an endpoint may still answer. Meanwhile
// its slot stays in use, and a late outcome still serves FenceClaim. Waiting
// longer would keep a slot blocked if the endpoint has lost the attempt.
constexpr std::int64_t kLateAnswerWindowMs = 30'000;

// Together with the announcement interval, this keeps the time until entries
// learn that an endpoint is unhealthy within the target of one second.
constexpr std::int64_t kHealthIntervalMs = 250;
constexpr std::int64_t kHealthTimeoutMs = 1'000;

// Consecutive timeouts after which the endpoint counts as unhealthy. A single
// slow reply does not withdraw it.
constexpr int kHealthTimeoutThreshold = 2;

agent::AttemptOutcome OutcomeOf(
    const platform::PlatformReply<std::string>& reply) {
  agent::AttemptOutcome outcome;
  if (reply.Ok()) {
    outcome.ran = rpc::RAN_YES;
    outcome.answer = reply.value;
  } else if (reply.failure == platform::PlatformFailure::kNotSent) {
    outcome.ran = rpc::RAN_NO;
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
    this->Forward(request, respond, now);
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
  if (now >= this->next_health_check_at && !this->health_check_in_flight) {
    this->CheckHealth(now);
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

void AgentRequests::Forward(const rpc::ExecuteRequest& request,
                            const rpc::Responder<rpc::ExecuteReply>& respond,
                            Instant now) {
  ++this->running;
  ++this->forwarded;
  const auto attempt = agent::RequestAdmission::AttemptOf(request, now);
  this->endpoint.Execute(
      request.attempt(), request.payload(), request.run_ms(),
      attempt.key.deadline.After(kLateAnswerWindowMs),
      [this, request, respond,
       attempt](const platform::PlatformReply<std::string>& reply) {
        --this->running;
        const agent::AttemptOutcome outcome = OutcomeOf(reply);
        this->admission.End(attempt, outcome, BootClock{}.Now());
        if (!reply.Ok()) {
          Log(LogLevel::kWarning, "endpoint returned no valid answer",
              {{"attempt", request.attempt()},
               {"failure", std::string(NameOf(reply.failure))}});
        }
        rpc::ExecuteReply answer = this->admission.ReplyTo(request, outcome);
        *answer.mutable_load() = this->Load();
        respond(std::move(answer));
      });
}

void AgentRequests::CheckHealth(Instant now) {
  this->health_check_in_flight = true;
  this->next_health_check_at = now.After(kHealthIntervalMs);
  this->endpoint.Health(
      now.After(kHealthTimeoutMs),
      [this](const platform::PlatformReply<platform::EndpointHealth>& reply) {
        this->health_check_in_flight = false;
        this->OnHealth(reply);
      });
}

// A refused connection means that the endpoint process has ended, so new
// attempts would fail. The endpoint gets work again once a health check reports
// that it is serving.
void AgentRequests::OnHealth(
    const platform::PlatformReply<platform::EndpointHealth>& reply) {
  const bool serving =
      reply.Ok() && reply.value == platform::EndpointHealth::kServing;
  const bool timed_out = reply.failure == platform::PlatformFailure::kTimeout;
  this->consecutive_timeouts = timed_out ? this->consecutive_timeouts + 1 : 0;
  if (timed_out && this->consecutive_timeouts < kHealthTimeoutThreshold) {
    return;
  }
  if (serving != this->ready) {
    Log(LogLevel::kInfo,
        serving ? "endpoint is serving" : "endpoint is not serving",
        {{"endpoint", this->context.settings.agent.endpoint.id}});
  }
  const bool stopped_serving = this->ready && !serving;
  this->ready = serving;
  if (stopped_serving || serving) {
    this->context.gate.SetLeaving(agent::LeaveCause::kHealth, !serving);
  }
}

}  // namespace carobrill::daemon
