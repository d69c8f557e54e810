#ifndef TESTS_AGENT_FIXTURES_H_
#define TESTS_AGENT_FIXTURES_H_

#include <doctest/doctest.h>

#include <string>

#include "packages/agent/endpoint_gate.h"
#include "packages/agent/gang_member.h"
#include "packages/agent/identity.h"
#include "packages/agent/lease_holder.h"

namespace carobrill::agent {

inline const std::string kCharts =
    std::string(CAROBRILL_SOURCE_DIRECTORY) + "/charts";

inline const GateChart& TestGateChart() {
  static const GateChart chart = GateChart::Load(kCharts, "endpoint").value();
  return chart;
}

inline const MemberChart& TestMemberChart() {
  static const MemberChart chart = MemberChart::Load(kCharts, "member").value();
  return chart;
}

inline Identity IdentityOf(int number) {
  return Identity{InstanceId("agent-" + std::to_string(number)),
                  static_cast<Incarnation>(1000 + number), ServiceId("service"),
                  WorkerId("worker-" + std::to_string(number))};
}

/// Returns sender and receiver of a message from an entry process to `to`.
inline rpc::Peers PeersFromEntry(const Identity& to) {
  Identity entry;
  entry.instance = InstanceId("entry");
  entry.incarnation = 1;
  return PeersTo(entry, to.instance.value, to.incarnation);
}

/// The gate and lease of an agent; the gate is in the serving state.
struct AdmissionState {
  explicit AdmissionState(const Identity& self, const GateLimits& limits = {})
      : gate(TestGateChart(), limits), lease(self.incarnation) {
    this->gate.SetReady();
  }

  void GrantLease(const Identity& self, Instant now) {
    this->lease.Grant({self.incarnation, now, 2'000});
  }

  EndpointGate gate;
  LeaseHolder lease;
};

}  // namespace carobrill::agent

#endif  // TESTS_AGENT_FIXTURES_H_
