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

/// What the board knows of a job that holds cells.
struct Allocation {
  AccountIndex account = kNoAccount;
  bool borrowed = false;
  /// Borrowed and preemptible, or stopping already.
  bool evictable = false;
  bool stopping = false;
  /// Its tasks may be running on its cells.
  bool committed = false;
  records::JobClass job_class = records::JOB_CLASS_NORMAL;
  /// Estimated end in log time.
  Instant estimated_end;
};

/// An aligned cell of one worker.
struct Cell {
  WorkerIndex worker = 0;
  std::uint32_t first = 0;
  std::uint32_t count = 0;

  auto operator<=>(const Cell&) const = default;
};

/// The shape cell that covers an accelerator, if any.
struct SlotBinding {
  AccountIndex account = kNoAccount;
  /// kLevels stands for a whole rack.
  std::uint8_t level = 0;
  /// The cell counts against the account's shape. False for guaranteed work
  /// that outlived a reduction of the shape.
  bool in_guarantee = false;

  bool operator==(const SlotBinding&) const = default;
};

/// One accelerator of a worker.
struct Slot {
  /// Job that has claimed it, or the stopping job that still occupies it.
  JobHandle holder = kNoJob;
  /// Stopping job that the holder waits for.
  JobHandle stopping_holder = kNoJob;
  SlotBinding binding;
};

/// A gang that runs within its account's guarantee.
struct GuaranteedWork {
  JobHandle handle = kNoJob;
  std::vector<Cell> cells;
  bool preemptible = false;
};

/// Fixed data and availability of a worker.
struct AllocatorWorker {
  std::uint32_t accelerators = 0;
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;
  RackIndex rack = 0;
  DomainIndex domain = 0;
  /// Accepts new gangs and counts for guarantees.
  bool ready = false;
  /// Accepts one task at a time.
  bool probation = false;
};

/// Number of cells of each level; the last entry counts whole racks.
using LevelCounts = std::array<std::uint32_t, kLevels + 1>;

namespace detail {

/// Adds `part` to `sum`, `sign` times; a sign of -1 wraps round and subtracts.
inline void AddCounts(LevelCounts& sum,
                      const LevelCounts& part,
                      std::uint32_t sign) {
  for (std::size_t level = 0; level < sum.size(); ++level) {
    sum[level] += part[level] * sign;
  }
}

}  // namespace detail

/// Size of one member of a gang.
struct MemberSize {
  std::uint32_t accelerators = 0;
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;

  auto operator<=>(const MemberSize&) const = default;
};

/// Accelerators of the smallest cell of `worker` that holds a member of `size`;
/// 0 when none does.
std::uint32_t CellFor(const AllocatorWorker& worker, const MemberSize& size);

/// Needs that a top-down count cannot meet from `free` cells, by level. A
/// surplus at one level is split into two cells of the next. `racks` maps the
/// number of top-level cells of a free whole rack to the number of such racks.
LevelCounts CountUnmet(const LevelCounts& needs,
                       const CellCounts& free,
                       const std::map<std::uint32_t, std::uint32_t>& racks,
                       std::uint32_t rack_level);

/// Who occupies which accelerator, which shape cells are bound to which
/// physical cells, and the indexes for searching. Copied by the planner to try
/// placements, therefore made of flat vectors.
class CellAllocator {
 public:
  CellAllocator();

  WorkerIndex AddWorker(const AllocatorWorker& worker);
  /// Removes a worker that holds nothing; its index is used again.
  void RemoveWorker(WorkerIndex index);
  /// Sets whether a worker takes new gangs and counts for guarantees.
  void SetAvailability(WorkerIndex index, bool ready, bool probation);

  /// Adds an account; its shape is empty.
  AccountIndex AddAccount();
  /// Replaces the shapes of all accounts and binds guaranteed work anew, in the
  /// order of `work`. Work that no longer fits its shape becomes borrowed when
  /// preemptible; returns the handles of these jobs.
  std::vector<JobHandle> SetGuarantees(
      const std::vector<LevelCounts>& guarantees,
      const std::vector<GuaranteedWork>& work);
  /// Sets the shapes without bindings, which RestoreBinding then adds.
  void RestoreGuarantees(const std::vector<LevelCounts>& guarantees);
  /// Restores the binding of one accelerator from a snapshot; called for all
  /// accelerators, then FinishRestore once.
  void RestoreBinding(WorkerIndex worker,
                      std::uint32_t at,
                      const SlotBinding& binding);
  void FinishRestore();
  /// Restores that `handle` claims `cell`, over the job restored there before.
  void RestoreOccupant(const Cell& cell, JobHandle handle);
  /// Declares the size of a whole rack; 0 derives it from the workers.
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
  /// A stopping job's cells may be claimed by others.
  void SetStopping(JobHandle handle, std::span<const Cell> cells);

  /// Claims `cells` for `handle`, over the cells of `victims` where they are in
  /// the way. A victim that is not committed must be vacated by the caller
  /// first. Changes nothing unless it returns kAccepted.
  records::Verdict Place(JobHandle handle,
                         std::span<const Cell> cells,
                         std::span<const JobHandle> victims);
  /// Frees everything that `handle` claims or still occupies within `cells`.
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

  /// Accelerators that nothing holds, on ready workers.
  const CellIndex& Free() const { return this->free; }
  /// Accelerators that are free or can be claimed over a takeable job.
  const CellIndex& Evictable() const { return this->evictable; }
  /// Accelerators that no shape cell is bound to, on ready workers.
  const CellIndex& Unbound() const { return this->unbound; }
  /// Accelerators of `worker` on which guaranteed work of `account` may run
  /// without binding another cell.
  Mask BoundTo(WorkerIndex worker, AccountIndex account) const;

  /// Shape cells of `account` that are not bound, by level.
  const LevelCounts& UnboundGuarantee(AccountIndex account) const {
    return this->unbound_guarantees[account];
  }
  /// Shape cells that the available hardware cannot hold now, by level.
  const LevelCounts& Unmet() const { return this->unmet; }
  /// Shape cells of `account` that are unbound or bound to unavailable
  /// hardware, by level.
  LevelCounts UnavailableGuarantee(AccountIndex account) const;
  /// Unmet needs if all registered workers were available and unbound.
  LevelCounts UnmetOnAllWorkers(const LevelCounts& predicate) const;
  /// True when every accelerator of the rack is available and unbound.
  bool IsWholeRack(RackIndex rack) const {
    return this->whole_rack_size[rack] != 0;
  }
  /// Workers and accelerators per worker of a whole rack.
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
  /// The cells that a binding of `level` at `cell` extends over.
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
  /// Bound shape cells on `worker` or its rack that are not available.
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
  /// Number of top-level cells of each rack that is whole and unbound, else 0.
  std::vector<std::uint32_t> whole_rack_size;
  std::map<std::uint32_t, std::uint32_t> whole_racks;
  std::vector<Allocation> allocations;
  std::vector<JobHandle> unused_handles;
  std::vector<LevelCounts> unbound_guarantees;
  /// Sum of unbound_guarantees over accounts.
  LevelCounts needs{};
  /// Shape cells bound to hardware that is not available.
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
