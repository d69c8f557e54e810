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
#include "packages/daemon/entry_selector.h"
#include "packages/rpc/control.pb.h"
#include "packages/rpc/rpc_types.h"

namespace carobrill::daemon {

/// Announces the agent to entries, renews its lease, applies withdrawals and
/// forwards gang reports.
class AgentAnnouncer {
 public:
  /// Fills in the fields that other components provide: load, worker and
  /// gangs, and task usage if the flag is set.
  using RequestFiller = std::function<void(rpc::AnnounceRequest&, bool)>;

  /// `context` must outlive this object.
  AgentAnnouncer(AgentContext& context, RequestFiller fill_request);

  /// Sends the announcements that are due. A change of the gate's state is
  /// announced immediately.
  void Tick(Instant now);

  /// Sends a gang report to an entry. `on_recorded` runs when the entry
  /// confirms that the report is recorded or obsolete.
  void Report(const rpc::GangReport& report, std::function<void()> on_recorded);

  /// True if an entry has granted a lease for an announcement of the current
  /// state.
  bool StateIsAcknowledged() const {
    return this->acknowledged_state == this->context.gate.State();
  }

 private:
  struct EntryState {
    std::string name;
    Incarnation incarnation = 0;
    std::size_t in_flight = 0;
    /// The last call failed. Used to log only the first of several failures.
    bool failing = false;
    Instant next_usage_at;
  };

  /// The entry that told the agent to leave, and the version of its rules.
  struct Withdrawal {
    bool active = false;
    std::string entry;
    std::uint64_t rules_version = 0;
  };

  void Announce(const std::string& address, Instant now);
  void OnReply(const std::string& address,
               agent::GateState state,
               Instant sent_at,
               const rpc::RpcResult<rpc::AnnounceReply>& reply);
  void OnFailure(const std::string& address, const std::string& detail);
  void ApplyWithdrawal(const rpc::AnnounceReply& reply);

  AgentContext& context;
  RequestFiller fill_request;
  EntrySelector entry_selector;
  std::map<std::string, EntryState> entry_states;
  std::uint64_t rules_version = 0;
  Withdrawal withdrawal;
  agent::GateState announced_state;
  agent::GateState acknowledged_state = agent::GateState::kGone;
  std::size_t next_report_entry = 0;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_AGENT_ANNOUNCER_H_
