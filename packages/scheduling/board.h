#ifndef PACKAGES_SCHEDULING_BOARD_H_
#define PACKAGES_SCHEDULING_BOARD_H_

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

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
struct Holder {
  AccountIndex account = kNoAccount;
  bool borrowed = false;
  /// Borrowed and preemptible, or stopping already.
  bool takeable = false;
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

/// One accelerator of a worker.
struct Slot {
  /// Job that has claimed it.
  JobHandle holder = kNoJob;
  /// Stopping job that the holder waits for.
  JobHandle ending = kNoJob;
  /// Account whose shape cell covers it, and the level of that cell.
  AccountIndex bound_account = kNoAccount;
  std::uint8_t bound_level = 0;
  /// The cell counts against the account's shape. False for guaranteed work
  /// that outlived a reduction of the shape.
  bool bound_in_shape = false;
};

/// Fixed data and availability of a worker.
struct BoardWorker {
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

/// Size of one member of a gang.
struct MemberSize {
  std::uint32_t accelerators = 0;
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;

  auto operator<=>(const MemberSize&) const = default;
};

/// Accelerators of the smallest cell of `worker` that holds a member of `size`;
/// 0 when none does.
std::uint32_t CellFor(const BoardWorker& worker, const MemberSize& size);

/// Needs that a top-down count cannot meet from `free` cells, by level. A
/// surplus at one level is split into two cells of the next. `racks` maps the
/// number of top-level cells of a free whole rack to the number of such racks.
LevelCounts CountUnmet(const LevelCounts& needs,
                       const LevelCounts& free,
                       const std::map<std::uint32_t, std::uint32_t>& racks,
                       std::uint32_t rack_level);

/// Who occupies which accelerator, which shape cells are bound to which
/// physical cells, and the indexes for searching. Copied by the planner to try
/// placements, therefore made of flat vectors.
class Board {
 public:
  Board();

  WorkerIndex AddWorker(const BoardWorker& worker);
  /// Replaces the capacity of a worker that holds nothing.
  void ReplaceWorker(WorkerIndex index, const BoardWorker& worker);
  /// Sets whether a worker takes new gangs and counts for guarantees.
  void SetAvailability(WorkerIndex index, bool ready, bool probation);

  /// Adds an account; its shape is empty.
  AccountIndex AddAccount();
  /// Replaces the shapes of all accounts and binds running guaranteed work
  /// anew, in the order of `holders`. Work that no longer fits its shape
  /// becomes borrowed when preemptible; returns the handles of these jobs.
  std::vector<JobHandle> SetShapes(const std::vector<LevelCounts>& shapes,
                                   const std::vector<JobHandle>& holders,
                                   const std::vector<bool>& preemptible);
  /// Declares the size of a whole rack; 0 derives it from the workers.
  void SetStandardRack(std::uint32_t workers, std::uint32_t accelerators);

  JobHandle AddHolder(const Holder& holder);
  void RemoveHolder(JobHandle handle);
  const Holder& GetHolder(JobHandle handle) const {
    return this->holders[handle];
  }
  void SetEstimatedEnd(JobHandle handle, Instant estimated_end) {
    this->holders[handle].estimated_end = estimated_end;
  }
  void SetCommitted(JobHandle handle);
  /// A stopping job's cells may be claimed by others.
  void SetStopping(JobHandle handle);

  /// Claims `cells` for `handle`, over the cells of `victims` where they are in
  /// the way. A victim that is not committed must be vacated by the caller
  /// first. Changes nothing unless it returns kAccepted.
  records::Verdict Place(JobHandle handle,
                         std::span<const Cell> cells,
                         std::span<const JobHandle> victims);
  /// Frees everything that `handle` claims or still occupies within `cells`.
  void Vacate(JobHandle handle, std::span<const Cell> cells);

  const BoardWorker& GetWorker(WorkerIndex index) const {
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
  const CellIndex& Takeable() const { return this->takeable; }
  /// Accelerators that no shape cell is bound to, on ready workers.
  const CellIndex& Unbound() const { return this->unbound; }
  /// Accelerators of `worker` on which guaranteed work of `account` may run
  /// without binding another cell.
  Mask OwnBound(WorkerIndex worker, AccountIndex account) const;

  /// Shape cells of `account` that are not bound, by level.
  const LevelCounts& UnboundShape(AccountIndex account) const {
    return this->unbound_shape[account];
  }
  /// Shape cells that the available hardware cannot hold now, by level.
  const LevelCounts& Unmet() const { return this->unmet; }
  /// Shape cells of `account` that are unbound or bound to unavailable
  /// hardware, by level.
  LevelCounts OpenShape(AccountIndex account) const;
  /// Unmet needs if the needs were `needs` and nothing were bound.
  LevelCounts UnmetFor(const LevelCounts& needs) const;
  /// True when the reclaim counters equal a recount; for assertions.
  bool CountersConsistent() const;

 private:
  bool SlotTakeable(JobHandle handle) const;
  Mask CellMask(const Cell& cell) const;
  bool CanClaim(const Slot& slot, std::span<const JobHandle> victims) const;
  bool Bind(AccountIndex account, const Cell& cell);
  bool BindAt(AccountIndex account, const Cell& cell, std::uint32_t level);
  void BindSlots(AccountIndex account,
                 const Cell& cell,
                 std::uint32_t level,
                 bool in_shape);
  void UnbindIfIdle(const Slot& bound, WorkerIndex worker, std::uint32_t at);
  bool CellIsUnbound(const Cell& cell) const;
  bool HoldsGuaranteed(const Cell& cell) const;
  bool RackIsWhole(RackIndex rack) const;
  /// The cells that the binding at (worker, accelerator) extends over.
  std::vector<Cell> BoundExtent(WorkerIndex worker, std::uint32_t at) const;
  void Refresh(WorkerIndex worker);
  void RefreshUnmet();
  void DeriveStandardRack();
  void CountDisplaced(WorkerIndex worker, int sign);

  std::vector<BoardWorker> workers;
  std::vector<std::array<Slot, kMaxAccelerators>> slots;
  std::vector<std::vector<WorkerIndex>> racks;
  std::vector<Holder> holders;
  std::vector<JobHandle> unused_handles;
  std::vector<LevelCounts> unbound_shape;
  /// Sum of unbound_shape over accounts.
  LevelCounts needs{};
  LevelCounts unmet{};
  std::uint32_t declared_rack_workers = 0;
  std::uint32_t declared_rack_accelerators = 0;
  std::uint32_t rack_workers = 0;
  std::uint32_t rack_level = 0;
  CellIndex free;
  CellIndex takeable;
  CellIndex unbound;
};

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_BOARD_H_
