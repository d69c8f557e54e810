#include "packages/daemon/worker_liveness.h"

#include <algorithm>
#include <cstddef>

namespace carobrill::daemon {
namespace {

using membership::Liveness;

bool IsReachable(const WorkerMap& known_workers, const WorkerId& id) {
  const auto found = known_workers.find(id);
  return found != known_workers.end() &&
         found->second.liveness != Liveness::kDead;
}

std::set<RegionId> RegionsWithLiveEntries(
    const std::vector<membership::KnownEntry>& entries) {
  std::set<RegionId> regions;
  for (const auto& entry : entries) {
    if (entry.liveness == Liveness::kLive) {
      regions.insert(RegionId(entry.region));
    }
  }
  return regions;
}

// True if this entry knows other entries and none of them is live.
bool KnowsNoLivePeer(const std::vector<membership::KnownEntry>& entries) {
  const auto live = std::ranges::count_if(entries, [](const auto& entry) {
    return entry.liveness == Liveness::kLive;
  });
  return entries.size() > 1 && live <= 1;
}

}  // namespace

std::set<WorkerId> WorkerLiveness::FindLost(
    const std::map<WorkerId, scheduling::Worker>& registered,
    const WorkerMap& known_workers,
    const std::vector<membership::KnownEntry>& entries,
    Instant now) {
  std::set<RegionId> reachable_regions = RegionsWithLiveEntries(entries);
  std::size_t silent_count = 0;
  for (const auto& [id, worker] : registered) {
    if (IsReachable(known_workers, id)) {
      this->silent_since.erase(id);
      reachable_regions.insert(worker.region);
    } else if (worker.state != scheduling::WorkerState::kLost) {
      this->silent_since.try_emplace(id, now);
      ++silent_count;
    }
  }
  const bool isolated =
      KnowsNoLivePeer(entries) && silent_count * 2 > registered.size();
  std::set<WorkerId> lost;
  for (const auto& [id, since] : this->silent_since) {
    const auto worker = registered.find(id);
    if (worker == registered.end()) {
      continue;
    }
    const bool partition =
        this->InPartition(worker->second.region, reachable_regions, isolated);
    const auto limit_ms = partition ? this->settings.partition_timeout_ms
                                    : this->settings.silence_timeout_ms;
    if (since.After(limit_ms) <= now) {
      lost.insert(id);
    }
  }
  return lost;
}

bool WorkerLiveness::InPartition(const RegionId& region,
                                 const std::set<RegionId>& reachable_regions,
                                 bool isolated) const {
  return isolated || (region != this->settings.own_region &&
                      !reachable_regions.contains(region));
}

}  // namespace carobrill::daemon
