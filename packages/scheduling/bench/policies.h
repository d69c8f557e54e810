#ifndef PACKAGES_SCHEDULING_BENCH_POLICIES_H_
#define PACKAGES_SCHEDULING_BENCH_POLICIES_H_

#include <algorithm>
#include <concepts>
#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "packages/scheduling/placement_step.h"
#include "packages/scheduling/planner.h"

namespace carobrill::scheduling::bench {

/// A planner that can be simulated.
template <typename T>
concept PlanningPolicy = requires(T& policy,
                                  const Cluster& cluster,
                                  Instant now,
                                  const PlannerInput& view) {
  { policy.Propose(cluster, now, view) } -> std::same_as<Plan>;
  { T::kName } -> std::convertible_to<std::string_view>;
};

/// The planner with its default settings, as in production.
class DefaultPlanner {
 public:
  static constexpr std::string_view kName = "counted";

  Plan Propose(const Cluster& cluster, Instant now, const PlannerInput& view) {
    return this->planner.Propose(cluster, now, view);
  }

 private:
  Planner planner;
};

/// The planner with one setting changed.
template <typename Change>
class PlannerVariant {
 public:
  static constexpr std::string_view kName = Change::kName;

  Plan Propose(const Cluster& cluster, Instant now, const PlannerInput& view) {
    return this->planner.Propose(cluster, now, view);
  }

 private:
  static PlannerSettings Settings() {
    PlannerSettings settings;
    Change::Apply(settings);
    return settings;
  }

  Planner planner{Settings()};
};

/// No job may overtake the first job that does not fit.
struct NoBackfill {
  static constexpr std::string_view kName = "no-backfill";
  static void Apply(PlannerSettings& settings) { settings.backfill = false; }
};

/// Small jobs may keep using the guarantee that a large gang waits for.
struct NoGuaranteeReservation {
  static constexpr std::string_view kName = "no-hold";
  static void Apply(PlannerSettings& settings) {
    settings.reserve_guarantee = false;
  }
};

/// Only jobs that can checkpoint borrow before they use their guarantee.
struct CheckpointBorrowsFirst {
  static constexpr std::string_view kName = "checkpoint-first";
  static void Apply(PlannerSettings& settings) {
    settings.borrow_first = BorrowFirst::kCheckpoint;
  }
};

/// All jobs borrow before they use their guarantee.
struct BorrowAlwaysFirst {
  static constexpr std::string_view kName = "borrow-first";
  static void Apply(PlannerSettings& settings) {
    settings.borrow_first = BorrowFirst::kAlways;
  }
};

/// Guaranteed cells that are bound permanently to physical cells, by account.
struct StaticBindings {
  std::map<AccountIndex, std::vector<Mask>> bindings;

  Mask Allowed(AccountIndex account, WorkerIndex worker) const {
    const auto account_masks = this->bindings.find(account);
    return account_masks == this->bindings.end()
               ? 0
               : account_masks->second[worker];
  }
};

/// Binds every guaranteed cell to a physical cell: whole racks first, then
/// cells by decreasing size, accounts in turn.
inline StaticBindings BindStatically(const Cluster& cluster) {
  const CellAllocator& allocator = cluster.GetAllocator();
  std::vector<Mask> open(allocator.WorkerCount());
  for (WorkerIndex worker = 0; worker < open.size(); ++worker) {
    open[worker] = MaskOf(0, allocator.GetWorker(worker).accelerators);
  }
  StaticBindings result;
  const auto take = [&](AccountIndex account, WorkerIndex worker, Mask mask) {
    auto& account_masks = result.bindings[account];
    account_masks.resize(open.size(), 0);
    account_masks[worker] |= mask;
    open[worker] &= ~mask;
  };
  std::vector<std::pair<std::uint32_t, AccountIndex>> cells;
  for (const auto& [id, account] : cluster.CurrentPolicy().accounts) {
    const AccountIndex index = cluster.AccountIndexOf(id);
    for (const auto& part : account.guarantee) {
      for (std::uint32_t i = 0; i < part.count; ++i) {
        cells.emplace_back(part.whole_rack ? 0 : part.accelerators, index);
      }
    }
  }
  std::stable_sort(cells.begin(), cells.end(),
                   [](const auto& a, const auto& b) {
                     const auto rank = [](std::uint32_t size) {
                       return size == 0 ? kMaxAccelerators + 1 : size;
                     };
                     return rank(a.first) > rank(b.first);
                   });
  RackIndex next_rack = 0;
  for (const auto& [size, account] : cells) {
    if (size == 0) {
      for (const WorkerIndex worker : allocator.RackWorkers(next_rack++)) {
        take(account, worker, open[worker]);
      }
      continue;
    }
    for (WorkerIndex worker = 0; worker < open.size(); ++worker) {
      if (const auto first = BestFit(open[worker], size)) {
        take(account, worker, MaskOf(*first, size));
        break;
      }
    }
  }
  return result;
}

/// The planner with guaranteed work confined to statically bound cells.
class StaticBindingPlanner {
 public:
  static constexpr std::string_view kName = "virtual";

