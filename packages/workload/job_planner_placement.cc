// The part of JobPlanner that selects which waiting tasks run next, and where.

#include <algorithm>
#include <utility>

#include "packages/workload/job_objective.h"
#include "packages/workload/job_planner.h"

namespace carobrill::workload {
namespace {

/// Number of ranks within one priority: guaranteed, on time, late, too late.
constexpr std::int64_t kRanksPerPriority = 4;

/// Fraction of the elapsed work that counts as lost when a preempted task can
/// resume from a checkpoint.
constexpr double kCheckpointedLossFactor = 0.1;

/// Maximum work that may be lost to preemption for urgent work, as a multiple
/// of that urgent work. An urgent task that ends in time is worth about twice
/// the cost of its own work.
constexpr double kMaxLostWorkRatio = 2;

/// Number of cores that one accelerator counts as in the cost of lost work.
constexpr double kCoresPerAccelerator = 8;

/// Maximum number of workers that a policy accepts in one request.
constexpr std::size_t kMaxAdviceCandidates = 100;

/// Lowest priority, as the highest number, that lowers the cost of a victim.
/// Victims with higher numbers cost the same.
constexpr std::uint32_t kLowestWeightedPriority = 4;

double CoresOf(const Resources& demand) {
  return static_cast<double>(demand.cpu_millis) / 1000 +
         kCoresPerAccelerator * static_cast<double>(demand.accelerators);
}

bool IsQueued(const Job& job) {
  return job.phase == JobPhase::kQueued;
}

}  // namespace

std::vector<JobPlanner::WaitingUnit> JobPlanner::CollectWaitingUnits(
    const TransitionTime& time) {
  std::vector<WaitingUnit> waiting;
  for (auto& [id, job] : this->jobs) {
    if (IsFinal(job.phase)) {
      continue;
    }
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
      if (time.wall < job.DueAt(k)) {
        break;
      }
      for (std::uint32_t s = 0; s < job.occurrences[k].steps.size(); ++s) {
        if (!job.occurrences[k].steps[s].IsDone() && job.IsStepReady(k, s)) {
          this->CollectStep(job, k, s, time, waiting);
        }
      }
    }
  }
  std::map<TaskKey, Instant> since;
  for (const WaitingUnit& entry : waiting) {
    const TaskKey key{entry.unit.submission->id, entry.unit.occurrence,
                      entry.unit.step, entry.unit.tasks.front()};
    since.emplace(key, entry.runnable_since);
  }
  this->waiting_since = std::move(since);
  return waiting;
}

void JobPlanner::CollectStep(Job& job,
                             std::uint32_t occurrence,
                             std::uint32_t step,
                             const TransitionTime& time,
                             std::vector<WaitingUnit>& waiting) {
  const StepState& state = job.occurrences[occurrence].steps[step];
  PlacementUnit unit{&job.submission, occurrence, step, {}, {}};
  const bool gang = job.submission.spec.steps[step].gang;
  for (std::uint32_t i = 0; i < state.tasks.size(); ++i) {
    const TaskState& task = state.tasks[i];
    const bool ready =
        task.phase == TaskPhase::kWaiting && time.now >= task.not_before;
    if (!ready) {
      if (gang) {
        return;
      }
      continue;
    }
    unit.tasks.push_back(i);
    if (!gang) {
      this->AddWaitingUnit(job, unit, time, waiting);
      unit.tasks.clear();
    }
  }
  if (gang) {
    this->AddWaitingUnit(job, unit, time, waiting);
  }
}

void JobPlanner::AddWaitingUnit(const Job& job,
                                PlacementUnit unit,
                                const TransitionTime& time,
                                std::vector<WaitingUnit>& waiting) {
  WaitingUnit entry;
  const std::uint32_t occurrence = unit.occurrence;
  const TaskKey key{job.submission.id, occurrence, unit.step,
                    unit.tasks.front()};
  const auto known = this->waiting_since.find(key);
  entry.runnable_since =
      known == this->waiting_since.end() ? time.now : known->second;
  entry.guaranteed = this->guaranteed_jobs.contains(job.submission.id);
  entry.rank = job.submission.priority * kRanksPerPriority;
  const DeadlineForecast forecast =
      this->objective.Forecast(job, occurrence, time.wall);
  entry.too_late = forecast == DeadlineForecast::kTooLate;
  if (!(entry.guaranteed && IsQueued(job))) {
    entry.rank += 1 + static_cast<std::int64_t>(forecast);
  }
  entry.slack_ms = this->objective.DeadlineOf(job, occurrence).ms -
                   time.wall.ms - this->objective.RemainingMs(job, occurrence);
  entry.unit = std::move(unit);
  waiting.push_back(std::move(entry));
}

