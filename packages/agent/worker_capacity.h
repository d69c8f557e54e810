#ifndef PACKAGES_AGENT_WORKER_CAPACITY_H_
#define PACKAGES_AGENT_WORKER_CAPACITY_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

#include "packages/core/ids.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::agent {

/// One member of one attempt of a job.
struct MemberKey {
  JobId job;
  std::uint32_t attempt = 0;
  std::uint32_t member = 0;

  auto operator<=>(const MemberKey&) const = default;
};

/// What a worker has in total.
struct WorkerSize {
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;

  bool operator==(const WorkerSize&) const = default;
};

/// What one task occupies: accelerators [first, first + count).
struct TaskCell {
  std::uint32_t first_accelerator = 0;
  std::uint32_t accelerators = 0;
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;

  bool operator==(const TaskCell&) const = default;
};

/// What the tasks of this agent occupy on its worker, so that the worker never
/// gets more than fits, whatever an entry asks for.
class WorkerCapacity {
 public:
  /// Sets what the worker has; until then nothing fits.
  void SetSize(const WorkerSize& total);

  /// Whether tasks that this agent did not start run on the worker. Nothing
  /// fits then, as their cells are not known.
  void SetForeignTasks(bool running) { this->foreign = running; }

  /// Occupies a cell; false when it does not fit. The same cell for the same
  /// member fits again.
  bool Reserve(const MemberKey& key, const TaskCell& cell);

  /// Frees what the member occupies.
  void Release(const MemberKey& key);

  const std::optional<WorkerSize>& Size() const { return this->total; }

  /// The sum of all cells.
  WorkerSize Used() const;

 private:
  bool Overlaps(const TaskCell& cell) const;

  std::optional<WorkerSize> total;
  bool foreign = true;
  std::map<MemberKey, TaskCell> cells;
};

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_WORKER_CAPACITY_H_
