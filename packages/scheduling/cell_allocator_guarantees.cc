// Binding of guaranteed cells to physical cells, and the counts of guaranteed
// cells that cannot be provided.

#include "packages/scheduling/cell_allocator.h"

#include <algorithm>
#include <cassert>

namespace carobrill::scheduling {
namespace {

bool AnyIncreased(const LevelCounts& before, const LevelCounts& after) {
  for (std::size_t level = 0; level < before.size(); ++level) {
    if (after[level] > before[level]) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::vector<Cell> CellAllocator::Extent(const Cell& cell,
                                        std::uint32_t level) const {
  if (level < kLevels) {
    const std::uint32_t size = 1U << level;
    return {Cell{cell.worker, cell.first / size * size, size}};
  }
  // A worker that was added to the rack after the binding is not part of it.
  const SlotBinding bound = this->slots[cell.worker][cell.first].binding;
  std::vector<Cell> extent;
  for (const WorkerIndex worker :
       this->racks[this->workers[cell.worker].rack]) {
    if (this->slots[worker][0].binding == bound) {
      extent.push_back(Cell{worker, 0, this->workers[worker].accelerators});
    }
  }
  return extent;
}

bool CellAllocator::IsUnbound(std::span<const Cell> extent) const {
  for (const Cell& cell : extent) {
    for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
      if (this->slots[cell.worker][at].binding.account != kNoAccount) {
        return false;
      }
    }
  }
  return true;
}

template <typename Predicate>
bool CellAllocator::HoldsGuaranteedWorkWhere(std::span<const Cell> extent,
                                             Predicate&& predicate) const {
  for (const Cell& cell : extent) {
    for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
      const JobHandle handle = this->slots[cell.worker][at].holder;
      if (handle != kNoJob && !this->allocations[handle].borrowed &&
          predicate(this->allocations[handle].account)) {
        return true;
      }
    }
  }
  return false;
}

bool CellAllocator::HoldsGuaranteedWork(std::span<const Cell> extent,
                                        AccountIndex account) const {
  return this->HoldsGuaranteedWorkWhere(
      extent, [&](AccountIndex holder) { return holder == account; });
}

bool CellAllocator::HoldsOthersGuaranteedWork(std::span<const Cell> extent,
                                              AccountIndex account) const {
  return this->HoldsGuaranteedWorkWhere(
      extent, [&](AccountIndex holder) { return holder != account; });
}

bool CellAllocator::Bind(AccountIndex account,
                         const Cell& cell,
                         bool check_unmet) {
  const std::uint32_t level = LevelOf(cell.count);
  const SlotBinding& first = this->slots[cell.worker][cell.first].binding;
  if (first.account == account && first.level >= level) {
    return true;
  }
  const std::uint32_t top = LevelOf(this->workers[cell.worker].accelerators);
  for (std::uint32_t at = level; at <= top; ++at) {
    if (this->TryBindAt(account, cell, at, check_unmet)) {
      return true;
    }
  }
  return this->TryBindAt(account, cell, kLevels, check_unmet);
}

bool CellAllocator::TryBindAt(AccountIndex account,
                              const Cell& cell,
                              std::uint32_t level,
                              bool check_unmet) {
  if (this->unbound_guarantees[account][level] == 0) {
    return false;
  }
  if (level == kLevels &&
      this->whole_rack_size[this->workers[cell.worker].rack] == 0) {
    return false;
  }
  const std::vector<Cell> extent = this->Extent(cell, level);
  if (!this->IsUnbound(extent)) {
    return false;
  }
  // During a rebind, guaranteed work of other accounts may not be bound yet.
  if (!check_unmet && this->HoldsOthersGuaranteedWork(extent, account)) {
    return false;
  }
  const LevelCounts before = this->unmet;
  --this->unbound_guarantees[account][level];
  --this->needs[level];
  this->SetBinding(
      extent, SlotBinding{account, static_cast<std::uint8_t>(level), true});
  if (check_unmet && AnyIncreased(before, this->unmet)) {
    this->Unbind(cell.worker, cell.first);
    return false;
  }
  return true;
}

void CellAllocator::SetBinding(std::span<const Cell> extent,
                               const SlotBinding& binding) {
  this->AddUnavailableBound(extent.front().worker, ~0U);
  for (const Cell& cell : extent) {
    for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
      this->slots[cell.worker][at].binding = binding;
    }
  }
  this->AddUnavailableBound(extent.front().worker, 1);
  for (const Cell& cell : extent) {
    this->Refresh(cell.worker);
  }
  this->RefreshUnmet();
}

void CellAllocator::Unbind(WorkerIndex worker, std::uint32_t at) {
  const SlotBinding bound = this->slots[worker][at].binding;
  if (bound.in_guarantee) {
    ++this->unbound_guarantees[bound.account][bound.level];
    ++this->needs[bound.level];
  }
  this->SetBinding(this->Extent(Cell{worker, at, 1}, bound.level), {});
}

void CellAllocator::UnbindIfIdle(const Cell& cell) {
  for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
    const SlotBinding bound = this->slots[cell.worker][at].binding;
    if (bound.account == kNoAccount) {
      continue;
    }
    const auto extent = this->Extent(Cell{cell.worker, at, 1}, bound.level);
    if (!this->HoldsGuaranteedWork(extent, bound.account)) {
      this->Unbind(cell.worker, at);
    }
  }
}