void JobPlanner::ScheduleUnit(WaitingUnit& waiting,
                              CapacityMap& map,
                              const TransitionTime& time) {
  const Submission& submission = *waiting.unit.submission;
  const Job& job = this->jobs.at(submission.id);
  // Includes tasks of the same step that were placed earlier in this pass.
  for (const TaskState& task : job.occurrences[waiting.unit.occurrence]
                                   .steps[waiting.unit.step]
                                   .tasks) {
    if (task.HoldsResources()) {
      ++waiting.unit.tasks_by_worker[task.worker];
    }
  }
  if (!submission.advice.has_value()) {
    this->ScheduleByLocality(waiting, map, time);
    return;
  }
  const StepKey step{submission.id, waiting.unit.occurrence, waiting.unit.step};
  waiting.unit.allowed_workers =
      this->advice_cache.GrantedWorkers(step, time.now);
  if (!this->ScheduleByLocality(waiting, map, time)) {
    this->RequestAdvice(waiting, map, time.now);
  }
}

// Tries workers on preferred racks that are not avoided first, then avoided
// workers, then other racks once the wait for a rack is over. Returns true when
// the unit has been placed, or has reserved capacity that is being freed.
bool JobPlanner::ScheduleByLocality(WaitingUnit& waiting,
                                    CapacityMap& map,
                                    const TransitionTime& time) {
  const bool urgent = waiting.unit.submission->priority == 0;
  const std::int64_t max_wait_ms = urgent
                                       ? this->settings.max_urgent_rack_wait_ms
                                       : this->settings.max_rack_wait_ms;
  const bool allow_any_rack =
      time.now >= waiting.runnable_since.After(max_wait_ms);
  const PlacementConstraints preferred{CapacityKind::kFree, false, false};
  const PlacementConstraints preferred_future_free{CapacityKind::kFutureFree,
                                                   false, false};
  if (this->TryPlace(waiting, map, preferred, time.now) ||
      this->TryReserve(waiting, map, preferred_future_free)) {
    return true;
  }
  const bool needs_preemption =
      urgent && this->NeedsPreemption(waiting, time.now);
  if (needs_preemption &&
      this->TryPreempt(waiting, map, preferred_future_free, time)) {
    return true;
  }
  for (const bool any_rack : {false, true}) {
    if (any_rack && !allow_any_rack) {
      return false;
    }
    const PlacementConstraints free{CapacityKind::kFree, any_rack, true};
    const PlacementConstraints future_free{CapacityKind::kFutureFree, any_rack,
                                           true};
    if (this->TryPlace(waiting, map, free, time.now) ||
        this->TryReserve(waiting, map, future_free) ||
        (needs_preemption &&
         this->TryPreempt(waiting, map, future_free, time))) {
      return true;
    }
  }
  return false;
}

// Adds at most one request per step and planning pass, for the eligible workers
// with the largest share of free capacity. Denied workers are left out later,
// so that the next request includes others.
void JobPlanner::RequestAdvice(const WaitingUnit& waiting,
                               const CapacityMap& map,
                               Instant now) {
  const PlacementUnit& unit = waiting.unit;
  const StepKey step{unit.submission->id, unit.occurrence, unit.step};
  if (std::ranges::find(this->pending_advice, step, &AdviceRequest::step) !=
      this->pending_advice.end()) {
    return;
  }
  PlacementUnit anywhere = unit;
  anywhere.allowed_workers.reset();
  const PlacementConstraints constraints{CapacityKind::kFree, true, true};
  std::vector<std::pair<double, WorkerIncarnation>> candidates;
  for (const WorkerCapacity& entry : map.Entries()) {
    const WorkerDescription& worker = entry.worker->description;
    if (IsEligible(anywhere, entry, constraints) &&
        unit.Spec().PlacementDemand().FitsIn(worker.capacity) &&
        this->advice_cache.CanRequest(step, worker.incarnation, now)) {
      candidates.emplace_back(-DominantShare(entry.free, worker.capacity),
                              worker.incarnation);
    }
  }
  std::ranges::sort(candidates);
  AdviceRequest request{step, {}, *unit.submission->advice};
  const std::size_t most = std::clamp<std::size_t>(
      2 * unit.tasks.size(), kBaselineAdviceCandidates, kMaxAdviceCandidates);
  for (const auto& [rank, incarnation] : candidates) {
    if (request.workers.size() < most) {
      request.workers.push_back(incarnation);
    }
  }
  if (!request.workers.empty()) {
    this->pending_advice.push_back(std::move(request));
  }
}

