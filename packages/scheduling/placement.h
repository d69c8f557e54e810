#ifndef PACKAGES_SCHEDULING_PLACEMENT_H_
#define PACKAGES_SCHEDULING_PLACEMENT_H_

#include <algorithm>
#include <bit>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "packages/scheduling/cell_allocator.h"
#include "packages/scheduling/cluster.h"

namespace carobrill::scheduling {

/// Whether a gang uses its account's guarantee or borrows, and whether it may
/// preempt.
enum class PlacementMode {
  kGuaranteed,
  kBorrowed,
  kGuaranteedPreempting,
  kBorrowedPreempting,
};

/// A gang to place.
struct PlacementRequest {
  Demand demand;
  AccountIndex account = kNoAccount;
  records::JobClass job_class = records::JOB_CLASS_NORMAL;
  Instant estimated_end;
  bool preemptible = false;
};

/// The cells chosen for a gang and the jobs that must be preempted for them.
struct PlacementChoice {
  std::vector<Cell> cells;
  std::vector<JobHandle> victims;
  bool borrowed = false;
};

/// Restricts the cells that guaranteed work of an account may use.
template <typename T>
concept CellFilter = requires(const T& filter,
                              AccountIndex account,
                              WorkerIndex worker) {
  { filter.Allowed(account, worker) } -> std::same_as<Mask>;
};

/// Allows guaranteed work on every cell, as long as all guarantees remain
/// reclaimable.
struct AnyCell {
  Mask Allowed(AccountIndex, WorkerIndex) const { return ~Mask{0}; }
};

/// Accelerators reserved for a gang, by worker.
using ReservedMasks = std::vector<Mask>;

/// Finds cells and claims them on a copy of the allocator, so that the
/// placements of one plan do not overlap.
template <CellFilter Filter>
class PlacementFinder {
 public:
  PlacementFinder(const CellAllocator& original, Filter cell_filter)
      : allocator(original), filter(std::move(cell_filter)) {}

  const CellAllocator& ScratchAllocator() const { return this->allocator; }

  /// Finds and claims cells for `request`. Borrowed placements avoid
  /// `reserved`.
  std::optional<PlacementChoice> Find(const PlacementRequest& request,
                                      PlacementMode mode,
                                      const ReservedMasks& reserved);

 private:
  struct Scope {
    std::optional<WorkerIndex> worker;
    std::optional<RackIndex> rack;
    std::optional<DomainIndex> domain;
    std::uint32_t leftover = 0;
  };
  /// Maximum number of scopes tried for a borrowed placement. The best fit
  /// succeeds in nearly all cases.
  static constexpr std::size_t kMaxScopes = 8;
  /// Number of candidate cells collected before the cheapest is claimed.
  static constexpr std::uint32_t kMaxCandidates = 48;

  static bool IsGuaranteed(PlacementMode mode) {
    return mode == PlacementMode::kGuaranteed ||
           mode == PlacementMode::kGuaranteedPreempting;
  }
  static bool MayPreempt(PlacementMode mode) {
    return mode == PlacementMode::kGuaranteedPreempting ||
           mode == PlacementMode::kBorrowedPreempting;
  }

  /// A cell that can be claimed by preemption.
  struct Candidate {
    Cell cell;
    std::uint32_t cost = 0;
  };

  std::vector<Scope> CandidateScopes() const;
  bool InScope(const Scope& scope, WorkerIndex worker) const;
  std::optional<PlacementChoice> FindInScope(const Scope& scope);
  bool PlaceMember(const Scope& scope, bool may_preempt);
  /// Calls `visit(worker)` for the workers of `scope` until it returns true.
  /// Within a rack, workers with the fewest cells in `index` come first;
  /// otherwise workers with the smallest maximal cell of at least `level`.
  template <typename Visit>
  bool ForEachWorker(const Scope& scope,
                     const CellIndex& index,
                     std::uint32_t level,
                     Visit&& visit) const;
  /// Claims a free cell in `mask`, or adds the cells that need preemption to
  /// `candidates`.
  bool TryWorker(WorkerIndex worker,
                 Mask mask,
                 bool may_preempt,
                 std::vector<Candidate>& candidates);
  bool ClaimCheapest(std::vector<Candidate>& candidates);
  bool TryCell(const Cell& cell);
  Mask Available(WorkerIndex worker, bool may_preempt) const;
  bool MayEvict(const Slot& slot) const;
  std::uint32_t PreemptionCost(const Cell& cell) const;
  std::uint32_t CellOn(WorkerIndex worker) const {
    return CellFor(this->allocator.GetWorker(worker),
                   this->request->demand.size);
  }
  /// Workers with cells bound to the account of the request.
  const std::vector<WorkerIndex>& BoundWorkers();
  void AddBoundWorkers(WorkerIndex worker);