bool CellAllocator::ComputeRackWhole(RackIndex rack) const {
  const auto& members = this->racks[rack];
  if (this->rack_workers == 0 || members.size() < this->rack_workers) {
    return false;
  }
  return std::all_of(members.begin(), members.end(), [&](WorkerIndex worker) {
    const auto& data = this->workers[worker];
    return data.accelerators == 1U << this->rack_level &&
           this->unbound.Get(worker) == MaskOf(0, data.accelerators);
  });
}

LevelCounts CellAllocator::UnavailableBoundAt(WorkerIndex worker) const {
  LevelCounts counts{};
  const auto& data = this->workers[worker];
  for (std::uint32_t at = 0; at < data.accelerators && !data.ready; ++at) {
    const SlotBinding& bound = this->slots[worker][at].binding;
    if (bound.account != kNoAccount && bound.in_guarantee &&
        bound.level < kLevels && at % (1U << bound.level) == 0) {
      ++counts[bound.level];
    }
  }
  std::uint32_t bound = 0;
  bool available = true;
  for (const WorkerIndex member : this->racks[data.rack]) {
    const SlotBinding& binding = this->slots[member][0].binding;
    const bool member_bound = binding.account != kNoAccount &&
                              binding.in_guarantee && binding.level == kLevels;
    bound += member_bound ? 1 : 0;
    available = available && (!member_bound || this->workers[member].ready);
  }
  // A rack that has lost a worker no longer provides a guaranteed whole rack.
  const bool whole = available && bound >= this->rack_workers;
  counts[kLevels] = bound > 0 && !whole ? 1 : 0;
  return counts;
}

void CellAllocator::AddUnavailableBound(WorkerIndex worker,
                                        std::uint32_t sign) {
  detail::AddCounts(this->unavailable_bound, this->UnavailableBoundAt(worker),
                    sign);
}

void CellAllocator::Refresh(WorkerIndex worker) {
  const AllocatorWorker& data = this->workers[worker];
  Mask free_mask = 0;
  Mask evictable_mask = 0;
  Mask unbound_mask = 0;
  for (std::uint32_t at = 0; at < data.accelerators && data.ready; ++at) {
    const Slot& slot = this->slots[worker][at];
    const Mask bit = Mask{1} << at;
    free_mask |= slot.holder == kNoJob ? bit : 0;
    evictable_mask |= this->IsClaimable(slot) ? bit : 0;
    unbound_mask |= slot.binding.account == kNoAccount ? bit : 0;
  }
  this->free.Set(worker, free_mask);
  this->evictable.Set(worker, evictable_mask);
  if (this->unbound.Get(worker) != unbound_mask) {
    this->unbound.Set(worker, unbound_mask);
    this->RefreshRack(data.rack);
  }
}

void CellAllocator::RefreshRack(RackIndex rack) {
  const std::uint32_t size =
      this->ComputeRackWhole(rack)
          ? static_cast<std::uint32_t>(this->racks[rack].size())
          : 0;
  std::uint32_t& known = this->whole_rack_size[rack];
  if (known == size) {
    return;
  }
  if (known != 0 && --this->whole_racks[known] == 0) {
    this->whole_racks.erase(known);
  }
  known = size;
  if (size != 0) {
    ++this->whole_racks[size];
  }
}

void CellAllocator::RefreshUnmet() {
  CellCounts cells = this->unbound.Total();
  for (const auto& [size, count] : this->whole_racks) {
    cells[this->rack_level] -= size * count;
  }
  LevelCounts wanted = this->needs;
  detail::AddCounts(wanted, this->unavailable_bound, 1);
  this->unmet = CountUnmet(wanted, cells, this->whole_racks, this->rack_level);
}

Mask CellAllocator::BoundTo(WorkerIndex worker, AccountIndex account) const {
  Mask mask = 0;
  for (std::uint32_t at = 0; at < this->workers[worker].accelerators; ++at) {
    if (this->slots[worker][at].binding.account == account) {
      mask |= Mask{1} << at;
    }
  }
  return mask;
}

LevelCounts CellAllocator::UnavailableGuarantee(AccountIndex account) const {
  LevelCounts unavailable = this->unbound_guarantees[account];
  for (WorkerIndex worker = 0; worker < this->workers.size(); ++worker) {
    const auto& data = this->workers[worker];
    for (std::uint32_t at = 0; at < data.accelerators; ++at) {
      const SlotBinding& bound = this->slots[worker][at].binding;
      if (bound.account != account || !bound.in_guarantee) {
        continue;
      }
      const bool first = bound.level == kLevels
                             ? at == 0 && this->racks[data.rack][0] == worker
                             : at % (1U << bound.level) == 0;
      if (first && this->UnavailableBoundAt(worker)[bound.level] > 0) {
        ++unavailable[bound.level];
      }
    }
  }
  return unavailable;
}

LevelCounts CellAllocator::UnmetOnAllWorkers(const LevelCounts& wanted) const {
  CellCounts cells{};
  std::map<std::uint32_t, std::uint32_t> whole;
  for (const auto& rack : this->racks) {
    const bool standard =
        this->rack_workers != 0 && rack.size() >= this->rack_workers &&
        std::all_of(rack.begin(), rack.end(), [&](WorkerIndex worker) {
          return this->workers[worker].accelerators == 1U << this->rack_level;
        });
    if (standard) {
      ++whole[static_cast<std::uint32_t>(rack.size())];
      continue;
    }
    for (const WorkerIndex worker : rack) {
      ++cells[LevelOf(this->workers[worker].accelerators)];
    }
  }
  return CountUnmet(wanted, cells, whole, this->rack_level);
}

}  // namespace carobrill::scheduling
