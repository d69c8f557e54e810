#ifndef PACKAGES_SCHEDULING_PLACEMENT_H_
#define PACKAGES_SCHEDULING_PLACEMENT_H_

#include <algorithm>
#include <bit>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "packages/scheduling/board.h"
#include "packages/scheduling/cluster.h"

namespace carobrill::scheduling {

/// How a gang may be placed.
enum class PlacementMode {
  kGuaranteed,
  kBorrowed,
  kGuaranteedOverVictims,
  kBorrowedOverVictims,
};

/// One gang to place.
struct PlacementRequest {
  Demand demand;
  AccountIndex account = kNoAccount;
  records::JobClass job_class = records::JOB_CLASS_NORMAL;
  Instant estimated_end;
  bool preemptible = false;
};

/// Cells for a gang and the jobs that must leave them.
struct PlacementChoice {
  std::vector<Cell> cells;
  std::vector<JobHandle> victims;
  bool borrowed = false;
};

/// Restricts the cells on which guaranteed work of an account may run.
template <typename T>
concept CellFilter = requires(const T& filter,
                              AccountIndex account,
                              WorkerIndex worker) {
  { filter.Allowed(account, worker) } -> std::same_as<Mask>;
};

/// Guaranteed work may run on any cell that keeps all guarantees reclaimable.
struct AnyCell {
  Mask Allowed(AccountIndex, WorkerIndex) const { return ~Mask{0}; }
};

/// Accelerators that are kept for a gang, by worker.
using ReservedMasks = std::vector<Mask>;

/// Searches cells on a copy of the board and claims them there, so that the
/// placements of one plan do not overlap.
template <CellFilter Filter>
class PlacementFinder {
 public:
  PlacementFinder(const Board& original, Filter cell_filter)
      : board(original), filter(std::move(cell_filter)) {}

  const Board& Scratch() const { return this->board; }

  /// Claims cells for `request`. Borrowed placements avoid `reserved`.
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
  /// Scopes tried per gang; the best fit nearly always succeeds.
  static constexpr std::size_t kMaxScopes = 8;
  /// Candidate cells tried or compared per member.
  static constexpr std::uint32_t kMaxCandidates = 48;

  static bool IsGuaranteed(PlacementMode mode) {
    return mode == PlacementMode::kGuaranteed ||
           mode == PlacementMode::kGuaranteedOverVictims;
  }
  static bool TakesVictims(PlacementMode mode) {
    return mode == PlacementMode::kGuaranteedOverVictims ||
           mode == PlacementMode::kBorrowedOverVictims;
  }

  /// A cell whose claim needs victims.
  struct Candidate {
    Cell cell;
    std::uint32_t cost = 0;
  };

  std::vector<Scope> Scopes() const;
  bool InScope(const Scope& scope, WorkerIndex worker) const;
  std::optional<PlacementChoice> FindIn(const Scope& scope);
  bool PlaceMember(const Scope& scope, bool over_victims);
  /// Calls `visit(worker)` for the workers of `scope` with cells of at least
  /// `level` in `index`, best fit first, until it returns true.
  template <typename Visit>
  bool ForEachWorker(const Scope& scope,
                     const CellIndex& index,
                     std::uint32_t level,
                     Visit&& visit) const;
  /// Claims a free cell in `mask`, or notes the cells that need victims.
  bool Consider(WorkerIndex worker,
                Mask mask,
                bool over_victims,
                std::vector<Candidate>& candidates);
  bool TakeCheapest(std::vector<Candidate>& candidates);
  bool TryCell(const Cell& cell);
  Mask Available(WorkerIndex worker, bool over_victims) const;
  bool MayTake(const Slot& slot) const;
  std::uint32_t VictimCost(const Cell& cell) const;
  std::uint32_t CellOn(WorkerIndex worker) const {
    return CellFor(this->board.GetWorker(worker), this->request->demand.size);
  }
  /// Workers with cells bound to the account of the request.
  const std::vector<WorkerIndex>& OwnWorkers();
  void NoteOwnWorker(WorkerIndex worker);

