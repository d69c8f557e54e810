// Binds cells to the shapes of accounts, and keeps the counts of what is unmet.

#include "packages/scheduling/board.h"

#include <algorithm>
#include <cassert>

namespace carobrill::scheduling {
namespace {

bool AnyGrew(const LevelCounts& before, const LevelCounts& after) {
  for (std::size_t level = 0; level < before.size(); ++level) {
    if (after[level] > before[level]) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::vector<Cell> Board::Extent(const Cell& cell, std::uint32_t level) const {
  if (level < kLevels) {
    const std::uint32_t size = 1U << level;
    return {Cell{cell.worker, cell.first / size * size, size}};
  }
  // A worker that joined a bound rack later is not part of the bound cell.
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

bool Board::IsUnbound(std::span<const Cell> extent) const {
  for (const Cell& cell : extent) {
    for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
      if (this->slots[cell.worker][at].binding.account != kNoAccount) {
        return false;
      }
    }
  }
  return true;
}

template <typename Wanted>
bool Board::HoldsGuaranteedOf(std::span<const Cell> extent,
                              Wanted&& wanted) const {
  for (const Cell& cell : extent) {
    for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
      const JobHandle handle = this->slots[cell.worker][at].holder;
      if (handle != kNoJob && !this->holders[handle].borrowed &&
          wanted(this->holders[handle].account)) {
        return true;
      }
    }
  }
  return false;
}

bool Board::HoldsGuaranteed(std::span<const Cell> extent,
                            AccountIndex account) const {
  return this->HoldsGuaranteedOf(
      extent, [&](AccountIndex holder) { return holder == account; });
}

bool Board::HoldsOthersGuaranteed(std::span<const Cell> extent,
                                  AccountIndex account) const {
  return this->HoldsGuaranteedOf(
      extent, [&](AccountIndex holder) { return holder != account; });
}

bool Board::Bind(AccountIndex account, const Cell& cell, bool check_unmet) {
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

bool Board::TryBindAt(AccountIndex account,
                      const Cell& cell,
                      std::uint32_t level,
                      bool check_unmet) {
  if (this->unbound_shape[account][level] == 0) {
    return false;
  }
  if (level == kLevels &&
      this->rack_whole[this->workers[cell.worker].rack] == 0) {
    return false;
  }
  const std::vector<Cell> extent = this->Extent(cell, level);
  if (!this->IsUnbound(extent)) {
    return false;
  }
  // While bindings are made anew, work of other accounts may not be bound yet.
  if (!check_unmet && this->HoldsOthersGuaranteed(extent, account)) {
    return false;
  }
  const LevelCounts before = this->unmet;
  --this->unbound_shape[account][level];
  --this->needs[level];
  this->SetBinding(
      extent, SlotBinding{account, static_cast<std::uint8_t>(level), true});
  if (check_unmet && AnyGrew(before, this->unmet)) {
    this->Unbind(cell.worker, cell.first);
    return false;
  }
  return true;
}

void Board::SetBinding(std::span<const Cell> extent,
                       const SlotBinding& binding) {
  this->AddDisplaced(extent.front().worker, ~0U);
  for (const Cell& cell : extent) {
    for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
      this->slots[cell.worker][at].binding = binding;
    }
  }
  this->AddDisplaced(extent.front().worker, 1);
  for (const Cell& cell : extent) {
    this->Refresh(cell.worker);
  }
  this->RefreshUnmet();
}

void Board::Unbind(WorkerIndex worker, std::uint32_t at) {
  const SlotBinding bound = this->slots[worker][at].binding;
  if (bound.in_shape) {
    ++this->unbound_shape[bound.account][bound.level];
    ++this->needs[bound.level];
  }
  this->SetBinding(this->Extent(Cell{worker, at, 1}, bound.level), {});
}

void Board::UnbindIfIdle(const Cell& cell) {
  for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
    const SlotBinding bound = this->slots[cell.worker][at].binding;
    if (bound.account == kNoAccount) {
      continue;
    }
    const auto extent = this->Extent(Cell{cell.worker, at, 1}, bound.level);
    if (!this->HoldsGuaranteed(extent, bound.account)) {
      this->Unbind(cell.worker, at);
    }
  }
}

bool Board::RackIsWhole(RackIndex rack) const {
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

LevelCounts Board::DisplacedAt(WorkerIndex worker) const {
  LevelCounts counts{};
  const auto& data = this->workers[worker];
  for (std::uint32_t at = 0; at < data.accelerators && !data.ready; ++at) {
    const SlotBinding& bound = this->slots[worker][at].binding;
    if (bound.account != kNoAccount && bound.in_shape &&
        bound.level < kLevels && at % (1U << bound.level) == 0) {
      ++counts[bound.level];
    }
  }
  std::uint32_t bound = 0;
  bool available = true;
  for (const WorkerIndex member : this->racks[data.rack]) {
    const SlotBinding& binding = this->slots[member][0].binding;
    const bool member_bound = binding.account != kNoAccount &&
                              binding.in_shape && binding.level == kLevels;
    bound += member_bound ? 1 : 0;
    available = available && (!member_bound || this->workers[member].ready);
  }
  // A rack that has lost a worker is no longer the whole rack of the shape.
  const bool whole = available && bound >= this->rack_workers;
  counts[kLevels] = bound > 0 && !whole ? 1 : 0;
  return counts;
}

void Board::AddDisplaced(WorkerIndex worker, std::uint32_t sign) {
  detail::AddCounts(this->displaced, this->DisplacedAt(worker), sign);
}

void Board::Refresh(WorkerIndex worker) {
  const BoardWorker& data = this->workers[worker];
  Mask free_mask = 0;
  Mask takeable_mask = 0;
  Mask unbound_mask = 0;
  for (std::uint32_t at = 0; at < data.accelerators && data.ready; ++at) {
    const Slot& slot = this->slots[worker][at];
    const Mask bit = Mask{1} << at;
    free_mask |= slot.holder == kNoJob ? bit : 0;
    takeable_mask |= this->IsClaimable(slot) ? bit : 0;
    unbound_mask |= slot.binding.account == kNoAccount ? bit : 0;
  }
  this->free.Set(worker, free_mask);
  this->takeable.Set(worker, takeable_mask);
  if (this->unbound.Get(worker) != unbound_mask) {
    this->unbound.Set(worker, unbound_mask);
    this->RefreshRack(data.rack);
  }
}

void Board::RefreshRack(RackIndex rack) {
  const std::uint32_t size =
      this->RackIsWhole(rack)
          ? static_cast<std::uint32_t>(this->racks[rack].size())
          : 0;
  std::uint32_t& known = this->rack_whole[rack];
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

void Board::RefreshUnmet() {
  CellCounts cells = this->unbound.Total();
  for (const auto& [size, count] : this->whole_racks) {
    cells[this->rack_level] -= size * count;
  }
  LevelCounts wanted = this->needs;
  detail::AddCounts(wanted, this->displaced, 1);
  this->unmet = CountUnmet(wanted, cells, this->whole_racks, this->rack_level);
}

Mask Board::OwnBound(WorkerIndex worker, AccountIndex account) const {
  Mask mask = 0;
  for (std::uint32_t at = 0; at < this->workers[worker].accelerators; ++at) {
    if (this->slots[worker][at].binding.account == account) {
      mask |= Mask{1} << at;
    }
  }
  return mask;
}

LevelCounts Board::OpenShape(AccountIndex account) const {
  LevelCounts open = this->unbound_shape[account];
  for (WorkerIndex worker = 0; worker < this->workers.size(); ++worker) {
    const auto& data = this->workers[worker];
    for (std::uint32_t at = 0; at < data.accelerators; ++at) {
      const SlotBinding& bound = this->slots[worker][at].binding;
      if (bound.account != account || !bound.in_shape) {
        continue;
      }
      const bool first = bound.level == kLevels
                             ? at == 0 && this->racks[data.rack][0] == worker
                             : at % (1U << bound.level) == 0;
      if (first && this->DisplacedAt(worker)[bound.level] > 0) {
        ++open[bound.level];
      }
    }
  }
  return open;
}

LevelCounts Board::UnmetOnAllWorkers(const LevelCounts& wanted) const {
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
