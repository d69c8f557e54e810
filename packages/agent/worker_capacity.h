#ifndef PACKAGES_AGENT_WORKER_CAPACITY_H_
#define PACKAGES_AGENT_WORKER_CAPACITY_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

#include "packages/core/ids.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::agent {

/// Identifies one member of one attempt of a job.
struct MemberKey {
  JobId job;
  std::uint32_t attempt = 0;
  std::uint32_t member = 0;

  auto operator<=>(const MemberKey&) const = default;
};

/// Total resources of a worker.
struct WorkerResources {
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;

  bool operator==(const WorkerResources&) const = default;
};

/// Resources occupied by one task. Its accelerators are the range
/// [first_accelerator, first_accelerator + accelerators).
struct TaskCell {
  std::uint32_t first_accelerator = 0;
  std::uint32_t accelerators = 0;
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;

  bool operator==(const TaskCell&) const = default;
};

/// Tracks the resources that this agent's tasks occupy on its worker, so that
/// the worker is never overcommitted, whatever an entry process requests.
class WorkerCapacity {
 public:
  /// Sets the total resources; until then every reservation fails.
  void SetSize(const WorkerResources& total);

  /// Sets whether tasks that this agent did not start are running on the
  /// worker. New reservations fail while they run, as their cells are not
  /// known.
  void SetUnknownTasksRunning(bool running) {
    this->unknown_tasks_running = running;
  }

  /// Reserves a cell; returns false when it does not fit. Repeating the
  /// reservation of a member with the same cell succeeds.
  bool Reserve(const MemberKey& key, const TaskCell& cell);

  /// Releases the cell of the member.
  void Release(const MemberKey& key);

  const std::optional<WorkerResources>& Size() const { return this->total; }

  /// Returns the sum of all reserved cells.
  WorkerResources Used() const;

 private:
  bool Overlaps(const TaskCell& cell) const;

  std::optional<WorkerResources> total;
  bool unknown_tasks_running = true;
  std::map<MemberKey, TaskCell> cells;
};

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_WORKER_CAPACITY_H_
