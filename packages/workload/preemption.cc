#include "packages/workload/preemption.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace carobrill::workload {
namespace {

/// Fraction of the elapsed work that counts as lost when a preempted task can
/// resume from a checkpoint.
constexpr double kCheckpointedLossFactor = 0.1;

/// Lowest priority, as the highest number, that lowers the cost of a victim.
/// Victims with higher numbers cost the same.
constexpr std::uint32_t kLowestWeightedPriority = 4;

constexpr double kMsPerSecond = 1'000;

void AddRun(const ActiveRun& run,
            std::size_t worker,
            Instant now,
            Victim& victim) {
  const Resources demand = run.spec->PlacementDemand();
  if (!victim.freed.empty() && victim.freed.back().first == worker) {
    victim.freed.back().second += demand;
  } else {
    victim.freed.emplace_back(worker, demand);
  }
  const double elapsed_s =
      static_cast<double>(now.ms - run.task->ordered_at.ms) / kMsPerSecond;
  const double lost_core_s =
      run.spec->demand.WeightedCores() * elapsed_s *
      (run.spec->checkpointable ? kCheckpointedLossFactor : 1);
  const double weight = 1 + kLowestWeightedPriority -
                        std::min(victim.priority, kLowestWeightedPriority);
  victim.runs.push_back(run);
  victim.lost_core_s += lost_core_s;
  victim.cost += weight * (1 + lost_core_s);
}

/// Victims to stop so that one more task fits on a worker.
struct Eviction {
  std::vector<std::size_t> victims;
  double cost = 0;
  double lost_core_s = 0;
};

/// Searches victims for one unit within one set of workers.
class EvictionSearch {
 public:
  EvictionSearch(const PlacementUnit& unit,
                 const CapacityMap& map,
                 const VictimPool& pool,
                 const PreemptionRights& rights)
      : unit(unit),
        map(map),
        pool(pool),
        rights(rights),
        demand(unit.Spec().PlacementDemand()),
        selected(pool.Victims().size(), false),
        stops_left(pool.StopsLeft()) {}

  // After each task only the evictions of the workers that it changed are
  // computed again.
  std::optional<PreemptionPlan> Run(const std::vector<std::size_t>& workers) {
    for (const std::size_t worker : workers) {
      this->sites.emplace(worker,
                          Site{this->map.Entries()[worker].future_free, 0, {}});
    }
    for (auto& [worker, site] : this->sites) {
      site.eviction = this->FindEviction(worker, site);
    }
    for (std::size_t i = 0; i < this->unit.tasks.size(); ++i) {
      const auto best =
          std::ranges::min_element(this->sites, {}, [](const auto& entry) {
            return entry.second.eviction.has_value()
                       ? entry.second.eviction->cost
                       : std::numeric_limits<double>::infinity();
          });
      if (best == this->sites.end() || !best->second.eviction.has_value() ||
          this->plan.lost_core_s + best->second.eviction->lost_core_s >
              this->rights.max_lost_core_s) {
        return std::nullopt;
      }
      this->Apply(best->first, best->second);
    }
    return std::move(this->plan);
  }

 private:
  /// A worker and the cheapest way to fit one more task on it.
  struct Site {
    Resources future_free;
    std::uint32_t placed = 0;
    std::optional<Eviction> eviction;
  };

  // Adds victims in order of increasing cost until the task fits, then removes
  // those that turn out not to be needed, the most expensive first.
  std::optional<Eviction> FindEviction(std::size_t worker,
                                       const Site& site) const {
    if (RemainingSpreadLimit(this->unit, this->map.Entries()[worker]) <=
        site.placed) {
      return std::nullopt;
    }
    Resources available = site.future_free;
    std::vector<std::pair<std::size_t, Resources>> chosen;
    StopsLeft left = this->stops_left;
    for (const auto& [victim, freed] : this->pool.OnWorker(worker)) {
      if (this->demand.FitsIn(available)) {
        break;
      }
      if (!this->selected[victim] &&
          this->rights.Allows(this->pool.Victims()[victim]) &&
          TakeStops(this->pool.Victims()[victim], left)) {
        available += freed;
        chosen.emplace_back(victim, freed);
      }
    }
    if (!this->demand.FitsIn(available)) {
      return std::nullopt;
    }
    Eviction eviction;
    for (std::size_t i = chosen.size(); i-- > 0;) {
      const auto& [victim, freed] = chosen[i];
      Resources remaining = available;
      remaining -= freed;
      if (this->demand.FitsIn(remaining)) {
        available = remaining;
        continue;
      }
      eviction.victims.push_back(victim);
      eviction.cost += this->pool.Victims()[victim].cost;
      eviction.lost_core_s += this->pool.Victims()[victim].lost_core_s;
    }
    return eviction;
  }

