#ifndef PACKAGES_DAEMON_GANG_COORDINATOR_H_
#define PACKAGES_DAEMON_GANG_COORDINATOR_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/time.h"
#include "packages/membership/directory.h"
#include "packages/rpc/control.pb.h"
#include "packages/scheduling/cluster.h"
#include "packages/scheduling/planner.h"

namespace carobrill::daemon {

/// Type of a call from the planning entry to the agent of a gang member.
enum class MemberCallKind { kPrepare, kStart, kStop };

constexpr auto NamesOf(MemberCallKind) {
  return MakeNameTable<MemberCallKind>({
      {MemberCallKind::kPrepare, "prepare"},
      {MemberCallKind::kStart, "start"},
      {MemberCallKind::kStop, "stop"},
  });
}

/// Identifies a call. Replies are ignored unless they match the current attempt
/// and step of the gang.
struct MemberCallId {
  JobId job;
  std::uint32_t attempt = 0;
  std::uint32_t member = 0;
  MemberCallKind kind = MemberCallKind::kPrepare;

  auto operator<=>(const MemberCallId&) const = default;
};

/// A call to be made. `body` is used for kPrepare and kStart, `checkpoint` for
/// kStop.
struct MemberCall {
  MemberCallId id;
  InstanceId agent;
  Incarnation agent_incarnation = 0;
  std::string address;
  rpc::GangMember body;
  bool checkpoint = false;
  Instant deadline;
};

/// Workers known to the directory, by id.
using WorkerMap = std::map<WorkerId, membership::KnownWorker>;

/// Prepares, starts and stops the members of the gangs in the replicated state.
/// The coordinator has no state that must survive a change of planner: a new
/// planner starts with an empty coordinator, and every call is idempotent by
/// (job, attempt, member).
class GangCoordinator {
 public:
  /// Returns the calls to make at `now` for gangs that are placed, starting or
  /// stopping, and marks them as in flight.
  std::vector<MemberCall> Step(const scheduling::Cluster& cluster,
                               const WorkerMap& workers,
                               Instant now);

  /// Handles the reply to call `id`.
  void OnReply(const MemberCallId& id, const rpc::MemberReply& reply);

  /// Handles a failure of call `id`. The call is retried after an interval.
  void OnFailure(const MemberCallId& id);

  /// Reports on gangs in transition, derived from the replies of their members.
  std::vector<scheduling::GangReport> Reports(
      const scheduling::Cluster& cluster) const;

  /// Clears all state, when this entry starts or stops planning.
  void Reset();

 private:
  struct MemberProgress {
    bool accepted = false;
    bool call_in_flight = false;
    rpc::Refusal refusal = rpc::REFUSAL_NONE;
    Instant next_call_at;
  };
  struct Gang {
    std::uint32_t attempt = 0;
    MemberCallKind step = MemberCallKind::kPrepare;
    std::vector<MemberProgress> members;
  };

  void StepGangsInState(const scheduling::Cluster& cluster,
                        scheduling::JobState state,
                        MemberCallKind kind,
                        const WorkerMap& workers,
                        Instant now,
                        std::vector<MemberCall>& calls);
  void StepGang(const scheduling::Cluster& cluster,
                const scheduling::Job& job,
                MemberCallKind kind,
                const WorkerMap& workers,
                Instant now,
                std::vector<MemberCall>& calls);
  Gang& FindOrResetGang(const scheduling::Job& job, MemberCallKind kind);
  static std::optional<scheduling::GangPhase> PhaseOf(
      const Gang& gang,
      scheduling::JobState state);
  MemberProgress* Find(const MemberCallId& id);
  void RemoveSettled(const scheduling::Cluster& cluster);

  std::map<JobId, Gang> gangs;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_GANG_COORDINATOR_H_
