#include "packages/workload/capacity_map.h"

namespace carobrill::workload {

RoomMap::RoomMap(const Workers& workers, const Jobs& jobs, Instant now) {
  for (const auto& [agent, worker] : workers) {
    if (worker.description.life.id.empty()) {
      continue;
    }
    this->indexes[worker.description.life] = this->rooms.size();
    WorkerRoom room;
    room.worker = &worker;
    room.free = worker.description.capacity;
    room.soon = room.free;
    room.usable = worker.Usable(now);
    room.avoided = now < worker.avoid_until;
    this->rooms.push_back(room);
  }
  for (const auto& [id, job] : jobs) {
    for (const Occurrence& occurrence : job.occurrences) {
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        const Resources demand = job.submission.spec.steps[s].Room();
        for (const TaskState& task : occurrence.steps[s].tasks) {
          const std::size_t* index =
              task.Occupies() ? this->IndexOf(task.worker) : nullptr;
          if (index == nullptr) {
            continue;
          }
          this->Take(*index, demand);
          if (task.phase == TaskPhase::kStopping) {
            this->Release(*index, demand);
          }
        }
      }
    }
  }
}

const std::size_t* RoomMap::IndexOf(const WorkerLife& life) const {
  const auto found = this->indexes.find(life);
  return found == this->indexes.end() ? nullptr : &found->second;
}

void RoomMap::Take(std::size_t index, const Resources& demand) {
  this->rooms[index].free -= demand;
  this->rooms[index].soon -= demand;
}

void RoomMap::Release(std::size_t index, const Resources& demand) {
  this->rooms[index].soon += demand;
}

}  // namespace carobrill::workload