  void Apply(std::size_t worker, Site& site) {
    const Eviction eviction = *std::exchange(site.eviction, std::nullopt);
    site.future_free -= this->demand;
    ++site.placed;
    this->plan.workers.push_back(worker);
    this->plan.cost += eviction.cost;
    this->plan.lost_core_s += eviction.lost_core_s;
    std::set<std::size_t> changed = {worker};
    bool stops_taken = false;
    for (const std::size_t victim : eviction.victims) {
      this->selected[victim] = true;
      this->plan.victims.push_back(victim);
      TakeStops(this->pool.Victims()[victim], this->stops_left);
      stops_taken =
          stops_taken || this->pool.Victims()[victim].limited_step != nullptr;
      for (const auto& [freed_on, freed] : this->pool.Victims()[victim].freed) {
        const auto other = this->sites.find(freed_on);
        if (other != this->sites.end()) {
          other->second.future_free += freed;
          changed.insert(freed_on);
        }
      }
    }
    if (stops_taken) {
      for (const auto& [index, other] : this->sites) {
        changed.insert(index);
      }
    }
    for (const std::size_t index : changed) {
      Site& other = this->sites.at(index);
      other.eviction = this->FindEviction(index, other);
    }
  }

  using StopsLeft = std::map<const StepState*, std::int64_t>;

  // Returns false when the step of the victim may not miss so many tasks.
  static bool TakeStops(const Victim& victim, StopsLeft& left) {
    if (victim.limited_step == nullptr) {
      return true;
    }
    const auto tasks = static_cast<std::int64_t>(victim.runs.size());
    std::int64_t& step_left = left.at(victim.limited_step);
    if (step_left < tasks) {
      return false;
    }
    step_left -= tasks;
    return true;
  }

  const PlacementUnit& unit;
  const CapacityMap& map;
  const VictimPool& pool;
  const PreemptionRights& rights;
  Resources demand;
  std::vector<bool> selected;
  StopsLeft stops_left;
  std::map<std::size_t, Site> sites;
  PreemptionPlan plan;
};

}  // namespace

VictimPool::VictimPool(const CapacityMap& map,
                       const std::set<JobId>& guaranteed_jobs,
                       Instant now) {
  this->by_worker.resize(map.Entries().size());
  std::unordered_map<const StepState*, std::size_t> gangs;
  for (std::size_t worker = 0; worker < map.Entries().size(); ++worker) {
    const WorkerCapacity& entry = map.Entries()[worker];
    if (entry.runs == nullptr) {
      continue;
    }
    for (const ActiveRun& run : *entry.runs) {
      if (run.task->phase == TaskPhase::kStopping ||
          run.task->worker != entry.worker->description.incarnation) {
        continue;
      }
      std::size_t victim = this->victims.size();
      if (run.spec->gang) {
        victim = gangs.emplace(run.step, victim).first->second;
      }
      if (victim == this->victims.size()) {
        this->victims.push_back({});
        this->victims.back().priority = run.job->submission.priority;
        this->victims.back().guaranteed =
            guaranteed_jobs.contains(run.job->submission.id);
      }
      AddRun(run, worker, now, this->victims[victim]);
    }
  }
  for (std::size_t v = 0; v < this->victims.size(); ++v) {
    this->LimitUnavailability(this->victims[v]);
    for (const auto& [worker, freed] : this->victims[v].freed) {
      this->by_worker[worker].emplace_back(v, freed);
    }
  }
  for (auto& list : this->by_worker) {
    std::ranges::stable_sort(list, {}, [&](const auto& entry) {
      return this->victims[entry.first].cost;
    });
  }
}

void VictimPool::LimitUnavailability(Victim& victim) {
  const ActiveRun& run = victim.runs.front();
  if (!run.spec->long_running || run.spec->max_unavailable == 0) {
    return;
  }
  victim.limited_step = run.step;
  if (this->stops_left.contains(run.step)) {
    return;
  }
  const auto available =
      std::ranges::count_if(run.step->tasks, [](const auto& entry) {
        const TaskState& task = entry.second;
        return task.phase == TaskPhase::kRunning &&
               task.percent >= kCompletePercent;
      });
  const std::int64_t unavailable =
      run.spec->tasks - static_cast<std::int64_t>(available);
  this->stops_left[run.step] = run.spec->max_unavailable - unavailable;
}

const Victim& VictimPool::MarkStopped(std::size_t victim) {
  Victim& stopped = this->victims[victim];
  stopped.stopped = true;
  if (stopped.limited_step != nullptr) {
    this->stops_left[stopped.limited_step] -=
        static_cast<std::int64_t>(stopped.runs.size());
  }
  return stopped;
}

std::optional<PreemptionPlan> PlanPreemption(
    const PlacementUnit& unit,
    CapacityMap& map,
    const PlacementConstraints& constraints,
    const VictimPool& pool,
    const PreemptionRights& rights) {
  std::optional<PreemptionPlan> best;
  for (const auto& worker_set : CandidateSets(unit, map, constraints)) {
    auto plan = EvictionSearch(unit, map, pool, rights).Run(worker_set);
    if (plan.has_value() && (!best.has_value() || plan->cost < best->cost)) {
      best = std::move(plan);
    }
  }
  return best;
}

}  // namespace carobrill::workload
