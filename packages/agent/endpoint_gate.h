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

/// Whether the endpoint and worker beside the agent take work.
enum class GateState { kJoining, kServing, kLeaving, kGone };

constexpr auto NamesOf(GateState) {
  return MakeNameTable<GateState>({{GateState::kJoining, "joining"},
                                   {GateState::kServing, "serving"},
                                   {GateState::kLeaving, "leaving"},
                                   {GateState::kGone, "gone"}});
}

/// What changes the state of the gate.
enum class GateEvent { kReady, kLeave, kEmptied, kReturn };

constexpr auto NamesOf(GateEvent) {
  return MakeNameTable<GateEvent>({{GateEvent::kReady, "ready"},
                                   {GateEvent::kLeave, "leave"},
                                   {GateEvent::kEmptied, "emptied"},
                                   {GateEvent::kReturn, "return"}});
}

using GateChart = StateChart<GateState, GateEvent>;

/// Why the endpoint leaves; several causes may hold at once.
enum class LeaveCause { kShutdown, kDrain, kRule, kHealth };

constexpr auto NamesOf(LeaveCause) {
  return MakeNameTable<LeaveCause>({{LeaveCause::kShutdown, "shutdown"},
                                    {LeaveCause::kDrain, "drain"},
                                    {LeaveCause::kRule, "rule"},
                                    {LeaveCause::kHealth, "health"}});
}

/// How much the endpoint takes at a time.
struct GateLimits {
  std::uint32_t slots = 8;
  std::uint32_t connections = 60;
  /// Slots that work predicted to be long may use.
  std::uint32_t long_slots = 6;
};

/// Returns the state as it is announced.
rpc::EndpointState ToWire(GateState state);

/// The admission gate: counts slots and connections, and takes work only while
/// serving.
class EndpointGate {
 public:
  EndpointGate(const GateChart& chart, const GateLimits& limits);

  /// The endpoint and the worker have answered: joining becomes serving.
  void SetReady();

  /// Adds or removes a cause for leaving. Shutdown and drain are for good.
  /// Without any cause, a gate that left joins again.
  void SetLeaving(LeaveCause cause, bool leaving);

  /// Nothing runs any more: leaving becomes gone.
  void SetEmptied();

  GateState State() const { return this->state; }

  /// Takes a slot and a connection; REFUSAL_NONE when they were taken.
  rpc::Refusal Enter(bool predicted_long);

  /// Gives back what Enter took.
  void Exit(bool predicted_long);

  std::uint32_t SlotsUsed() const { return this->slots_used; }
  std::uint32_t LongUsed() const { return this->long_used; }

  /// Connections in use, with the one that asks for the endpoint's health.
  std::uint32_t ConnectionsUsed() const { return this->slots_used + 1; }

 private:
  void On(GateEvent event);

  GateChart chart;
  GateLimits limits;
  GateState state;
  std::set<LeaveCause> causes;
  std::uint32_t slots_used = 0;
  std::uint32_t long_used = 0;
};

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_ENDPOINT_GATE_H_