  CellAllocator allocator;
  Filter filter;
  std::map<AccountIndex, std::vector<WorkerIndex>> bound_workers;
  bool bound_workers_indexed = false;

  // State of the current Find call.
  const PlacementRequest* request = nullptr;
  PlacementMode mode = PlacementMode::kBorrowed;
  const ReservedMasks* reserved = nullptr;
  JobHandle handle = kNoJob;
  PlacementChoice choice;
};

template <CellFilter Filter>
std::optional<PlacementChoice> PlacementFinder<Filter>::Find(
    const PlacementRequest& wanted,
    PlacementMode wanted_mode,
    const ReservedMasks& reserved_masks) {
  this->request = &wanted;
  this->mode = wanted_mode;
  this->reserved = &reserved_masks;
  const CellIndex& index = MayPreempt(this->mode) ? this->allocator.Evictable()
                                                  : this->allocator.Free();
  const std::uint32_t least = std::bit_ceil(
      std::max<std::uint32_t>(1, wanted.demand.size.accelerators));
  if (least > kMaxAccelerators ||
      SplitCount(index.Total(), least) < wanted.demand.members) {
    return std::nullopt;
  }
  for (const Scope& scope : this->CandidateScopes()) {
    if (auto found = this->FindInScope(scope)) {
      return found;
    }
  }
  return std::nullopt;
}

template <CellFilter Filter>
auto PlacementFinder<Filter>::CandidateScopes() const -> std::vector<Scope> {
  const bool may_preempt = MayPreempt(this->mode);
  const CellIndex& index =
      may_preempt ? this->allocator.Evictable() : this->allocator.Free();
  const Demand& demand = this->request->demand;
  const std::uint32_t least =
      std::bit_ceil(std::max<std::uint32_t>(1, demand.size.accelerators));
  std::vector<Scope> scopes;
  const auto add_scope = [&](Scope scope, std::uint32_t cells) {
    if (cells >= demand.members) {
      scope.leftover = cells - demand.members;
      scopes.push_back(scope);
    }
  };
  switch (demand.adjacency) {
    case records::ADJACENCY_WORKER:
      for (WorkerIndex worker = 0; worker < this->allocator.WorkerCount();
           ++worker) {
        const Mask mask = this->Available(worker, may_preempt);
        const std::uint32_t cell = mask == 0 ? 0 : this->CellOn(worker);
        if (cell != 0) {
          add_scope(Scope{worker, {}, {}, 0},
                    SplitCount(MaximalCells(mask), cell));
        }
      }
      break;
    case records::ADJACENCY_RACK:
      for (RackIndex rack = 0; rack < index.RackCount(); ++rack) {
        add_scope(Scope{{}, rack, {}, 0},
                  SplitCount(index.InRack(rack), least));
      }
      break;
    case records::ADJACENCY_FAILURE_DOMAIN:
      for (DomainIndex domain = 0; domain < index.DomainCount(); ++domain) {
        add_scope(Scope{{}, {}, domain, 0},
                  SplitCount(index.InDomain(domain), least));
      }
      break;
    default:
      return {Scope{}};
  }
  std::stable_sort(
      scopes.begin(), scopes.end(),
      [](const Scope& a, const Scope& b) { return a.leftover < b.leftover; });
  // Guaranteed work may be bound to a few scopes only, so all of them are
  // tried.
  if (scopes.size() > kMaxScopes && !IsGuaranteed(this->mode)) {
    scopes.resize(kMaxScopes);
  }
  return scopes;
}

template <CellFilter Filter>
bool PlacementFinder<Filter>::InScope(const Scope& scope,
                                      WorkerIndex worker) const {
  const AllocatorWorker& data = this->allocator.GetWorker(worker);
  return (!scope.worker || *scope.worker == worker) &&
         (!scope.rack || *scope.rack == data.rack) &&
         (!scope.domain || *scope.domain == data.domain);
}

template <CellFilter Filter>
template <typename Visit>
bool PlacementFinder<Filter>::ForEachWorker(const Scope& scope,
                                            const CellIndex& index,
                                            std::uint32_t level,
                                            Visit&& visit) const {
  if (scope.worker) {
    return visit(*scope.worker);
  }
  if (scope.rack) {
    std::vector<WorkerIndex> workers = this->allocator.RackWorkers(*scope.rack);
    std::stable_sort(
        workers.begin(), workers.end(), [&](WorkerIndex a, WorkerIndex b) {
          return std::popcount(index.Get(a)) < std::popcount(index.Get(b));
        });
    return std::any_of(workers.begin(), workers.end(), visit);
  }
  for (; level < kLevels; ++level) {
    // Fill partly used racks before breaking up whole ones.
    for (const bool whole : {false, true}) {
      const bool stopped =
          index.ForEachWorkerWithCell(level, [&](WorkerIndex worker) {
            const RackIndex rack = this->allocator.GetWorker(worker).rack;
            return this->allocator.IsWholeRack(rack) == whole &&
                   this->InScope(scope, worker) && visit(worker);
          });
      if (stopped) {
        return true;
      }
    }
  }
  return false;
}

template <CellFilter Filter>
std::optional<PlacementChoice> PlacementFinder<Filter>::FindInScope(
    const Scope& scope) {
  Allocation allocation;
  allocation.account = this->request->account;
  allocation.borrowed = !IsGuaranteed(this->mode);
  allocation.job_class = this->request->job_class;
  allocation.estimated_end = this->request->estimated_end;
  this->handle = this->allocator.AddAllocation(allocation);
  this->choice = {};
  this->choice.borrowed = allocation.borrowed;
  for (std::uint32_t i = 0; i < this->request->demand.members; ++i) {
    const bool placed =
        this->PlaceMember(scope, false) ||
        (MayPreempt(this->mode) && this->PlaceMember(scope, true));
    if (!placed) {
      this->allocator.Vacate(this->handle, this->choice.cells);
      this->allocator.RemoveAllocation(this->handle);
      return std::nullopt;
    }
  }
  return std::move(this->choice);
}

template <CellFilter Filter>
bool PlacementFinder<Filter>::PlaceMember(const Scope& scope,
                                          bool may_preempt) {
  std::vector<Candidate> candidates;
  if (!IsGuaranteed(this->mode)) {
    const CellIndex& index =
        may_preempt ? this->allocator.Evictable() : this->allocator.Free();
    return this->ForEachWorker(scope, index, 0, [&](WorkerIndex worker) {
      return this->TryWorker(worker, this->Available(worker, may_preempt),
                             may_preempt, candidates);
    }) || this->ClaimCheapest(candidates);
  }
  const AccountIndex account = this->request->account;
  for (const WorkerIndex worker : this->BoundWorkers()) {
    const Mask own = this->allocator.BoundTo(worker, account);
    if (this->InScope(scope, worker) &&
        this->TryWorker(worker, this->Available(worker, may_preempt) & own,
                        may_preempt, candidates)) {
      return true;
    }
  }
  if (this->ClaimCheapest(candidates)) {
    return true;
  }
  for (std::uint32_t level = 0; level <= kLevels; ++level) {
    if (this->allocator.UnboundGuarantee(account)[level] == 0) {
      continue;
    }
    const auto consider = [&](WorkerIndex worker) {
      const AllocatorWorker& data = this->allocator.GetWorker(worker);
      const bool rack = level == kLevels;
      if (rack && !this->allocator.IsWholeRack(data.rack)) {
        return false;
      }
      const Mask available = this->Available(worker, may_preempt);
      const std::uint32_t size = rack ? data.accelerators : 1U << level;
      for (Mask blocks =
               AlignedCells(this->allocator.Unbound().Get(worker), size);
           blocks != 0; blocks &= blocks - 1) {
        const auto first = static_cast<std::uint32_t>(std::countr_zero(blocks));
        if (this->TryWorker(worker, available & MaskOf(first, size),
                            may_preempt, candidates)) {
          return true;
        }
      }
      return false;
    };
    if (this->ForEachWorker(scope, this->allocator.Unbound(),
                            level == kLevels ? 0 : level, consider) ||
        this->ClaimCheapest(candidates)) {
      return true;
    }
  }
  return false;
}

template <CellFilter Filter>
bool PlacementFinder<Filter>::TryWorker(WorkerIndex worker,
                                        Mask mask,
                                        bool may_preempt,
                                        std::vector<Candidate>& candidates) {
  const std::uint32_t count = mask == 0 ? 0 : this->CellOn(worker);
  if (count == 0) {
    return false;
  }
  if (!may_preempt) {
    const auto first = BestFit(mask, count);
    return first.has_value() && this->TryCell(Cell{worker, *first, count});
  }
  for (Mask cells = AlignedCells(mask, count); cells != 0; cells &= cells - 1) {
    const auto first = static_cast<std::uint32_t>(std::countr_zero(cells));
    const Cell cell{worker, first, count};
    candidates.push_back({cell, this->PreemptionCost(cell)});
  }
  return candidates.size() >= kMaxCandidates && this->ClaimCheapest(candidates);
}

template <CellFilter Filter>
bool PlacementFinder<Filter>::ClaimCheapest(
    std::vector<Candidate>& candidates) {
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
  for (const Candidate& candidate : candidates) {
    if (this->TryCell(candidate.cell)) {
      return true;
    }
  }
  candidates.clear();
  return false;
}

template <CellFilter Filter>
bool PlacementFinder<Filter>::TryCell(const Cell& cell) {
  std::vector<JobHandle> victims;
  for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
    const Slot& slot = this->allocator.GetSlot(cell.worker, at);
    for (const JobHandle occupant : {slot.holder, slot.stopping_holder}) {
      if (occupant != kNoJob && occupant != this->handle) {
        victims.push_back(occupant);
      }
    }
  }
  const Cell cells[] = {cell};
  if (this->allocator.Place(this->handle, cells, victims) !=
      records::Verdict::kAccepted) {
    return false;
  }
  this->choice.cells.push_back(cell);
  for (const JobHandle victim : victims) {
    auto& known = this->choice.victims;
    if (std::find(known.begin(), known.end(), victim) == known.end()) {
      known.push_back(victim);
    }
  }
  if (IsGuaranteed(this->mode)) {
    this->AddBoundWorkers(cell.worker);
  }
  return true;
}

