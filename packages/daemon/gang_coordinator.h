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

/// What the planning entry asks of a member's agent.
enum class MemberCallKind { kPrepare, kStart, kStop };

constexpr auto NamesOf(MemberCallKind) {
  return MakeNameTable<MemberCallKind>({
      {MemberCallKind::kPrepare, "prepare"},
      {MemberCallKind::kStart, "start"},
      {MemberCallKind::kStop, "stop"},
  });
}

/// Names one call; a reply is taken only for the call that is open.
struct MemberCallId {
  JobId job;
  std::uint32_t attempt = 0;
  std::uint32_t member = 0;
  MemberCallKind kind = MemberCallKind::kPrepare;

  auto operator<=>(const MemberCallId&) const = default;
};

/// A call to be made; `body` counts for kPrepare and kStart, `checkpoint` for
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

/// Workers by id, as the directory knows them.
using WorkerMap = std::map<WorkerId, membership::KnownWorker>;

/// Takes the gangs of the folded state through prepare, start and stop. It
/// holds nothing that a successor needs: a new planner starts with an empty
/// coordinator, and every call is idempotent by (job, attempt, member).
class GangCoordinator {
 public:
  /// Calls to be made at `now` for gangs that are placed, starting or stopping.
  std::vector<MemberCall> Step(const scheduling::Cluster& cluster,
                               const WorkerMap& workers,
                               Instant now);

  /// Takes the reply to call `id`.
  void OnReply(const MemberCallId& id, const rpc::MemberReply& reply);

  /// The call `id` brought no reply; it is repeated after a pause.
  void OnFailure(const MemberCallId& id);

  /// What the members' replies say about gangs in transition.
  std::vector<scheduling::GangReport> Reports(
      const scheduling::Cluster& cluster) const;

  /// Forgets everything, when this entry no longer plans.
  void Reset();

 private:
  struct MemberProgress {
    bool accepted = false;
    bool call_open = false;
    rpc::Refusal refusal = rpc::REFUSAL_NONE;
    Instant call_at;
  };
  struct Gang {
    std::uint32_t attempt = 0;
    MemberCallKind step = MemberCallKind::kPrepare;
    std::vector<MemberProgress> members;
  };

  void StepState(const scheduling::Cluster& cluster,
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
  Gang& GangOf(const scheduling::Job& job, MemberCallKind kind);
  static std::optional<scheduling::GangPhase> PhaseOf(
      const Gang& gang,
      scheduling::JobState state);
  MemberProgress* Find(const MemberCallId& id);
  void ForgetSettled(const scheduling::Cluster& cluster);

  std::map<JobId, Gang> gangs;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_GANG_COORDINATOR_H_
