#include "packages/scheduling/board.h"

#include <algorithm>
#include <cassert>

namespace carobrill::scheduling {

namespace {

void AddCounts(LevelCounts& sum, const LevelCounts& part, std::uint32_t sign) {
  for (std::size_t level = 0; level < sum.size(); ++level) {
    sum[level] += part[level] * sign;
  }
}

bool AnyGrew(const LevelCounts& before, const LevelCounts& after) {
  for (std::size_t level = 0; level < before.size(); ++level) {
    if (after[level] > before[level]) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::uint32_t CellFor(const BoardWorker& worker, const MemberSize& size) {
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
  // The smallest sufficient racks are given away first, because a larger rack
  // splits into everything that a smaller one does.
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

Board::Board() {
  // Handle 0 stands for no job.
  this->holders.emplace_back();
}

WorkerIndex Board::AddWorker(const BoardWorker& worker) {
  WorkerIndex index = 0;
  if (this->unused_workers.empty()) {
    index = static_cast<WorkerIndex>(this->workers.size());
    this->workers.emplace_back();
    this->slots.emplace_back();
    this->free.AddWorker();
    this->takeable.AddWorker();
    this->unbound.AddWorker();
  } else {
    index = this->unused_workers.back();
    this->unused_workers.pop_back();
  }
  this->workers[index] = worker;
  if (this->racks.size() <= worker.rack) {
    this->racks.resize(worker.rack + 1);
    this->rack_whole.resize(worker.rack + 1, 0);
  }
  this->racks[worker.rack].push_back(index);
  this->free.Locate(index, worker.rack, worker.domain);
  this->takeable.Locate(index, worker.rack, worker.domain);
  this->unbound.Locate(index, worker.rack, worker.domain);
  this->Refresh(index);
  this->RefreshRack(worker.rack);
  this->DeriveStandardRack();
  this->RefreshUnmet();
  return index;
}

void Board::RemoveWorker(WorkerIndex index) {
  this->AddDisplaced(index, ~0U);
  BoardWorker& worker = this->workers[index];
  this->slots[index] = {};
  worker.ready = false;
  worker.probation = false;
  worker.accelerators = 0;
  this->Refresh(index);
  std::erase(this->racks[worker.rack], index);
  if (!this->racks[worker.rack].empty()) {
    // A whole rack stays bound through its other workers.
    LevelCounts rest{};
    rest[kLevels] =
        this->DisplacedAt(this->racks[worker.rack].front())[kLevels];
    AddCounts(this->displaced, rest, 1);
  }
  this->RefreshRack(worker.rack);
  this->unused_workers.push_back(index);
  this->DeriveStandardRack();
  this->RefreshUnmet();
}

void Board::SetAvailability(WorkerIndex index, bool ready, bool probation) {
  auto& worker = this->workers[index];
  if (worker.ready == ready && worker.probation == probation) {
    return;
  }
  this->AddDisplaced(index, ~0U);
  worker.ready = ready;
  worker.probation = probation;
  this->AddDisplaced(index, 1);
  this->Refresh(index);
  this->RefreshUnmet();
}

AccountIndex Board::AddAccount() {
  this->unbound_shape.emplace_back();
  return static_cast<AccountIndex>(this->unbound_shape.size() - 1);
}

void Board::RestoreShapes(const std::vector<LevelCounts>& shapes) {
  this->unbound_shape = shapes;
  this->needs = {};
  for (const auto& shape : shapes) {
    AddCounts(this->needs, shape, 1);
  }
}

std::vector<JobHandle> Board::SetShapes(
    const std::vector<LevelCounts>& shapes,
    const std::vector<GuaranteedWork>& work) {
  for (auto& worker : this->slots) {
    for (auto& slot : worker) {
      slot.binding = {};
    }
  }
  this->RestoreShapes(shapes);
  this->FinishRestore();
  std::vector<JobHandle> demoted;
  for (const auto& [handle, cells, preemptible] : work) {
    const AccountIndex account = this->holders[handle].account;
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
      this->holders[handle].borrowed = true;
      this->holders[handle].takeable = true;
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

void Board::RestoreBinding(WorkerIndex worker,
                           std::uint32_t at,
                           const SlotBinding& binding) {
  this->slots[worker][at].binding = binding;
}

void Board::FinishRestore() {
  for (WorkerIndex worker = 0; worker < this->workers.size(); ++worker) {
    this->Refresh(worker);
  }
  this->RecountDisplaced();
  this->RefreshUnmet();
}

void Board::RecountDisplaced() {
  this->displaced = {};
  for (const auto& rack : this->racks) {
    for (const WorkerIndex worker : rack) {
      LevelCounts here = this->DisplacedAt(worker);
      // Every worker of a rack reports the rack's cell.
      here[kLevels] = worker == rack.front() ? here[kLevels] : 0;
      AddCounts(this->displaced, here, 1);
    }
  }
}

void Board::RestoreOccupant(const Cell& cell, JobHandle handle) {
  for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
    Slot& slot = this->slots[cell.worker][at];
    slot.ending = slot.holder;
    slot.holder = handle;
  }
  this->Refresh(cell.worker);
}

void Board::SetStandardRack(std::uint32_t rack_size,
                            std::uint32_t accelerators) {
  this->declared_rack_workers = rack_size;
  this->declared_rack_accelerators = accelerators;
  this->rack_workers = 0;
  this->DeriveStandardRack();
  this->RefreshUnmet();
}

void Board::DeriveStandardRack() {
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
  this->RecountDisplaced();
  for (RackIndex rack = 0; rack < this->racks.size(); ++rack) {
    this->RefreshRack(rack);
  }
}

JobHandle Board::AddHolder(const Holder& holder) {
  if (!this->unused_handles.empty()) {
    const JobHandle handle = this->unused_handles.back();
    this->unused_handles.pop_back();
    this->holders[handle] = holder;
    return handle;
  }
  this->holders.push_back(holder);
  return static_cast<JobHandle>(this->holders.size() - 1);
}

void Board::RemoveHolder(JobHandle handle) {
  this->holders[handle] = {};
  this->unused_handles.push_back(handle);
}

void Board::SetStopping(JobHandle handle, std::span<const Cell> cells) {
  this->holders[handle].stopping = true;
  this->holders[handle].takeable = true;
  for (const Cell& cell : cells) {
    this->Refresh(cell.worker);
  }
}

bool Board::IsClaimable(const Slot& slot) const {
  // A committed gang waits for no victim, so a stopping holder never covers
  // another stopping job and two layers suffice.
  return slot.holder == kNoJob || this->holders[slot.holder].takeable;
}

bool Board::CanClaim(const Slot& slot,
                     std::span<const JobHandle> victims) const {
  const auto listed = [&](JobHandle handle) {
    return handle == kNoJob ||
           std::find(victims.begin(), victims.end(), handle) != victims.end();
  };
  return this->IsClaimable(slot) && listed(slot.holder) && listed(slot.ending);
}

records::Verdict Board::Place(JobHandle handle,
                              std::span<const Cell> cells,
                              std::span<const JobHandle> victims) {
  for (const Cell& cell : cells) {
    for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
      if (!this->CanClaim(this->slots[cell.worker][at], victims)) {
        return records::Verdict::kCellTaken;
      }
    }
  }
  const Holder& holder = this->holders[handle];
  if (!holder.borrowed) {
    for (std::size_t i = 0; i < cells.size(); ++i) {
      if (!this->Bind(holder.account, cells[i], true)) {
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
      const Holder& previous = this->holders[slot.holder];
      if (slot.holder != kNoJob && previous.committed) {
        slot.ending = slot.holder;
      }
      slot.holder = handle;
    }
    this->UnbindIfIdle(cell);
    this->Refresh(cell.worker);
  }
  this->RefreshUnmet();
  return records::Verdict::kAccepted;
}

void Board::Vacate(JobHandle handle, std::span<const Cell> cells) {
  for (const Cell& cell : cells) {
    for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
      Slot& slot = this->slots[cell.worker][at];
      if (slot.ending == handle) {
        slot.ending = kNoJob;
      } else if (slot.holder == handle) {
        slot.holder = slot.ending;
        slot.ending = kNoJob;
      }
    }
    this->UnbindIfIdle(cell);
    this->Refresh(cell.worker);
  }
  this->RefreshUnmet();
}

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
  AddCounts(this->displaced, this->DisplacedAt(worker), sign);
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
  AddCounts(wanted, this->displaced, 1);
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
