#ifndef PACKAGES_AGENT_GANG_MEMBER_H_
#define PACKAGES_AGENT_GANG_MEMBER_H_

#include <optional>
#include <string>

#include "packages/agent/gang_action.h"
#include "packages/agent/identity.h"
#include "packages/core/state_chart.h"
#include "packages/core/time.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::agent {

/// States of one gang member.
enum class MemberState { kPrepared, kStarting, kRunning, kStopping, kEnded };

constexpr auto NamesOf(MemberState) {
  return MakeNameTable<MemberState>({{MemberState::kPrepared, "prepared"},
                                     {MemberState::kStarting, "starting"},
                                     {MemberState::kRunning, "running"},
                                     {MemberState::kStopping, "stopping"},
                                     {MemberState::kEnded, "ended"}});
}

/// Events that change the state of a member.
enum class MemberEvent { kStart, kStarted, kStop, kEnd, kExpire };

constexpr auto NamesOf(MemberEvent) {
  return MakeNameTable<MemberEvent>({{MemberEvent::kStart, "start"},
                                     {MemberEvent::kStarted, "started"},
                                     {MemberEvent::kStop, "stop"},
                                     {MemberEvent::kEnd, "end"},
                                     {MemberEvent::kExpire, "expire"}});
}

using MemberChart = StateChart<MemberState, MemberEvent>;

/// State machine of one gang member on this agent, from prepare to end.
class GangMember {
 public:
  /// `chart` and `self` must outlive the member.
  GangMember(const MemberChart& chart,
             const Identity& self,
             const GangTiming& timing,
             rpc::GangMember spec,
             Instant reserved_until);

  /// Extends the reservation of the cell to `reserved_until` if the member is
  /// still prepared.
  void ExtendReservation(Instant reserved_until);

  /// Starts a prepared member; has no effect on one that has already started.
  /// Returns false when the reservation has expired or the member has ended.
  bool Start(Instant now, GangActions& actions);

  /// Stops the member. Takes a checkpoint first if `checkpoint` is true and the
  /// task supports it.
  void Stop(bool checkpoint, Instant now);

  void OnStarted(StartResult result, Instant now);
  void OnCheckpointed(Instant now);

  /// Handles the task's state in a task list that was requested at
  /// `requested_at`.
  void OnListed(const ListedTask& task, Instant requested_at, Instant now);

  /// Handles the watcher's reply to a heartbeat.
  void OnHeartbeatReply(const rpc::MemberAliveReply& reply,
                        const SentHeartbeat& sent,
                        Instant now);

  /// Emits the actions that are due at `now`.
  void Tick(Instant now, GangActions& actions);

  MemberState State() const { return this->state; }
  const rpc::GangMember& Spec() const { return this->spec; }

  /// Returns the phase as reported to the watcher.
  rpc::GangPhase Phase() const;

  /// True when the member has ended and either never started or need not be
  /// reported to the watcher any more.
  bool Settled() const;

  /// True once the start of its task has been requested.
  bool WasStarted() const { return this->was_started; }

  /// True while the member's task may be running on the worker.
  bool MayBeRunning() const;

 private:
  bool Apply(MemberEvent event);
  bool WatcherTimedOut(Instant now) const;
  void End(rpc::GangPhase phase, Instant now);
  void BeginStop(rpc::GangPhase phase, bool checkpoint, Instant now);
  void TickLease(Instant now, GangActions& actions);
  void TickStop(Instant now, GangActions& actions);
  void TickHeartbeat(Instant now, GangActions& actions);
  rpc::GangPhase FinalPhaseFor(const ListedTask& task) const;
  rpc::MemberAliveRequest HeartbeatRequest() const;

  const MemberChart& chart;
  const Identity& self;
  GangTiming timing;
  rpc::GangMember spec;
  MemberKey key;
  MemberState state;
  Instant reserved_until;
  /// The final phase of a stopping or ended member.
  rpc::GangPhase final_phase = rpc::GANG_PHASE_UNSPECIFIED;
  std::string checkpoint;
  bool was_started = false;
  /// Latest time at which the task's lease on the worker ends unless renewed.
  Instant lease_ends_by;
  /// Task lists requested before this time may not show the task yet.
  Instant start_answered_at = Instant::Never();
  StartResult start_result = StartResult::kUnknown;
  /// Send time of the latest heartbeat that the watcher answered.
  Instant watcher_last_heard_at;
  bool watcher_answered = false;
  Instant next_renewal_at;
  Instant next_heartbeat_at;
  Instant stop_at = Instant::Never();
  bool checkpoint_due = false;
  bool stop_sent = false;
  /// The lease has ended, but the worker has not confirmed the end of the task.
  bool lease_expired = false;
  Instant ended_at = Instant::Never();
  bool end_acknowledged = false;
};

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_GANG_MEMBER_H_