void JobPlanner::ApplyAdvice(const AdviceRequest& request,
                             const std::vector<AdviceGrant>& grants,
                             Instant expires_at) {
  if (!this->jobs.contains(request.step.job)) {
    return;
  }
  this->advice_cache.Store(request, grants, expires_at);
  this->RecordEvent(
      PlannerEventKind::kAdvised,
      {request.step.job, request.step.occurrence, request.step.step, 0}, 0, {},
      std::to_string(grants.size()) + " of " +
          std::to_string(request.workers.size()) + " workers granted");
}

// Stopped tasks lose most of their work, so others are preempted only when
// waiting longer would miss the objective or the time limit of a guarantee.
bool JobPlanner::NeedsPreemption(const WaitingUnit& waiting,
                                 Instant now) const {
  return this->IsGuaranteeDue(waiting, now) ||
         (!waiting.too_late &&
          waiting.slack_ms <= this->settings.preemption_slack_ms);
}

bool JobPlanner::TryPlace(const WaitingUnit& waiting,
                          CapacityMap& map,
                          const PlacementConstraints& constraints,
                          Instant now) {
  const auto workers = SelectWorkers(waiting.unit, map, constraints);
  if (!workers.has_value()) {
    return false;
  }
  this->AssignRuns(waiting.unit, *workers, map, now);
  for (const std::size_t worker : *workers) {
    map.Reserve(worker, waiting.unit.Spec().PlacementDemand());
  }
  return true;
}

bool JobPlanner::TryReserve(const WaitingUnit& waiting,
                            CapacityMap& map,
                            const PlacementConstraints& constraints) {
  const auto workers = SelectWorkers(waiting.unit, map, constraints);
  if (!workers.has_value()) {
    return false;
  }
  for (const std::size_t worker : *workers) {
    map.Reserve(worker, waiting.unit.Spec().PlacementDemand());
  }
  return true;
}

bool JobPlanner::TryPreempt(const WaitingUnit& waiting,
                            CapacityMap& map,
                            const PlacementConstraints& constraints,
                            const TransitionTime& time) {
  const auto victims = this->CollectVictims(waiting, map, time.now);
  const auto plan = PlanPreemption(waiting.unit, map, constraints, victims);
  if (!plan.has_value() ||
      !this->IsPreemptionJustified(waiting, victims, *plan, time.now)) {
    return false;
  }
  for (const std::size_t victim : plan->victims) {
    this->StopVictim(victims[victim], waiting, map, time.now);
  }
  for (const std::size_t worker : plan->workers) {
    map.Reserve(worker, waiting.unit.Spec().PlacementDemand());
  }
  return true;
}

// Lost work has to be repeated, so more than kMaxLostWorkRatio times the urgent
// work is given up only for a guarantee.
bool JobPlanner::IsPreemptionJustified(const WaitingUnit& waiting,
                                       const std::vector<Victim>& victims,
                                       const PreemptionPlan& plan,
                                       Instant now) const {
  if (this->IsGuaranteeDue(waiting, now)) {
    return true;
  }
  double lost_core_s = 0;
  for (const std::size_t victim : plan.victims) {
    lost_core_s += victims[victim].lost_core_s;
  }
  const StepSpec& spec = waiting.unit.Spec();
  const double own_core_s = CoresOf(spec.demand) *
                            static_cast<double>(spec.estimate_ms) / 1000 *
                            static_cast<double>(waiting.unit.tasks.size());
  return lost_core_s <= kMaxLostWorkRatio * own_core_s;
}

bool JobPlanner::IsGuaranteeDue(const WaitingUnit& waiting, Instant now) const {
  return waiting.guaranteed && now >= waiting.runnable_since.After(
                                          this->settings.max_guarantee_wait_ms);
}

bool JobPlanner::CanPreempt(const WaitingUnit& waiting, const Job& job) const {
  const std::uint32_t priority = waiting.unit.submission->priority;
  if (job.submission.priority > priority) {
    return true;
  }
  return waiting.guaranteed && job.submission.priority == priority &&
         !this->guaranteed_jobs.contains(job.submission.id);
}

