#include "packages/scheduling/cell_allocator.h"

#include <algorithm>
#include <cassert>

namespace carobrill::scheduling {
std::uint32_t CellFor(const AllocatorWorker& worker, const MemberSize& size) {
  const std::uint64_t n = worker.accelerators;
  for (std::uint32_t count = 1; count <= worker.accelerators; count *= 2) {
    const bool fits = count >= size.accelerators &&
                      std::uint64_t{worker.cores_milli} * count >=
                          std::uint64_t{size.cores_milli} * n &&
                      std::uint64_t{worker.memory_mb} * count >=
                          std::uint64_t{size.memory_mb} * n;
    if (fits) {
      return count;
    }
  }
  return 0;
}

LevelCounts CountUnmet(const LevelCounts& needs,
                       const CellCounts& free,
                       const std::map<std::uint32_t, std::uint32_t>& racks,
                       std::uint32_t rack_level) {
  LevelCounts unmet{};
  CellCounts cells = free;
  std::uint32_t racks_needed = needs[kLevels];
  // Uses the smallest sufficient racks first, because a larger rack splits into
  // every combination of cells that a smaller one does.
  for (const auto& [size, count] : racks) {
    const std::uint32_t used = std::min(count, racks_needed);
    racks_needed -= used;
    cells[rack_level] += (count - used) * size;
  }
  unmet[kLevels] = racks_needed;
  std::uint32_t surplus = 0;
  for (std::uint32_t level = kLevels; level-- > 0;) {
    const std::uint32_t available = cells[level] + 2 * surplus;
    unmet[level] = needs[level] > available ? needs[level] - available : 0;
    surplus = available > needs[level] ? available - needs[level] : 0;
  }
  return unmet;
}

CellAllocator::CellAllocator() {
  // Handle 0 is kNoJob.
  this->allocations.emplace_back();
}

WorkerIndex CellAllocator::AddWorker(const AllocatorWorker& worker) {
  WorkerIndex index = 0;
  if (this->unused_workers.empty()) {
    index = static_cast<WorkerIndex>(this->workers.size());
    this->workers.emplace_back();
    this->slots.emplace_back();
    this->free.AddWorker();
    this->evictable.AddWorker();
    this->unbound.AddWorker();
  } else {
    index = this->unused_workers.back();
    this->unused_workers.pop_back();
  }
  this->workers[index] = worker;
  if (this->racks.size() <= worker.rack) {
    this->racks.resize(worker.rack + 1);
    this->whole_rack_size.resize(worker.rack + 1, 0);
  }
  this->racks[worker.rack].push_back(index);
  this->free.SetLocation(index, worker.rack, worker.domain);
  this->evictable.SetLocation(index, worker.rack, worker.domain);
  this->unbound.SetLocation(index, worker.rack, worker.domain);
  this->Refresh(index);
  this->RefreshRack(worker.rack);
  this->DeriveStandardRack();
  this->RefreshUnmet();
  return index;
}

void CellAllocator::RemoveWorker(WorkerIndex index) {
  this->AddUnavailableBound(index, ~0U);
  AllocatorWorker& worker = this->workers[index];
  this->slots[index] = {};
  worker.ready = false;
  worker.probation = false;
  worker.accelerators = 0;
  this->Refresh(index);
  std::erase(this->racks[worker.rack], index);
  if (!this->racks[worker.rack].empty()) {
    // The binding of a whole rack continues on its other workers.
    LevelCounts rest{};
    rest[kLevels] =
        this->UnavailableBoundAt(this->racks[worker.rack].front())[kLevels];
    detail::AddCounts(this->unavailable_bound, rest, 1);
  }
  this->RefreshRack(worker.rack);
  this->unused_workers.push_back(index);
  this->DeriveStandardRack();
  this->RefreshUnmet();
}

void CellAllocator::SetAvailability(WorkerIndex index,
                                    bool ready,
                                    bool probation) {
  auto& worker = this->workers[index];
  if (worker.ready == ready && worker.probation == probation) {
    return;
  }
  this->AddUnavailableBound(index, ~0U);
  worker.ready = ready;
  worker.probation = probation;
  this->AddUnavailableBound(index, 1);
  this->Refresh(index);
  this->RefreshUnmet();
}

AccountIndex CellAllocator::AddAccount() {
  this->unbound_guarantees.emplace_back();
  return static_cast<AccountIndex>(this->unbound_guarantees.size() - 1);
}

void CellAllocator::RestoreGuarantees(
    const std::vector<LevelCounts>& guarantees) {
  this->unbound_guarantees = guarantees;
  this->needs = {};
  for (const auto& guarantee : guarantees) {
    detail::AddCounts(this->needs, guarantee, 1);
  }
}

std::vector<JobHandle> CellAllocator::SetGuarantees(
    const std::vector<LevelCounts>& guarantees,
    const std::vector<GuaranteedWork>& work) {
  for (auto& worker : this->slots) {
    for (auto& slot : worker) {
      slot.binding = {};
    }
  }
  this->RestoreGuarantees(guarantees);
  this->FinishRestore();
  std::vector<JobHandle> demoted;
  for (const auto& [handle, cells, preemptible] : work) {
    const AccountIndex account = this->allocations[handle].account;
    std::vector<Cell> bound;
    for (const Cell& cell : cells) {
      if (this->Bind(account, cell, false)) {
        bound.push_back(cell);
      }
    }
    if (bound.size() == cells.size()) {
      continue;
    }
    if (preemptible) {
      this->allocations[handle].borrowed = true;
      this->allocations[handle].evictable = true;
      demoted.push_back(handle);
      std::for_each(bound.begin(), bound.end(),
                    [&](const Cell& cell) { this->UnbindIfIdle(cell); });
      continue;
    }
    for (const Cell& cell : cells) {
      const std::vector<Cell> extent{cell};
      if (this->IsUnbound(extent)) {
        const auto level = static_cast<std::uint8_t>(LevelOf(cell.count));
        this->SetBinding(extent, SlotBinding{account, level, false});
      }
    }
  }
  this->FinishRestore();
  return demoted;
}

void CellAllocator::RestoreBinding(WorkerIndex worker,
                                   std::uint32_t at,
                                   const SlotBinding& binding) {
  this->slots[worker][at].binding = binding;
}

void CellAllocator::FinishRestore() {
  for (WorkerIndex worker = 0; worker < this->workers.size(); ++worker) {
    this->Refresh(worker);
  }
  this->RecountUnavailableBound();
  this->RefreshUnmet();
}

void CellAllocator::RecountUnavailableBound() {
  this->unavailable_bound = {};
  for (const auto& rack : this->racks) {
    for (const WorkerIndex worker : rack) {
      LevelCounts unavailable = this->UnavailableBoundAt(worker);
      // UnavailableBoundAt counts the rack's cell for every worker, so it is
      // added only for the first one.
      unavailable[kLevels] = worker == rack.front() ? unavailable[kLevels] : 0;
      detail::AddCounts(this->unavailable_bound, unavailable, 1);
    }
  }
}

void CellAllocator::RestoreOccupant(const Cell& cell, JobHandle handle) {
  for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
    Slot& slot = this->slots[cell.worker][at];
    slot.stopping_holder = slot.holder;
    slot.holder = handle;
  }
  this->Refresh(cell.worker);
}