  Board board;
  Filter filter;
  std::map<AccountIndex, std::vector<WorkerIndex>> own_workers;
  bool own_workers_known = false;

  // The request being placed.
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
    const ReservedMasks& kept) {
  this->request = &wanted;
  this->mode = wanted_mode;
  this->reserved = &kept;
  const CellIndex& index =
      TakesVictims(this->mode) ? this->board.Takeable() : this->board.Free();
  const std::uint32_t least = std::bit_ceil(
      std::max<std::uint32_t>(1, wanted.demand.size.accelerators));
  if (least > kMaxAccelerators ||
      SplitCount(index.Total(), least) < wanted.demand.members) {
    return std::nullopt;
  }
  for (const Scope& scope : this->Scopes()) {
    if (auto found = this->FindIn(scope)) {
      return found;
    }
  }
  return std::nullopt;
}

template <CellFilter Filter>
auto PlacementFinder<Filter>::Scopes() const -> std::vector<Scope> {
  const bool over_victims = TakesVictims(this->mode);
  const CellIndex& index =
      over_victims ? this->board.Takeable() : this->board.Free();
  const Demand& demand = this->request->demand;
  const std::uint32_t least =
      std::bit_ceil(std::max<std::uint32_t>(1, demand.size.accelerators));
  std::vector<Scope> scopes;
  const auto offer = [&](Scope scope, std::uint32_t cells) {
    if (cells >= demand.members) {
      scope.leftover = cells - demand.members;
      scopes.push_back(scope);
    }
  };
  switch (demand.adjacency) {
    case records::ADJACENCY_WORKER:
      for (WorkerIndex worker = 0; worker < this->board.WorkerCount();
           ++worker) {
        const Mask mask = this->Available(worker, over_victims);
        const std::uint32_t cell = mask == 0 ? 0 : this->CellOn(worker);
        if (cell != 0) {
          offer(Scope{worker, {}, {}, 0}, SplitCount(MaximalCells(mask), cell));
        }
      }
      break;
    case records::ADJACENCY_RACK:
      for (RackIndex rack = 0; rack < index.RackCount(); ++rack) {
        offer(Scope{{}, rack, {}, 0}, SplitCount(index.InRack(rack), least));
      }
      break;
    case records::ADJACENCY_FAILURE_DOMAIN:
      for (DomainIndex domain = 0; domain < index.DomainCount(); ++domain) {
        offer(Scope{{}, {}, domain, 0},
              SplitCount(index.InDomain(domain), least));
      }
      break;
    default:
      return {Scope{}};
  }
  std::stable_sort(
      scopes.begin(), scopes.end(),
      [](const Scope& a, const Scope& b) { return a.leftover < b.leftover; });
  // Guaranteed work may be bound to few places, so all of them are tried.
  if (scopes.size() > kMaxScopes && !IsGuaranteed(this->mode)) {
    scopes.resize(kMaxScopes);
  }
  return scopes;
}

template <CellFilter Filter>
bool PlacementFinder<Filter>::InScope(const Scope& scope,
                                      WorkerIndex worker) const {
  const BoardWorker& data = this->board.GetWorker(worker);
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
    std::vector<WorkerIndex> workers = this->board.RackWorkers(*scope.rack);
    std::stable_sort(
        workers.begin(), workers.end(), [&](WorkerIndex a, WorkerIndex b) {
          return std::popcount(index.Get(a)) < std::popcount(index.Get(b));
        });
    return std::any_of(workers.begin(), workers.end(), visit);
  }
  for (; level < kLevels; ++level) {
    // Racks that are in use already are filled before whole ones.
    for (const bool whole : {false, true}) {
      const bool stopped = index.ForEachAt(level, [&](WorkerIndex worker) {
        const RackIndex rack = this->board.GetWorker(worker).rack;
        return this->board.IsWholeRack(rack) == whole &&
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
std::optional<PlacementChoice> PlacementFinder<Filter>::FindIn(
    const Scope& scope) {
  Holder holder;
  holder.account = this->request->account;
  holder.borrowed = !IsGuaranteed(this->mode);
  holder.job_class = this->request->job_class;
  holder.estimated_end = this->request->estimated_end;
  this->handle = this->board.AddHolder(holder);
  this->choice = {};
  this->choice.borrowed = holder.borrowed;
  for (std::uint32_t i = 0; i < this->request->demand.members; ++i) {
    const bool placed =
        this->PlaceMember(scope, false) ||
        (TakesVictims(this->mode) && this->PlaceMember(scope, true));
    if (!placed) {
      this->board.Vacate(this->handle, this->choice.cells);
      this->board.RemoveHolder(this->handle);
      return std::nullopt;
    }
  }
  return std::move(this->choice);
}

template <CellFilter Filter>
bool PlacementFinder<Filter>::PlaceMember(const Scope& scope,
                                          bool over_victims) {
  std::vector<Candidate> candidates;
  if (!IsGuaranteed(this->mode)) {
    const CellIndex& index =
        over_victims ? this->board.Takeable() : this->board.Free();
    return this->ForEachWorker(scope, index, 0, [&](WorkerIndex worker) {
      return this->Consider(worker, this->Available(worker, over_victims),
                            over_victims, candidates);
    }) || this->TakeCheapest(candidates);
  }
  const AccountIndex account = this->request->account;
  for (const WorkerIndex worker : this->OwnWorkers()) {
    const Mask own = this->board.OwnBound(worker, account);
    if (this->InScope(scope, worker) &&
        this->Consider(worker, this->Available(worker, over_victims) & own,
                       over_victims, candidates)) {
      return true;
    }
  }
  if (this->TakeCheapest(candidates)) {
    return true;
  }
  for (std::uint32_t level = 0; level <= kLevels; ++level) {
    if (this->board.UnboundShape(account)[level] == 0) {
      continue;
    }
    const auto consider = [&](WorkerIndex worker) {
      const BoardWorker& data = this->board.GetWorker(worker);
      const bool rack = level == kLevels;
      if (rack && !this->board.IsWholeRack(data.rack)) {
        return false;
      }
      const Mask available = this->Available(worker, over_victims);
      const std::uint32_t size = rack ? data.accelerators : 1U << level;
      for (Mask blocks = AlignedCells(this->board.Unbound().Get(worker), size);
           blocks != 0; blocks &= blocks - 1) {
        const auto first = static_cast<std::uint32_t>(std::countr_zero(blocks));
        if (this->Consider(worker, available & MaskOf(first, size),
                           over_victims, candidates)) {
          return true;
        }
      }
      return false;
    };
    if (this->ForEachWorker(scope, this->board.Unbound(),
                            level == kLevels ? 0 : level, consider) ||
        this->TakeCheapest(candidates)) {
      return true;
    }
  }
  return false;
}

template <CellFilter Filter>
bool PlacementFinder<Filter>::Consider(WorkerIndex worker,
                                       Mask mask,
                                       bool over_victims,
                                       std::vector<Candidate>& candidates) {
  const std::uint32_t count = mask == 0 ? 0 : this->CellOn(worker);
  if (count == 0) {
    return false;
  }
  if (!over_victims) {
    const auto first = BestFit(mask, count);
    return first.has_value() && this->TryCell(Cell{worker, *first, count});
  }
  for (Mask cells = AlignedCells(mask, count); cells != 0; cells &= cells - 1) {
    const auto first = static_cast<std::uint32_t>(std::countr_zero(cells));
    const Cell cell{worker, first, count};
    candidates.push_back({cell, this->VictimCost(cell)});
  }
  return candidates.size() >= kMaxCandidates && this->TakeCheapest(candidates);
}

template <CellFilter Filter>
bool PlacementFinder<Filter>::TakeCheapest(std::vector<Candidate>& candidates) {
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
    const Slot& slot = this->board.GetSlot(cell.worker, at);
    for (const JobHandle in_the_way : {slot.holder, slot.ending}) {
      if (in_the_way != kNoJob && in_the_way != this->handle) {
        victims.push_back(in_the_way);
      }
    }
  }
  const Cell cells[] = {cell};
  if (this->board.Place(this->handle, cells, victims) !=
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
    this->NoteOwnWorker(cell.worker);
  }
  return true;
}

template <CellFilter Filter>
bool PlacementFinder<Filter>::MayTake(const Slot& slot) const {
  if (slot.holder == kNoJob) {
    return true;
  }
  const Holder& holder = this->board.GetHolder(slot.holder);
  // A gang that is placed but not committed starts or returns to the queue
  // soon; claiming its cells as well would only prolong the wait.
  if (slot.holder == this->handle || !holder.takeable || !holder.committed) {
    return false;
  }
  return holder.stopping || IsGuaranteed(this->mode) ||
         holder.job_class != records::JOB_CLASS_URGENT;
}

template <CellFilter Filter>
Mask PlacementFinder<Filter>::Available(WorkerIndex worker,
                                        bool over_victims) const {
  Mask mask = this->board.Free().Get(worker);
  if (over_victims) {
    for (Mask rest = this->board.Takeable().Get(worker) & ~mask; rest != 0;
         rest &= rest - 1) {
      const auto at = static_cast<std::uint32_t>(std::countr_zero(rest));
      mask |=
          this->MayTake(this->board.GetSlot(worker, at)) ? Mask{1} << at : 0;
    }
  }
  if (IsGuaranteed(this->mode)) {
    return mask & this->filter.Allowed(this->request->account, worker);
  }
  return this->reserved->empty() ? mask : mask & ~(*this->reserved)[worker];
}

template <CellFilter Filter>
std::uint32_t PlacementFinder<Filter>::VictimCost(const Cell& cell) const {
  std::uint32_t cost = 0;
  JobHandle last = kNoJob;
  for (std::uint32_t at = cell.first; at < cell.first + cell.count; ++at) {
    const JobHandle victim = this->board.GetSlot(cell.worker, at).holder;
    const auto& known = this->choice.victims;
    if (victim == kNoJob || victim == last ||
        std::find(known.begin(), known.end(), victim) != known.end()) {
      continue;
    }
    last = victim;
    const Holder& holder = this->board.GetHolder(victim);
    // Batch work is stopped before normal work, and a job that stops anyway
    // costs nothing.
    cost += holder.stopping                                 ? 0
            : holder.job_class == records::JOB_CLASS_BATCH  ? 1
            : holder.job_class == records::JOB_CLASS_NORMAL ? 10
                                                            : 100;
  }
  return cost;
}

template <CellFilter Filter>
const std::vector<WorkerIndex>& PlacementFinder<Filter>::OwnWorkers() {
  if (!this->own_workers_known) {
    this->own_workers_known = true;
    for (WorkerIndex worker = 0; worker < this->board.WorkerCount(); ++worker) {
      AccountIndex last = kNoAccount;
      for (std::uint32_t at = 0;
           at < this->board.GetWorker(worker).accelerators; ++at) {
        const AccountIndex bound =
            this->board.GetSlot(worker, at).binding.account;
        if (bound != kNoAccount && bound != last) {
          this->own_workers[bound].push_back(worker);
          last = bound;
        }
      }
    }
  }
  return this->own_workers[this->request->account];
}

template <CellFilter Filter>
void PlacementFinder<Filter>::NoteOwnWorker(WorkerIndex worker) {
  auto& own = this->own_workers[this->request->account];
  const RackIndex rack = this->board.GetWorker(worker).rack;
  for (const WorkerIndex member : this->board.RackWorkers(rack)) {
    const bool bound =
        this->board.OwnBound(member, this->request->account) != 0;
    if (bound && std::find(own.begin(), own.end(), member) == own.end()) {
      own.push_back(member);
    }
  }
}

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_PLACEMENT_H_
