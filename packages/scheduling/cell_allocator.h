#ifndef PACKAGES_SCHEDULING_CELL_ALLOCATOR_H_
#define PACKAGES_SCHEDULING_CELL_ALLOCATOR_H_

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "packages/core/time.h"
#include "packages/records/records.pb.h"
#include "packages/records/verdict.h"
#include "packages/scheduling/cell_index.h"
#include "packages/scheduling/policy.h"

namespace carobrill::scheduling {

using JobHandle = std::uint32_t;
inline constexpr JobHandle kNoJob = 0;
using AccountIndex = std::uint16_t;
inline constexpr AccountIndex kNoAccount = 0xffff;

/// Allocation of a job that holds cells.
struct Allocation {
  AccountIndex account = kNoAccount;
  bool borrowed = false;
  /// True for a borrowed, preemptible allocation and for one that is stopping.
  bool evictable = false;
  bool stopping = false;
  /// The start is committed, so tasks may be running on the cells.
  bool committed = false;
  records::JobClass job_class = records::JOB_CLASS_NORMAL;
  /// Estimated end of the job in log time.
  Instant estimated_end;
};

/// A range of accelerators of one worker, aligned to its size as in a buddy
/// allocator.
struct Cell {
  WorkerIndex worker = 0;
  std::uint32_t first = 0;
  std::uint32_t count = 0;

  auto operator<=>(const Cell&) const = default;
};

/// The guaranteed cell that an accelerator is bound to, if any.
struct SlotBinding {
  AccountIndex account = kNoAccount;
  /// Buddy level of the guaranteed cell; kLevels means a whole rack.
  std::uint8_t level = 0;
  /// Whether the cell counts against the account's guarantee. False for
  /// guaranteed work that keeps running after its account's guarantee was
  /// reduced.
  bool in_guarantee = false;

  bool operator==(const SlotBinding&) const = default;
};

/// State of one accelerator of a worker.
struct Slot {
  /// Job that has claimed the accelerator, or a stopping job that still
  /// occupies it.
  JobHandle holder = kNoJob;
  /// Stopping job that must leave before `holder` can start.
  JobHandle stopping_holder = kNoJob;
  SlotBinding binding;
};

/// A gang that runs on guaranteed cells of its account.
struct GuaranteedWork {
  JobHandle handle = kNoJob;
  std::vector<Cell> cells;
  bool preemptible = false;
};

/// Capacity, location and availability of a worker.
struct AllocatorWorker {
  std::uint32_t accelerators = 0;
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;
  RackIndex rack = 0;
  DomainIndex domain = 0;
  /// Accepts new gangs; its cells count towards guarantees.
  bool ready = false;
  /// Accepts only one task at a time.
  bool probation = false;
};

/// Cell counts by buddy level; the last entry counts whole racks.
using LevelCounts = std::array<std::uint32_t, kLevels + 1>;

namespace detail {

/// Adds `part` to `sum`, `sign` times. The arithmetic is modulo 2^32, so a sign
/// of -1 subtracts.
inline void AddCounts(LevelCounts& sum,
                      const LevelCounts& part,
                      std::uint32_t sign) {
  for (std::size_t level = 0; level < sum.size(); ++level) {
    sum[level] += part[level] * sign;
  }
}

}  // namespace detail

/// Resources of one member of a gang.
struct MemberSize {
  std::uint32_t accelerators = 0;
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;

  auto operator<=>(const MemberSize&) const = default;
};

/// Number of accelerators of the smallest cell of `worker` that fits a member
/// of `size`; 0 if no cell fits.
std::uint32_t CellFor(const AllocatorWorker& worker, const MemberSize& size);

/// Number of needed cells, by level, that cannot be allocated from `free`.
/// Counts from the top level down and splits each surplus cell into two cells
/// of the next level. `racks` maps the number of top-level cells of a free
/// whole rack to the number of such racks.
LevelCounts CountUnmet(const LevelCounts& needs,
                       const CellCounts& free,
                       const std::map<std::uint32_t, std::uint32_t>& racks,
                       std::uint32_t rack_level);

/// Tracks which job occupies each accelerator and which guaranteed cells are
/// bound to it, and keeps indexes for searching. The planner copies it to try
/// placements, so the data is kept in flat vectors.
class CellAllocator {
 public:
  CellAllocator();