void CellAllocator::SetStandardRack(std::uint32_t rack_size,
                                    std::uint32_t accelerators) {
  this->declared_rack_workers = rack_size;
  this->declared_rack_accelerators = accelerators;
  this->rack_workers = 0;
  this->DeriveStandardRack();
  this->RefreshUnmet();
}

void CellAllocator::DeriveStandardRack() {
  std::uint32_t size = this->declared_rack_workers;
  std::uint32_t accelerators = this->declared_rack_accelerators;
  if (size == 0) {
    for (const auto& rack : this->racks) {
      size = std::max(size, static_cast<std::uint32_t>(rack.size()));
    }
    for (const auto& worker : this->workers) {
      accelerators = std::max(accelerators, worker.accelerators);
    }
  }
  const std::uint32_t level = accelerators == 0 ? 0 : LevelOf(accelerators);
  if (size == this->rack_workers && level == this->rack_level) {
    return;
  }
  this->rack_workers = size;
  this->rack_level = level;
  this->RecountUnavailableBound();
  for (RackIndex rack = 0; rack < this->racks.size(); ++rack) {
    this->RefreshRack(rack);
  }
}

JobHandle CellAllocator::AddAllocation(const Allocation& allocation) {
  if (!this->unused_handles.empty()) {
    const JobHandle handle = this->unused_handles.back();
    this->unused_handles.pop_back();
    this->allocations[handle] = allocation;
    return handle;
  }
  this->allocations.push_back(allocation);
  return static_cast<JobHandle>(this->allocations.size() - 1);
}

