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

/// Start the task of a member at the worker; answered by OnStarted.
struct StartTask {
  MemberKey key;
  rpc::GangMember spec;
  std::int64_t lease_ms = 0;
};

/// Renew the lease of the task; a failure needs no answer.
struct RenewTask {
  MemberKey key;
  std::int64_t lease_ms = 0;
};

/// Checkpoint the task; answered by OnCheckpointed.
struct CheckpointTask {
  MemberKey key;
};

/// Stop the task; the task list tells when it has ended.
struct StopTask {
  MemberKey key;
};

/// Send a heartbeat to the watcher; a reply goes to OnAliveReply.
struct SendAlive {
  MemberKey key;
  std::string address;
  rpc::MemberAliveRequest request;
};

/// Report the gang to an entry; a recorded report goes to OnReportRecorded.
struct SendReport {
  rpc::GangReport report;
};

/// What the agent is to do next, in order, before any wait.
using GangAction = std::variant<StartTask,
                                RenewTask,
                                CheckpointTask,
                                StopTask,
                                SendAlive,
                                SendReport>;
using GangActions = std::vector<GangAction>;

/// What became of the call that starts a task.
enum class StartResult {
  kStarted,
  /// The worker refused; the task does not run.
  kRefused,
  /// No answer; the task may run.
  kUnknown,
};

constexpr auto NamesOf(StartResult) {
  return MakeNameTable<StartResult>({{StartResult::kStarted, "started"},
                                     {StartResult::kRefused, "refused"},
                                     {StartResult::kUnknown, "unknown"}});
}

/// State of a task as the worker lists it; kMissing when it is not listed.
enum class TaskState {
  kRunning,
  kSucceeded,
  kFailed,
  kStopped,
  kLapsed,
  kMissing,
};

constexpr auto NamesOf(TaskState) {
  return MakeNameTable<TaskState>({{TaskState::kRunning, "running"},
                                   {TaskState::kSucceeded, "succeeded"},
                                   {TaskState::kFailed, "failed"},
                                   {TaskState::kStopped, "stopped"},
                                   {TaskState::kLapsed, "lapsed"},
                                   {TaskState::kMissing, "missing"}});
}

/// A task in the worker's list.
struct ListedTask {
  TaskState state = TaskState::kMissing;
  std::string checkpoint;
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;
  /// When the usage was measured (boot clock).
  Instant sampled_at;
  bool has_usage = false;
};

/// Times of the gang protocol at the agent, in milliseconds.
struct GangTiming {
  std::int64_t task_lease_ms = 3'000;
  std::int64_t renew_ms = 1'000;
  std::int64_t alive_ms = 500;
  std::int64_t silence_ms = 2'000;
  /// Time limit of a call to the worker.
  std::int64_t worker_call_ms = 1'000;
  std::int64_t checkpoint_ms = 5'000;
  /// Interval between reports that no entry has recorded.
  std::int64_t report_ms = 500;

  /// The heartbeat interval of a gang with `members` members.
  std::int64_t AliveMs(std::uint32_t members) const;
};

/// The name of a member's task at the worker. It is the same in every
/// incarnation of the agent, so that the worker starts it at most once.
std::string TaskNameOf(const MemberKey& key);

/// The key of a member.
MemberKey KeyOf(const rpc::GangMember& spec);

/// What a member occupies.
TaskCell CellOf(const rpc::GangMember& spec);

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_GANG_ACTION_H_
