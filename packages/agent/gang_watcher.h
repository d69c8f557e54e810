#ifndef PACKAGES_AGENT_GANG_WATCHER_H_
#define PACKAGES_AGENT_GANG_WATCHER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "packages/agent/gang_action.h"
#include "packages/agent/identity.h"
#include "packages/core/time.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::agent {

/// Watches the members of one gang at the first member's agent: all of them
/// run, or all of them stop.
class GangWatcher {
 public:
  /// `self` must outlive the watcher. `spec` is any member's.
  GangWatcher(const Identity& self,
              const GangTiming& timing,
              const rpc::GangMember& spec);

  /// Members that were not heard may still start until `promise_until`.
  void ExtendPromise(Instant until);

  /// Takes in a heartbeat and answers it.
  rpc::MemberAliveReply OnAlive(const rpc::MemberAliveRequest& request,
                                Instant now);

  /// Stops the whole gang, with a checkpoint of each member if `checkpoint`.
  void Stop(bool checkpoint, Instant now);

  /// Checks for silence and emits reports that no entry has recorded.
  void Tick(Instant now, GangActions& actions);

  /// An entry has recorded the report of `phase`.
  void OnReportRecorded(rpc::GangPhase phase);

  /// The gang as a whole at present.
  rpc::GangReport Report() const;

  /// True when a member has reported its start.
  bool Started() const { return this->started; }

  /// True when all members have ended.
  bool Ended() const { return this->ended; }

  /// True when an entry has recorded the end.
  bool Settled() const {
    return this->ended && this->recorded == this->Report().phase();
  }

 private:
  struct Member {
    rpc::GangPhase phase = rpc::GANG_PHASE_UNSPECIFIED;
    std::string worker;
    std::string checkpoint;
    /// When the last heartbeat arrived.
    Instant heard_at;
    /// It failed or fell silent before the gang was stopped.
    bool caused_stop = false;
  };

  bool HasEnded(const Member& member, Instant now) const;
  bool IsLate(const Member& member, Instant now) const;
  void CheckMembers(Instant now);
  void CheckEnd(Instant now);
  rpc::GangPhase Outcome() const;
  std::string Checkpoints() const;

  const Identity& self;
  GangTiming timing;
  std::string job;
  std::uint32_t attempt = 0;
  std::vector<Member> members;
  Instant promise_until;
  bool started = false;
  /// When every member must be running.
  Instant start_by;
  bool running = false;
  Instant running_since;
  bool stopping = false;
  bool with_checkpoint = false;
  bool ended = false;
  std::int64_t run_ms = 0;
  rpc::GangPhase recorded = rpc::GANG_PHASE_UNSPECIFIED;
  Instant report_at;
};

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_GANG_WATCHER_H_
