#include "packages/workload/capacity_map.h"

#include "packages/core/hash.h"
#include "packages/workload/crash_isolation.h"

namespace carobrill::workload {

std::size_t StartOrderBytes(const Submission& submission,
                            const TaskState& task) {
  /// Names, numbers and demand of the task.
  constexpr std::size_t kFixedBytes = 256;
  return kFixedBytes + submission.spec.payload.size() + task.checkpoint.size();
}

// Workers and runs are both ordered by agent, so one walk over both replaces a
// look-up for each run.
CapacityMap::CapacityMap(const Workers& workers,
                         const RunIndex& runs,
                         Instant now) {
  this->entries.reserve(workers.size());
  auto runs_here = runs.ByAgent().begin();
  for (const auto& [agent, worker] : workers) {
    const WorkerIncarnation& incarnation = worker.description.incarnation;
    if (incarnation.id.empty()) {
      continue;
    }
    WorkerCapacity entry;
    entry.worker = &worker;
    entry.free = worker.description.capacity;
    entry.future_free = entry.free;
    entry.schedulable = worker.IsSchedulable(now);
    entry.avoided = now < worker.avoid_until;
    while (runs_here != runs.ByAgent().end() && runs_here->first < agent) {
      ++runs_here;
    }
    if (runs_here != runs.ByAgent().end() && runs_here->first == agent) {
      entry.runs = &runs_here->second;
    }
    this->entries.push_back(entry);
    ServiceCapacity& service = this->services[worker.description.service];
    if (entry.schedulable) {
      service.total += worker.description.capacity;
    }
    if (entry.runs == nullptr) {
      continue;
    }
    for (const ActiveRun& run : *entry.runs) {
      if (run.task->worker != incarnation) {
        continue;
      }
      const Resources demand = run.spec->PlacementDemand();
      this->Reserve(this->entries.size() - 1, demand);
      if (IsOnProbation(*run.task, now)) {
        this->MarkSuspect(this->entries.size() - 1, run.job->submission.id,
                          run.task->worker_crashes);
      }
      if (run.task->phase == TaskPhase::kStarting) {
        this->AddStart(this->entries.size() - 1, run.job->submission,
                       *run.task);
      }
      if (run.task->phase == TaskPhase::kStopping) {
        this->MarkReleasing(this->entries.size() - 1, demand);
        continue;
      }
      // What runs in an evacuated domain takes nothing of `total`.
      if (worker.evacuated) {
        continue;
      }
      service.used += demand;
      if (run.job->submission.priority == 0) {
        service.used_by_urgent += demand;
      }
    }
  }
}

const std::vector<std::uint32_t>& CapacityMap::RackNumbers() {
  if (this->rack_numbers.size() == this->entries.size()) {
    return this->rack_numbers;
  }
  std::map<RackId, std::uint32_t> numbers;
  for (const WorkerCapacity& entry : this->entries) {
    numbers.emplace(entry.worker->description.rack, 0);
  }
  std::uint32_t next = 0;
  for (auto& [rack, number] : numbers) {
    number = next++;
  }
  for (const WorkerCapacity& entry : this->entries) {
    this->rack_numbers.push_back(numbers.at(entry.worker->description.rack));
  }
  return this->rack_numbers;
}

void CapacityMap::HoldHeadroom(const ServiceId& service, double share) {
  std::map<std::pair<std::uint64_t, RackId>, std::vector<std::size_t>> racks;
  for (std::size_t i = 0; i < this->entries.size(); ++i) {
    const WorkerDescription& worker = this->entries[i].worker->description;
    if (this->entries[i].schedulable && worker.service == service) {
      racks[{HashOf(worker.rack.value), worker.rack}].push_back(i);
    }
  }
  const Resources& total = this->services[service].total;
  Resources held;
  for (const auto& [rack, workers] : racks) {
    if (DominantShare(held, total) >= share) {
      return;
    }
    for (const std::size_t i : workers) {
      if (this->entries[i].worker->speed < kSlowWorkerSpeed) {
        continue;
      }
      this->entries[i].headroom = true;
      held += this->entries[i].worker->description.capacity;
    }
  }
}

void CapacityMap::Reserve(std::size_t index, const Resources& demand) {
  this->entries[index].free -= demand;
  this->entries[index].future_free -= demand;
  this->entries[index].occupied = true;
}

void CapacityMap::MarkSuspect(std::size_t index,
                              const JobId& job,
                              std::uint32_t worker_crashes) {
  WorkerCapacity& entry = this->entries[index];
  entry.suspect_job = &job;
  entry.avoided = true;
  entry.exclusive = entry.exclusive || IsLastAttempt(worker_crashes);
}

void CapacityMap::AddStart(std::size_t index,
                           const Submission& submission,
                           const TaskState& task) {
  const std::size_t bytes = StartOrderBytes(submission, task);
  this->entries[index].starting_bytes += bytes;
  this->starting_bytes += bytes;
  ++this->starts_of_job[submission.id];
}

std::size_t CapacityMap::CountStarts(const JobId& job) const {
  const auto starts = this->starts_of_job.find(job);
  return starts == this->starts_of_job.end() ? 0 : starts->second;
}

void CapacityMap::MarkReleasing(std::size_t index, const Resources& demand) {
  this->entries[index].future_free += demand;
}

}  // namespace carobrill::workload
