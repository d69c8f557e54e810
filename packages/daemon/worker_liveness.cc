#include "packages/daemon/worker_liveness.h"

#include <algorithm>
#include <cstddef>

namespace carobrill::daemon {
namespace {

using membership::Liveness;

bool IsHeard(const WorkerMap& heard, const WorkerId& id) {
  const auto found = heard.find(id);
  return found != heard.end() && found->second.liveness != Liveness::kDead;
}

std::set<RegionId> RegionsOfLive(
    const std::vector<membership::KnownEntry>& entries) {
  std::set<RegionId> regions;
  for (const auto& entry : entries) {
    if (entry.liveness == Liveness::kLive) {
      regions.insert(RegionId(entry.region));
    }
  }
  return regions;
}

// True when this entry knows of others and hears none of them.
bool HearsNoOther(const std::vector<membership::KnownEntry>& entries) {
  const auto live = std::ranges::count_if(entries, [](const auto& entry) {
    return entry.liveness == Liveness::kLive;
  });
  return entries.size() > 1 && live <= 1;
}

}  // namespace

std::set<WorkerId> WorkerLiveness::Lost(
    const std::map<WorkerId, scheduling::Worker>& registered,
    const WorkerMap& heard,
    const std::vector<membership::KnownEntry>& entries,
    Instant now) {
  std::set<RegionId> audible = RegionsOfLive(entries);
  std::size_t silent = 0;
  for (const auto& [id, worker] : registered) {
    if (IsHeard(heard, id)) {
      this->silent_since.erase(id);
      audible.insert(worker.region);
    } else if (worker.state != scheduling::WorkerState::kLost) {
      this->silent_since.try_emplace(id, now);
      ++silent;
    }
  }
  const bool isolated = HearsNoOther(entries) && silent * 2 > registered.size();
  std::set<WorkerId> lost;
  for (const auto& [id, since] : this->silent_since) {
    const auto worker = registered.find(id);
    if (worker == registered.end()) {
      continue;
    }
    const bool partition =
        this->InPartition(worker->second.region, audible, isolated);
    const auto limit_ms =
        partition ? this->settings.partition_ms : this->settings.silent_ms;
    if (since.After(limit_ms) <= now) {
      lost.insert(id);
    }
  }
  return lost;
}

bool WorkerLiveness::InPartition(const RegionId& region,
                                 const std::set<RegionId>& audible,
                                 bool isolated) const {
  return isolated ||
         (region != this->settings.own_region && !audible.contains(region));
}

}  // namespace carobrill::daemon