std::vector<Victim> JobPlanner::CollectVictims(const WaitingUnit& waiting,
                                               const CapacityMap& map,
                                               Instant now) const {
  std::vector<Victim> victims;
  for (const auto& [id, job] : this->jobs) {
    if (!this->CanPreempt(waiting, job)) {
      continue;
    }
    const double weight =
        1 + kLowestWeightedPriority -
        std::min(job.submission.priority, kLowestWeightedPriority);
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
      const auto& steps = job.occurrences[k].steps;
      for (std::uint32_t s = 0; s < steps.size(); ++s) {
        const StepSpec& spec = job.submission.spec.steps[s];
        const auto unavailable =
            std::ranges::count_if(steps[s].tasks, [](const TaskState& task) {
              return task.phase != TaskPhase::kRunning;
            });
        if (spec.long_running && spec.max_unavailable > 0 &&
            unavailable >= spec.max_unavailable) {
          continue;
        }
        Victim victim;
        for (std::uint32_t i = 0; i < steps[s].tasks.size(); ++i) {
          const TaskState& task = steps[s].tasks[i];
          const std::size_t* worker =
              task.HoldsResources() && task.phase != TaskPhase::kStopping
                  ? map.IndexOf(task.worker)
                  : nullptr;
          if (worker == nullptr) {
            continue;
          }
          victim.tasks.push_back({id, k, s, i});
          victim.freed.emplace_back(*worker, spec.PlacementDemand());
          const double elapsed_s =
              static_cast<double>(now.ms - task.ordered_at.ms) / 1000;
          const double lost_core_s =
              CoresOf(spec.demand) * elapsed_s *
              (spec.checkpointable ? kCheckpointedLossFactor : 1);
          victim.lost_core_s += lost_core_s;
          victim.cost += weight * (1 + lost_core_s);
          if (!spec.gang) {
            victims.push_back(std::exchange(victim, {}));
          }
        }
        if (!victim.tasks.empty()) {
          victims.push_back(std::move(victim));
        }
      }
    }
  }
  return victims;
}

void JobPlanner::StopVictim(const Victim& victim,
                            const WaitingUnit& waiting,
                            CapacityMap& map,
                            Instant now) {
  for (std::size_t i = 0; i < victim.tasks.size(); ++i) {
    const TaskKey& key = victim.tasks[i];
    TaskState* task = this->jobs.at(key.job).Find(key);
    task->phase = TaskPhase::kStopping;
    map.MarkReleasing(victim.freed[i].first, victim.freed[i].second);
    this->changed_jobs.insert(key.job);
    const bool kept = this->jobs.at(key.job).SpecOf(key).checkpointable;
    this->RecordEvent(PlannerEventKind::kPreempted, key, task->run,
                      task->worker.id,
                      "for job " + waiting.unit.submission->id.value +
                          " with slack " + std::to_string(waiting.slack_ms) +
                          " ms; work is " + (kept ? "kept" : "lost"),
                      now.ms - task->ordered_at.ms);
  }
}

void JobPlanner::AssignRuns(const PlacementUnit& unit,
                            const std::vector<std::size_t>& workers,
                            const CapacityMap& map,
                            Instant now) {
  Job& job = this->jobs.at(unit.submission->id);
  auto& tasks = job.occurrences[unit.occurrence].steps[unit.step].tasks;
  std::uint32_t run = 0;
  for (const std::uint32_t index : unit.tasks) {
    run = std::max(run, tasks[index].run + 1);
  }
  for (std::size_t i = 0; i < unit.tasks.size(); ++i) {
    TaskState& task = tasks[unit.tasks[i]];
    task.phase = TaskPhase::kStarting;
    task.run = run;
    task.worker = map.Entries()[workers[i]].worker->description.incarnation;
    task.commit = this->next_commit;
    const std::string* ticket = this->advice_cache.FindTicket(
        {unit.submission->id, unit.occurrence, unit.step}, task.worker, now);
    task.ticket = ticket == nullptr ? std::string() : *ticket;
    task.percent = 0;
    task.ordered_at = now;
    task.progress_at = now;
    const TaskKey key{unit.submission->id, unit.occurrence, unit.step,
                      unit.tasks[i]};
    const auto since = this->waiting_since.find(key);
    this->RecordEvent(
        PlannerEventKind::kAssigned, key, run, task.worker.id,
        unit.Spec().gang ? "gang" : "task",
        since == this->waiting_since.end() ? 0 : now.ms - since->second.ms);
  }
  this->changed_jobs.insert(unit.submission->id);
}

}  // namespace carobrill::workload
