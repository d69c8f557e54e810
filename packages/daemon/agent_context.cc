#include "packages/daemon/agent_context.h"

namespace carobrill::daemon {
namespace {

agent::Identity IdentityOf(const Settings& settings) {
  return agent::Identity{InstanceId(settings.instance.id), WallClockMicros(),
                         ServiceId(settings.agent.endpoint.service),
                         WorkerId(settings.agent.worker.id)};
}

agent::GateLimits LimitsOf(const ServiceEndpointSettings& endpoint) {
  return agent::GateLimits{endpoint.slots, endpoint.connections,
                           endpoint.long_slots};
}

}  // namespace

AgentContext::AgentContext(const Settings& settings,
                           Task& task,
                           const agent::GateChart& chart)
    : settings(settings),
      task(task),
      self(IdentityOf(settings)),
      gate(chart, LimitsOf(settings.agent.endpoint)),
      lease(this->self.incarnation),
      entries(task, this->channels),
      agents(task, this->channels),
      http(task) {}

}  // namespace carobrill::daemon
