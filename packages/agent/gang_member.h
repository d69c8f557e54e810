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

/// What changes the state of a member.
enum class MemberEvent { kStart, kStarted, kStop, kEnd, kExpire };

constexpr auto NamesOf(MemberEvent) {
  return MakeNameTable<MemberEvent>({{MemberEvent::kStart, "start"},
                                     {MemberEvent::kStarted, "started"},
                                     {MemberEvent::kStop, "stop"},
                                     {MemberEvent::kEnd, "end"},
                                     {MemberEvent::kExpire, "expire"}});
}

using MemberChart = StateChart<MemberState, MemberEvent>;

/// One gang member of this agent, from its preparation to its end.
class GangMember {
 public:
  /// `chart` and `self` must outlive the member.
  GangMember(const MemberChart& chart,
             const Identity& self,
             const GangTiming& timing,
             rpc::GangMember spec,
             Instant promise_until);

  /// Keeps the cell until `promise_until` when the member is still prepared.
  void ExtendPromise(Instant promise_until);

  /// Starts a prepared member; a member that has started already is left as it
  /// is. False when the promise has expired or the member has ended.
  bool Start(Instant now, GangActions& actions);

  /// Ends the member; with a checkpoint first if it can and `checkpoint` says.
  void Stop(bool checkpoint, Instant now);

  void OnStarted(StartResult result, Instant now);
  void OnCheckpointed(Instant now);

  /// Takes in the state of the task in a list that was asked for at `asked_at`.
  void OnListed(const ListedTask& task, Instant asked_at, Instant now);

  /// Takes in the watcher's reply to the heartbeat that was sent at `sent_at`.
  void OnAliveReply(const rpc::MemberAliveReply& reply,
                    Instant sent_at,
                    Instant now);

  /// What is due at `now`.
  void Tick(Instant now, GangActions& actions);

  MemberState State() const { return this->state; }
  const rpc::GangMember& Spec() const { return this->spec; }

  /// The phase as it is told to the watcher.
  rpc::GangPhase Phase() const;

  /// True when the member ended and the watcher knows, or never started.
  bool Settled() const;

  /// True once the start of its task has been asked for.
  bool WasStarted() const { return this->was_started; }

  /// True while a task of the member may run at the worker.
  bool MayRun() const;

 private:
  bool On(MemberEvent event);
  bool WatcherIsSilent(Instant now) const;
  void End(rpc::GangPhase phase, Instant now);
  void BeginStop(rpc::GangPhase phase, bool checkpoint, Instant now);
  void TickLease(Instant now, GangActions& actions);
  void TickStop(Instant now, GangActions& actions);
  void TickAlive(Instant now, GangActions& actions);
  rpc::GangPhase PhaseOfEnd(const ListedTask& task) const;
  rpc::MemberAliveRequest AliveRequest() const;

  const MemberChart& chart;
  const Identity& self;
  GangTiming timing;
  rpc::GangMember spec;
  MemberKey key;
  MemberState state;
  Instant promise_until;
  /// The phase that a stopping or ended member reports.
  rpc::GangPhase final_phase = rpc::GANG_PHASE_UNSPECIFIED;
  std::string checkpoint;
  bool was_started = false;
  /// When the worker's lease has certainly ended, unless it is renewed.
  Instant lease_ends_by;
  /// Lists asked for earlier may not show the task yet.
  Instant start_answered_at = Instant::Never();
  StartResult start_result = StartResult::kUnknown;
  /// When the last heartbeat that the watcher answered was sent.
  Instant watcher_heard_at;
  Instant renew_at;
  Instant alive_at;
  Instant stop_at = Instant::Never();
  bool checkpoint_due = false;
  bool stop_sent = false;
  /// The lease ended, but the worker has not confirmed the end of the task.
  bool lapsed = false;
  Instant ended_at = Instant::Never();
  bool end_known = false;
};

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_GANG_MEMBER_H_
