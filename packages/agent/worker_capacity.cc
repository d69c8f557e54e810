#include "packages/agent/worker_capacity.h"

#include <algorithm>

namespace carobrill::agent {

void WorkerCapacity::SetSize(const WorkerResources& total) {
  this->total = total;
}

// The sums are computed in 64 bits, so that a large request cannot overflow.
bool WorkerCapacity::Reserve(const MemberKey& key, const TaskCell& cell) {
  const auto existing = this->cells.find(key);
  if (existing != this->cells.end()) {
    return existing->second == cell;
  }
  if (!this->total.has_value() || this->unknown_tasks_running ||
      this->Overlaps(cell)) {
    return false;
  }
  const WorkerResources used = this->Used();
  const std::uint64_t past_last =
      std::uint64_t{cell.first_accelerator} + cell.accelerators;
  if (past_last > this->total->accelerators ||
      std::uint64_t{used.cores_milli} + cell.cores_milli >
          this->total->cores_milli ||
      std::uint64_t{used.memory_mb} + cell.memory_mb > this->total->memory_mb) {
    return false;
  }
  this->cells.emplace(key, cell);
  return true;
}

void WorkerCapacity::Release(const MemberKey& key) {
  this->cells.erase(key);
}

WorkerResources WorkerCapacity::Used() const {
  WorkerResources used;
  for (const auto& [key, cell] : this->cells) {
    used.cores_milli += cell.cores_milli;
    used.memory_mb += cell.memory_mb;
    used.accelerators += cell.accelerators;
  }
  return used;
}

bool WorkerCapacity::Overlaps(const TaskCell& cell) const {
  const std::uint64_t first = cell.first_accelerator;
  const std::uint64_t past_last = first + cell.accelerators;
  return std::any_of(
      this->cells.begin(), this->cells.end(),
      [first, past_last](const auto& item) {
        const std::uint64_t start = item.second.first_accelerator;
        return first < start + item.second.accelerators && start < past_last;
      });
}

}  // namespace carobrill::agent
