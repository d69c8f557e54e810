#ifndef PACKAGES_AGENT_GANG_ACTION_H_
#define PACKAGES_AGENT_GANG_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "packages/agent/worker_capacity.h"
#include "packages/core/name_table.h"
#include "packages/core/time.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::agent {

/// Start a member's task on the worker; the result goes to OnStarted.
struct StartTask {
  MemberKey key;
  rpc::GangMember spec;
  std::int64_t lease_ms = 0;
};

/// Renew the lease of the task; the result is not reported back.
struct RenewTask {
  MemberKey key;
  std::int64_t lease_ms = 0;
};

/// Checkpoint the task; completion goes to OnCheckpointed.
struct CheckpointTask {
  MemberKey key;
};

/// Stop the task; the worker's task list shows when it has ended.
struct StopTask {
  MemberKey key;
};

/// Send a heartbeat to the watcher; the reply goes to OnHeartbeatReply.
struct SendHeartbeat {
  MemberKey key;
  std::string address;
  rpc::MemberAliveRequest request;
};

/// A heartbeat that was sent: the phase that it reported, and when.
struct SentHeartbeat {
  rpc::GangPhase phase = rpc::GANG_PHASE_UNSPECIFIED;
  Instant at;
};

/// Report the gang to an entry process; OnReportRecorded is called when it has
/// recorded the report.
struct SendReport {
  rpc::GangReport report;
};

/// Actions that the agent must perform in order, before it waits for anything.
using GangAction = std::variant<StartTask,
                                RenewTask,
                                CheckpointTask,
                                StopTask,
                                SendHeartbeat,
                                SendReport>;
using GangActions = std::vector<GangAction>;

/// Result of the call that starts a task.
enum class StartResult {
  kStarted,
  /// The worker refused the call; the task is not running.
  kRefused,
  /// No answer arrived; the task may be running.
  kUnknown,
};

constexpr auto NamesOf(StartResult) {
  return MakeNameTable<StartResult>({{StartResult::kStarted, "started"},
                                     {StartResult::kRefused, "refused"},
                                     {StartResult::kUnknown, "unknown"}});
}

/// State of a task in the worker's task list; kMissing when it is not listed.
enum class TaskState {
  kRunning,
  kSucceeded,
  kFailed,
  kStopped,
  kLeaseExpired,
  kMissing,
};

constexpr auto NamesOf(TaskState) {
  return MakeNameTable<TaskState>({{TaskState::kRunning, "running"},
                                   {TaskState::kSucceeded, "succeeded"},
                                   {TaskState::kFailed, "failed"},
                                   {TaskState::kStopped, "stopped"},
                                   {TaskState::kLeaseExpired, "lapsed"},
                                   {TaskState::kMissing, "missing"}});
}

/// A task in the worker's task list.
struct ListedTask {
  TaskState state = TaskState::kMissing;
  std::string checkpoint;
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;
  /// When the usage was measured (boot clock).
  Instant sampled_at;
  bool has_usage = false;
};

/// Intervals and timeouts of the gang protocol on the agent, in milliseconds.
struct GangTiming {
  std::int64_t task_lease_ms = 3'000;
  std::int64_t renewal_interval_ms = 1'000;
  std::int64_t heartbeat_interval_ms = 500;
  std::int64_t heartbeat_timeout_ms = 2'000;
  /// Timeout of a call to the worker.
  std::int64_t worker_call_timeout_ms = 1'000;
  std::int64_t checkpoint_timeout_ms = 5'000;
  /// Interval at which a report is repeated until an entry process records it.
  std::int64_t report_interval_ms = 500;

  /// Returns the heartbeat interval of a gang with `members` members.
  std::int64_t HeartbeatIntervalMs(std::uint32_t members) const;
};

/// Returns the name of a member's task on the worker. The name does not depend
/// on the incarnation of the agent, so that the worker starts the task at most
/// once.
std::string TaskNameOf(const MemberKey& key);

MemberKey KeyOf(const rpc::GangMember& spec);

/// Returns the resources that a member occupies.
TaskCell CellOf(const rpc::GangMember& spec);

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_GANG_ACTION_H_
