#include "packages/workload/capacity_map.h"

namespace carobrill::workload {

CapacityMap::CapacityMap(const Workers& workers,
                         const Jobs& jobs,
                         Instant now) {
  for (const auto& [agent, worker] : workers) {
    if (worker.description.incarnation.id.empty()) {
      continue;
    }
    this->indexes[worker.description.incarnation] = this->entries.size();
    WorkerCapacity entry;
    entry.worker = &worker;
    entry.free = worker.description.capacity;
    entry.future_free = entry.free;
    entry.schedulable = worker.IsSchedulable(now);
    entry.avoided = now < worker.avoid_until;
    this->entries.push_back(entry);
  }
  for (const auto& [id, job] : jobs) {
    for (const Occurrence& occurrence : job.occurrences) {
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        const Resources demand = job.submission.spec.steps[s].PlacementDemand();
        for (const TaskState& task : occurrence.steps[s].tasks) {
          const std::size_t* index =
              task.HoldsResources() ? this->IndexOf(task.worker) : nullptr;
          if (index == nullptr) {
            continue;
          }
          this->Reserve(*index, demand);
          if (task.phase == TaskPhase::kStopping) {
            this->MarkReleasing(*index, demand);
          }
        }
      }
    }
  }
}

const std::size_t* CapacityMap::IndexOf(
    const WorkerIncarnation& incarnation) const {
  const auto found = this->indexes.find(incarnation);
  return found == this->indexes.end() ? nullptr : &found->second;
}

void CapacityMap::Reserve(std::size_t index, const Resources& demand) {
  this->entries[index].free -= demand;
  this->entries[index].future_free -= demand;
}

void CapacityMap::MarkReleasing(std::size_t index, const Resources& demand) {
  this->entries[index].future_free += demand;
}

}  // namespace carobrill::workload