void CellAllocator::RemoveAllocation(JobHandle handle) {
  this->allocations[handle] = {};
  this->unused_handles.push_back(handle);
}

void CellAllocator::SetStopping(JobHandle handle, std::span<const Cell> cells) {
  this->allocations[handle].stopping = true;
  this->allocations[handle].evictable = true;
  for (const Cell& cell : cells) {
    this->Refresh(cell.worker);
  }
}

bool CellAllocator::IsClaimable(const Slot& slot) const {
  // A gang is committed only after its victims have stopped, so a stopping
  // holder never covers another stopping job, and two layers are enough.
  return slot.holder == kNoJob || this->allocations[slot.holder].evictable;
}

bool CellAllocator::CanClaim(const Slot& slot,
                             std::span<const JobHandle> victims) const {
  const auto listed = [&](JobHandle handle) {
    return handle == kNoJob ||
           std::find(victims.begin(), victims.end(), handle) != victims.end();
  };
  return this->IsClaimable(slot) && listed(slot.holder) &&
         listed(slot.stopping_holder);
}

records::Verdict CellAllocator::Place(JobHandle handle,
                                      std::span<const Cell> cells,
                                      std::span<const JobHandle> victims) {
  for (const Cell& cell : cells) {
    for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
      if (!this->CanClaim(this->slots[cell.worker][at], victims)) {
        return records::Verdict::kCellTaken;
      }
    }
  }
  const Allocation& allocation = this->allocations[handle];
  if (!allocation.borrowed) {
    for (std::size_t i = 0; i < cells.size(); ++i) {
      if (!this->Bind(allocation.account, cells[i], true)) {
        for (const Cell& cell : cells.first(i)) {
          this->UnbindIfIdle(cell);
        }
        return records::Verdict::kBreaksGuarantee;
      }
    }
  }
  for (const Cell& cell : cells) {
    for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
      Slot& slot = this->slots[cell.worker][at];
      const Allocation& previous = this->allocations[slot.holder];
      if (slot.holder != kNoJob && previous.committed) {
        slot.stopping_holder = slot.holder;
      }
      slot.holder = handle;
    }
    this->UnbindIfIdle(cell);
    this->Refresh(cell.worker);
  }
  this->RefreshUnmet();
  return records::Verdict::kAccepted;
}

void CellAllocator::Vacate(JobHandle handle, std::span<const Cell> cells) {
  for (const Cell& cell : cells) {
    for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
      Slot& slot = this->slots[cell.worker][at];
      if (slot.stopping_holder == handle) {
        slot.stopping_holder = kNoJob;
      } else if (slot.holder == handle) {
        slot.holder = slot.stopping_holder;
        slot.stopping_holder = kNoJob;
      }
    }
    this->UnbindIfIdle(cell);
    this->Refresh(cell.worker);
  }
  this->RefreshUnmet();
}

}  // namespace carobrill::scheduling