  Plan Propose(const Cluster& cluster, Instant now, const PlannerInput& view) {
    if (this->bindings.bindings.empty()) {
      this->bindings = BindStatically(cluster);
    }
    Plan plan;
    const auto proposed_jobs =
        this->planner.ProposeMaintenance(cluster, now, view, plan);
    PlacementStep<StaticBindings> step(cluster, this->settings, now,
                                       this->bindings);
    step.Run(proposed_jobs, plan);
    return plan;
  }

 private:
  PlannerSettings settings;
  Planner planner;
  StaticBindings bindings;
};

/// First come, first fit: each account uses only its own guarantee, in
/// submission order.
class FirstComeFirstFit {
 public:
  static constexpr std::string_view kName = "first-fit";

  Plan Propose(const Cluster& cluster, Instant now, const PlannerInput& view) {
    Plan plan;
    this->planner.ProposeMaintenance(cluster, now, view, plan);
    CellAllocator allocator = cluster.GetAllocator();
    for (const auto& [id, account] : cluster.CurrentPolicy().accounts) {
      std::map<Offset, const Job*> waiting;
      for (const auto& [key, entries] : cluster.Queue()) {
        if (key.account == id) {
          for (const QueueEntry& entry : entries) {
            waiting[entry.submitted_offset] = cluster.FindJob(entry.job);
          }
        }
      }
      for (const auto& [offset, job] : waiting) {
        if (!this->Place(cluster, allocator, *job, plan)) {
          break;
        }
      }
    }
    return plan;
  }

 private:
  bool Place(const Cluster& cluster,
             CellAllocator& allocator,
             const Job& job,
             Plan& plan) {
    const bool in_rack = job.spec.adjacency() == records::ADJACENCY_RACK;
    for (RackIndex rack = 0; rack < (in_rack ? allocator.RackCount() : 1);
         ++rack) {
      std::vector<WorkerIndex> workers;
      for (WorkerIndex worker = 0; worker < allocator.WorkerCount(); ++worker) {
        if (!in_rack || allocator.GetWorker(worker).rack == rack) {
          workers.push_back(worker);
        }
      }
      if (this->PlaceOn(cluster, allocator, job, workers, plan)) {
        return true;
      }
    }
    return false;
  }

  bool PlaceOn(const Cluster& cluster,
               CellAllocator& allocator,
               const Job& job,
               const std::vector<WorkerIndex>& workers,
               Plan& plan) {
    Allocation allocation;
    allocation.account = cluster.AccountIndexOf(AccountId(job.spec.account()));
    const JobHandle handle = allocator.AddAllocation(allocation);
    const MemberSize size = cluster.EffectiveSize(job.spec);
    std::vector<Cell> cells;
    for (const WorkerIndex worker : workers) {
      const std::uint32_t count = CellFor(allocator.GetWorker(worker), size);
      for (std::uint32_t first = 0;
           count != 0 && first < allocator.GetWorker(worker).accelerators &&
           cells.size() < job.spec.members();
           first += count) {
        const Cell cell[] = {{worker, first, count}};
        if (allocator.Place(handle, cell, {}) == records::Verdict::kAccepted) {
          cells.push_back(cell[0]);
        }
      }
    }
    if (cells.size() < job.spec.members()) {
      allocator.Vacate(handle, cells);
      allocator.RemoveAllocation(handle);
      return false;
    }
    auto& placed = *plan.records.emplace_back().mutable_gang_placed();
    placed.set_job(job.id.value);
    placed.set_attempt(job.attempt);
    for (const Cell& cell : cells) {
      const Worker& worker =
          cluster.Workers().at(cluster.WorkerAt(cell.worker));
      auto& member = *placed.add_members();
      member.set_worker(worker.id.value);
      member.set_incarnation(worker.incarnation);
      member.set_first_accelerator(cell.first);
      member.set_accelerators(cell.count);
    }
    return true;
  }

  Planner planner;
};

}  // namespace carobrill::scheduling::bench

#endif  // PACKAGES_SCHEDULING_BENCH_POLICIES_H_
