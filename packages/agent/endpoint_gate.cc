#include "packages/agent/endpoint_gate.h"

#include <cassert>

namespace carobrill::agent {

rpc::EndpointState ToWire(GateState state) {
  switch (state) {
    case GateState::kJoining:
      return rpc::ENDPOINT_STATE_JOINING;
    case GateState::kServing:
      return rpc::ENDPOINT_STATE_SERVING;
    case GateState::kLeaving:
      return rpc::ENDPOINT_STATE_LEAVING;
    case GateState::kGone:
      return rpc::ENDPOINT_STATE_GONE;
  }
  return rpc::ENDPOINT_STATE_UNSPECIFIED;
}

EndpointGate::EndpointGate(const GateChart& chart, const GateLimits& limits)
    : chart(chart), limits(limits), state(chart.Initial()) {}

void EndpointGate::SetReady() {
  this->Apply(GateEvent::kReady);
}

void EndpointGate::SetLeaving(LeaveCause cause, bool leaving) {
  if (leaving) {
    this->causes.insert(cause);
    this->Apply(GateEvent::kLeave);
    return;
  }
  if (cause == LeaveCause::kShutdown || cause == LeaveCause::kDrain) {
    return;
  }
  this->causes.erase(cause);
  if (this->causes.empty()) {
    this->Apply(GateEvent::kReturn);
  }
}

void EndpointGate::SetIdle() {
  this->Apply(GateEvent::kEmptied);
}

rpc::Refusal EndpointGate::Acquire(bool predicted_long) {
  if (this->state != GateState::kServing) {
    return rpc::REFUSAL_LEAVING;
  }
  if (this->slots_used >= this->limits.slots ||
      (predicted_long && this->long_used >= this->limits.long_slots)) {
    return rpc::REFUSAL_NO_SLOT;
  }
  if (this->ConnectionsUsed() >= this->limits.connections) {
    return rpc::REFUSAL_NO_CONNECTION;
  }
  ++this->slots_used;
  this->long_used += predicted_long ? 1 : 0;
  return rpc::REFUSAL_NONE;
}

void EndpointGate::Release(bool predicted_long) {
  assert(this->slots_used > 0);
  assert(!predicted_long || this->long_used > 0);
  --this->slots_used;
  this->long_used -= predicted_long ? 1 : 0;
}

// Events that the chart does not allow in the present state are ignored, so
// repeated events are harmless.
void EndpointGate::Apply(GateEvent event) {
  this->state = this->chart.Next(this->state, event).value_or(this->state);
}

}  // namespace carobrill::agent
