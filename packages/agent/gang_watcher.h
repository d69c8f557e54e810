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

/// Monitors the members of one gang from the agent of member 0, so that either
/// all members run or all of them stop.
class GangWatcher {
 public:
  /// `self` must outlive the watcher. `spec` may belong to any
  /// member.
  GangWatcher(const Identity& self,
              const GangTiming& timing,
              const rpc::GangMember& spec);

  /// Members that have not sent a heartbeat may still start before
  /// `reserved_until`.
  void ExtendReservation(Instant until);

  /// Handles a heartbeat and returns the reply.
  rpc::MemberAliveReply OnHeartbeat(const rpc::MemberAliveRequest& request,
                                    Instant now);

  /// Stops the whole gang, with a checkpoint of each member if `checkpoint`.
  void Stop(bool checkpoint, Instant now);

  /// Checks for members that fail to send heartbeats, and emits a report that
  /// no entry process has recorded yet.
  void Tick(Instant now, GangActions& actions);

  /// Called when an entry process has recorded the report of `phase`.
  void OnReportRecorded(rpc::GangPhase phase);

  /// Returns the current report on the gang.
  rpc::GangReport Report() const;

  /// True when a member has sent a heartbeat or the gang has been stopped.
  bool Started() const { return this->started; }

  /// True when all members have ended or can no longer be running.
  bool Ended() const { return this->ended; }

  /// True when an entry process has recorded the end of the gang.
  bool Settled() const {
    return this->ended && this->recorded_phase == this->Report().phase();
  }

 private:
  struct Member {
    rpc::GangPhase phase = rpc::GANG_PHASE_UNSPECIFIED;
    std::string worker;
    std::string checkpoint;
    /// Arrival time of the last heartbeat.
    Instant last_heard_at;
    /// The member stopped, failed or timed out before the gang was stopped.
    bool caused_stop = false;
  };

  bool HasEnded(const Member& member, Instant now) const;
  bool IsOverdue(const Member& member, Instant now) const;
  void CheckMembers(Instant now);
  void CheckEnd(Instant now);
  rpc::GangPhase Outcome() const;
  std::string Checkpoints() const;

  const Identity& self;
  GangTiming timing;
  std::string job;
  std::uint32_t attempt = 0;
  std::vector<Member> members;
  Instant reserved_until;
  bool started = false;
  /// Deadline for all members to be running.
  Instant start_by;
  bool running = false;
  Instant running_since;
  bool stopping = false;
  bool with_checkpoint = false;
  bool ended = false;
  std::int64_t run_ms = 0;
  rpc::GangPhase recorded_phase = rpc::GANG_PHASE_UNSPECIFIED;
  Instant next_report_at;
};

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_GANG_WATCHER_H_
