#ifndef PACKAGES_DAEMON_AGENT_ANNOUNCER_H_
#define PACKAGES_DAEMON_AGENT_ANNOUNCER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/time.h"
#include "packages/daemon/agent_context.h"
#include "packages/daemon/entry_rotation.h"
#include "packages/rpc/control.pb.h"
#include "packages/rpc/rpc_types.h"

namespace carobrill::daemon {

/// Announces the agent to entries, keeps its lease, obeys withdrawals and
/// passes on gang reports.
class AgentAnnouncer {
 public:
  /// Fills in what the other parts tell: load, worker, gangs; usage as well
  /// when the flag is set.
  using Fill = std::function<void(rpc::AnnounceRequest&, bool)>;

  /// `context` must outlive this object.
  AgentAnnouncer(AgentContext& context, Fill fill);

  /// What is due now; a change of the gate's state is announced at once.
  void Tick(Instant now);

  /// Sends a gang's report to an entry; `recorded` runs when it is recorded.
  void Report(const rpc::GangReport& report, std::function<void()> recorded);

  /// True when an entry has answered an announcement of the present state.
  bool StateIsKnown() const {
    return this->acknowledged == this->context.gate.State();
  }

 private:
  struct Entry {
    std::string name;
    Incarnation incarnation = 0;
    std::size_t in_flight = 0;
    /// The last call failed; logged once.
    bool failing = false;
    Instant usage_at;
  };

  /// Who said that the agent must leave, and under which rules.
  struct Withdrawal {
    bool active = false;
    std::string entry;
    std::uint64_t rules_version = 0;
  };

  void Announce(const std::string& address, Instant now);
  void OnReply(const std::string& address,
               agent::GateState state,
               Instant sent_at,
               const rpc::RpcReply<rpc::AnnounceReply>& reply);
  void OnFailure(const std::string& address, const std::string& detail);
  void Obey(const rpc::AnnounceReply& reply);

  AgentContext& context;
  Fill fill;
  EntryRotation rotation;
  std::map<std::string, Entry> known;
  std::uint64_t rules_version = 0;
  Withdrawal withdrawal;
  agent::GateState announced;
  agent::GateState acknowledged = agent::GateState::kGone;
  std::size_t next_reporter = 0;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_AGENT_ANNOUNCER_H_
