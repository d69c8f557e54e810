#include "packages/scheduling/reservation.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace carobrill::scheduling {

namespace {

struct TimedCell {
  Instant free_at;
  Cell cell;

  auto operator<=>(const TimedCell&) const = default;
};

Instant FreeAt(const CellAllocator& allocator, const Cell& cell, Instant now) {
  Instant latest = now;
  for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
    const JobHandle holder = allocator.GetSlot(cell.worker, at).holder;
    if (holder != kNoJob) {
      latest =
          std::max(latest, ExpectedEnd(allocator.GetAllocation(holder), now));
    }
  }
  return latest;
}

/// Identifies the worker, rack or failure domain within which a gang must be
/// adjacent.
std::uint32_t PlaceOf(const AllocatorWorker& data,
                      WorkerIndex worker,
                      records::Adjacency adjacency) {
  switch (adjacency) {
    case records::ADJACENCY_WORKER:
      return worker;
    case records::ADJACENCY_RACK:
      return data.rack;
    case records::ADJACENCY_FAILURE_DOMAIN:
      return data.domain;
    default:
      return 0;
  }
}

}  // namespace

Instant ExpectedEnd(const Allocation& allocation, Instant now) {
  if (allocation.stopping) {
    return now;
  }
  if (allocation.estimated_end > now) {
    return allocation.estimated_end;
  }
  constexpr std::int64_t kMinOverrunMs = 1000;
  return now.After(
      std::max(kMinOverrunMs, now.ms - allocation.estimated_end.ms));
}

std::optional<Reservation> Reserve(const CellAllocator& allocator,
                                   const Demand& demand,
                                   Instant now) {
  std::map<std::uint32_t, std::vector<TimedCell>> places;
  for (WorkerIndex worker = 0; worker < allocator.WorkerCount(); ++worker) {
    const AllocatorWorker& data = allocator.GetWorker(worker);
    const std::uint32_t count = data.ready ? CellFor(data, demand.size) : 0;
    for (std::uint32_t first = 0; count != 0 && first < data.accelerators;
         first += count) {
      const Cell cell{worker, first, count};
      places[PlaceOf(data, worker, demand.adjacency)].push_back(
          {FreeAt(allocator, cell, now), cell});
    }
  }
  std::optional<Reservation> best;
  std::vector<TimedCell>* best_cells = nullptr;
  for (auto& [place, cells] : places) {
    if (cells.size() < demand.members) {
      continue;
    }
    const auto last = cells.begin() + (demand.members - 1);
    std::nth_element(cells.begin(), last, cells.end());
    if (!best.has_value() || last->free_at < best->free_at) {
      best = Reservation{{}, last->free_at};
      best_cells = &cells;
    }
  }
  if (best.has_value()) {
    best->masks.resize(allocator.WorkerCount(), 0);
    for (std::uint32_t i = 0; i < demand.members; ++i) {
      const Cell& cell = (*best_cells)[i].cell;
      best->masks[cell.worker] |= MaskOf(cell.first, cell.count);
    }
  }
  return best;
}

}  // namespace carobrill::scheduling