  WorkerIndex AddWorker(const AllocatorWorker& worker);
  /// Removes a worker without allocations. Its index is reused.
  void RemoveWorker(WorkerIndex index);
  /// `ready`: accepts new gangs and counts towards guarantees. `probation`:
  /// accepts one task at a time.
  void SetAvailability(WorkerIndex index, bool ready, bool probation);

  /// Adds an account without a guarantee.
  AccountIndex AddAccount();
  /// Replaces the guarantees of all accounts and rebinds guaranteed work in the
  /// order of `work`. Preemptible work that exceeds its account's new guarantee
  /// becomes borrowed; returns the handles of these jobs.
  std::vector<JobHandle> SetGuarantees(
      const std::vector<LevelCounts>& guarantees,
      const std::vector<GuaranteedWork>& work);
  /// Sets the unbound guarantees without touching bindings; RestoreBinding adds
  /// these.
  void RestoreGuarantees(const std::vector<LevelCounts>& guarantees);
  /// Restores the binding of one accelerator from a snapshot. Call it for all
  /// bound accelerators, then call FinishRestore once.
  void RestoreBinding(WorkerIndex worker,
                      std::uint32_t at,
                      const SlotBinding& binding);
  void FinishRestore();
  /// Restores the claim of `handle` on `cell`. A job restored there earlier
  /// becomes the stopping job that `handle` waits for.
  void RestoreOccupant(const Cell& cell, JobHandle handle);
  /// Sets the size of a whole rack; 0 derives it from the registered workers.
  void SetStandardRack(std::uint32_t workers, std::uint32_t accelerators);

  JobHandle AddAllocation(const Allocation& allocation);
  void RemoveAllocation(JobHandle handle);
  const Allocation& GetAllocation(JobHandle handle) const {
    return this->allocations[handle];
  }
  void SetEstimatedEnd(JobHandle handle, Instant estimated_end) {
    this->allocations[handle].estimated_end = estimated_end;
  }
  void SetCommitted(JobHandle handle) {
    this->allocations[handle].committed = true;
  }
  /// Marks a job as stopping, which makes its cells evictable.
  void SetStopping(JobHandle handle, std::span<const Cell> cells);

  /// Claims `cells` for `handle`, including cells occupied by `victims`. A
  /// victim that is not committed must be vacated by the caller first. Changes
  /// nothing unless it returns kAccepted.
  records::Verdict Place(JobHandle handle,
                         std::span<const Cell> cells,
                         std::span<const JobHandle> victims);
  /// Releases what `handle` claims or still occupies within `cells`.
  void Vacate(JobHandle handle, std::span<const Cell> cells);

  const AllocatorWorker& GetWorker(WorkerIndex index) const {
    return this->workers[index];
  }
  std::uint32_t WorkerCount() const {
    return static_cast<std::uint32_t>(this->workers.size());
  }
  const Slot& GetSlot(WorkerIndex worker, std::uint32_t accelerator) const {
    return this->slots[worker][accelerator];
  }
  const std::vector<WorkerIndex>& RackWorkers(RackIndex rack) const {
    return this->racks[rack];
  }
  std::uint32_t RackCount() const {
    return static_cast<std::uint32_t>(this->racks.size());
  }

  /// Unallocated accelerators on ready workers.
  const CellIndex& Free() const { return this->free; }
  /// Accelerators on ready workers that are free or whose holder is evictable.
  const CellIndex& Evictable() const { return this->evictable; }
  /// Accelerators on ready workers that are not bound to a guaranteed cell.
  const CellIndex& Unbound() const { return this->unbound; }
  /// Accelerators of `worker` that are bound to `account`, so that its
  /// guaranteed work can run there without binding another cell.
  Mask BoundTo(WorkerIndex worker, AccountIndex account) const;