template <CellFilter Filter>
bool PlacementFinder<Filter>::MayEvict(const Slot& slot) const {
  if (slot.holder == kNoJob) {
    return true;
  }
  const Allocation& allocation = this->allocator.GetAllocation(slot.holder);
  // A gang that is placed but not committed soon starts or returns to the
  // queue. Claiming its cells would only prolong the wait.
  if (slot.holder == this->handle || !allocation.evictable ||
      !allocation.committed) {
    return false;
  }
  return allocation.stopping || IsGuaranteed(this->mode) ||
         allocation.job_class != records::JOB_CLASS_URGENT;
}

template <CellFilter Filter>
Mask PlacementFinder<Filter>::Available(WorkerIndex worker,
                                        bool may_preempt) const {
  Mask mask = this->allocator.Free().Get(worker);
  if (may_preempt) {
    for (Mask rest = this->allocator.Evictable().Get(worker) & ~mask; rest != 0;
         rest &= rest - 1) {
      const auto at = static_cast<std::uint32_t>(std::countr_zero(rest));
      mask |= this->MayEvict(this->allocator.GetSlot(worker, at))
                  ? Mask{1} << at
                  : 0;
    }
  }
  if (IsGuaranteed(this->mode)) {
    return mask & this->filter.Allowed(this->request->account, worker);
  }
  return this->reserved->empty() ? mask : mask & ~(*this->reserved)[worker];
}

