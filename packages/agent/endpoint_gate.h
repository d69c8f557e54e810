#ifndef PACKAGES_AGENT_ENDPOINT_GATE_H_
#define PACKAGES_AGENT_ENDPOINT_GATE_H_

#include <cstdint>
#include <set>
#include <string>

#include "packages/core/name_table.h"
#include "packages/core/result.h"
#include "packages/core/state_chart.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::agent {

/// Whether the endpoint and the worker of this agent accept work.
enum class GateState { kJoining, kServing, kLeaving, kGone };

constexpr auto NamesOf(GateState) {
  return MakeNameTable<GateState>({{GateState::kJoining, "joining"},
                                   {GateState::kServing, "serving"},
                                   {GateState::kLeaving, "leaving"},
                                   {GateState::kGone, "gone"}});
}

/// Events that change the state of the gate.
enum class GateEvent { kReady, kLeave, kEmptied, kReturn };

constexpr auto NamesOf(GateEvent) {
  return MakeNameTable<GateEvent>({{GateEvent::kReady, "ready"},
                                   {GateEvent::kLeave, "leave"},
                                   {GateEvent::kEmptied, "emptied"},
                                   {GateEvent::kReturn, "return"}});
}

using GateChart = StateChart<GateState, GateEvent>;

/// Why the endpoint is leaving; several causes can apply at once.
enum class LeaveCause { kShutdown, kDrain, kRule, kHealth };

constexpr auto NamesOf(LeaveCause) {
  return MakeNameTable<LeaveCause>({{LeaveCause::kShutdown, "shutdown"},
                                    {LeaveCause::kDrain, "drain"},
                                    {LeaveCause::kRule, "rule"},
                                    {LeaveCause::kHealth, "health"}});
}

/// Limits on concurrent work at the endpoint.
struct GateLimits {
  std::uint32_t slots = 8;
  std::uint32_t connections = 60;
  /// Maximum number of slots used by work that is predicted to be long.
  std::uint32_t long_slots = 6;
};

/// Converts the state to the value used in announcements.
rpc::EndpointState ToWire(GateState state);

/// Admission control for the endpoint: counts slots and connections, and
/// accepts work only in the serving state.
class EndpointGate {
 public:
  EndpointGate(const GateChart& chart, const GateLimits& limits);

  /// Changes joining to serving, once the endpoint and the worker have
  /// answered.
  void SetReady();

  /// Adds or removes a cause for leaving. Shutdown and drain cannot be removed.
  /// When the last cause is removed, a leaving gate returns to joining.
  void SetLeaving(LeaveCause cause, bool leaving);

  /// Changes leaving to gone, once no work is running.
  void SetIdle();

  GateState State() const { return this->state; }

  /// Reserves a slot and a connection. Returns REFUSAL_NONE on success.
  rpc::Refusal Acquire(bool predicted_long);

  /// Releases the slot and connection that Acquire reserved.
  void Release(bool predicted_long);

  std::uint32_t SlotsUsed() const { return this->slots_used; }
  std::uint32_t LongUsed() const { return this->long_used; }

  /// Connections in use, including the one for health checks.
  std::uint32_t ConnectionsUsed() const { return this->slots_used + 1; }

 private:
  void Apply(GateEvent event);

  GateChart chart;
  GateLimits limits;
  GateState state;
  std::set<LeaveCause> causes;
  std::uint32_t slots_used = 0;
  std::uint32_t long_used = 0;
};

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_ENDPOINT_GATE_H_