  /// Guaranteed cells of `account` that are not bound, by level.
  const LevelCounts& UnboundGuarantee(AccountIndex account) const {
    return this->unbound_guarantees[account];
  }
  /// Guaranteed cells that the available hardware cannot provide now, by level.
  const LevelCounts& Unmet() const { return this->unmet; }
  /// Guaranteed cells of `account` that are unbound or bound to unavailable
  /// hardware, by level.
  LevelCounts UnavailableGuarantee(AccountIndex account) const;
  /// Cells of `wanted` that could not be provided if all registered workers
  /// were available and unbound, by level.
  LevelCounts UnmetOnAllWorkers(const LevelCounts& wanted) const;
  /// True if the rack has at least its standard size and every accelerator is
  /// available and unbound.
  bool IsWholeRack(RackIndex rack) const {
    return this->whole_rack_size[rack] != 0;
  }
  /// Workers of a standard rack, and accelerators of each of them.
  std::uint32_t RackWorkerCount() const { return this->rack_workers; }
  std::uint32_t RackAccelerators() const { return 1U << this->rack_level; }

 private:
  bool CanClaim(const Slot& slot, std::span<const JobHandle> victims) const;
  bool IsClaimable(const Slot& slot) const;
  bool Bind(AccountIndex account, const Cell& cell, bool check_unmet);
  bool TryBindAt(AccountIndex account,
                 const Cell& cell,
                 std::uint32_t level,
                 bool check_unmet);
  void SetBinding(std::span<const Cell> extent, const SlotBinding& binding);
  void Unbind(WorkerIndex worker, std::uint32_t at);
  void UnbindIfIdle(const Cell& cell);
  /// Cells covered by a binding of `level` that includes `cell`.
  std::vector<Cell> Extent(const Cell& cell, std::uint32_t level) const;
  bool IsUnbound(std::span<const Cell> extent) const;
  template <typename Predicate>
  bool HoldsGuaranteedWorkWhere(std::span<const Cell> extent,
                                Predicate&& predicate) const;
  bool HoldsOthersGuaranteedWork(std::span<const Cell> extent,
                                 AccountIndex account) const;
  bool HoldsGuaranteedWork(std::span<const Cell> extent,
                           AccountIndex account) const;
  bool ComputeRackWhole(RackIndex rack) const;
  /// Guaranteed cells bound to unavailable hardware on `worker` or its rack, by
  /// level.
  LevelCounts UnavailableBoundAt(WorkerIndex worker) const;
  void RecountUnavailableBound();
  void AddUnavailableBound(WorkerIndex worker, std::uint32_t sign);
  void Refresh(WorkerIndex worker);
  void RefreshRack(RackIndex rack);
  void RefreshUnmet();
  void DeriveStandardRack();

  std::vector<AllocatorWorker> workers;
  std::vector<WorkerIndex> unused_workers;
  std::vector<std::array<Slot, kMaxAccelerators>> slots;
  std::vector<std::vector<WorkerIndex>> racks;
  /// By rack: number of top-level cells if the rack is whole and unbound, else
  /// 0.
  std::vector<std::uint32_t> whole_rack_size;
  std::map<std::uint32_t, std::uint32_t> whole_racks;
  std::vector<Allocation> allocations;
  std::vector<JobHandle> unused_handles;
  std::vector<LevelCounts> unbound_guarantees;
  /// Sum of unbound_guarantees over accounts.
  LevelCounts needs{};
  /// Guaranteed cells bound to unavailable hardware.
  LevelCounts unavailable_bound{};
  LevelCounts unmet{};
  std::uint32_t declared_rack_workers = 0;
  std::uint32_t declared_rack_accelerators = 0;
  std::uint32_t rack_workers = 0;
  std::uint32_t rack_level = 0;
  CellIndex free;
  CellIndex evictable;
  CellIndex unbound;
};

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_CELL_ALLOCATOR_H_