template <CellFilter Filter>
std::uint32_t PlacementFinder<Filter>::PreemptionCost(const Cell& cell) const {
  std::uint32_t cost = 0;
  JobHandle last = kNoJob;
  for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
    const JobHandle victim = this->allocator.GetSlot(cell.worker, at).holder;
    const auto& known = this->choice.victims;
    if (victim == kNoJob || victim == last ||
        std::find(known.begin(), known.end(), victim) != known.end()) {
      continue;
    }
    last = victim;
    const Allocation& allocation = this->allocator.GetAllocation(victim);
    // Prefer batch victims over normal ones. A job that is already stopping
    // costs nothing.
    cost += allocation.stopping                                 ? 0
            : allocation.job_class == records::JOB_CLASS_BATCH  ? 1
            : allocation.job_class == records::JOB_CLASS_NORMAL ? 10
                                                                : 100;
  }
  return cost;
}

template <CellFilter Filter>
const std::vector<WorkerIndex>& PlacementFinder<Filter>::BoundWorkers() {
  if (!this->bound_workers_indexed) {
    this->bound_workers_indexed = true;
    for (WorkerIndex worker = 0; worker < this->allocator.WorkerCount();
         ++worker) {
      AccountIndex last = kNoAccount;
      for (std::uint32_t at = 0;
           at < this->allocator.GetWorker(worker).accelerators; ++at) {
        const AccountIndex bound =
            this->allocator.GetSlot(worker, at).binding.account;
        if (bound != kNoAccount && bound != last) {
          this->bound_workers[bound].push_back(worker);
          last = bound;
        }
      }
    }
  }
  return this->bound_workers[this->request->account];
}

template <CellFilter Filter>
void PlacementFinder<Filter>::AddBoundWorkers(WorkerIndex worker) {
  auto& own = this->bound_workers[this->request->account];
  const RackIndex rack = this->allocator.GetWorker(worker).rack;
  for (const WorkerIndex member : this->allocator.RackWorkers(rack)) {
    const bool bound =
        this->allocator.BoundTo(member, this->request->account) != 0;
    if (bound && std::find(own.begin(), own.end(), member) == own.end()) {
      own.push_back(member);
    }
  }
}

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_PLACEMENT_H_
