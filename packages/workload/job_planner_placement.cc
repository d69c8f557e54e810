// The part of JobPlanner that selects which waiting tasks run next, and where.

#include <algorithm>
#include <limits>
#include <utility>

#include "packages/workload/crash_isolation.h"
#include "packages/workload/job_objective.h"
#include "packages/workload/job_planner.h"
#include "packages/workload/record_codec.h"

namespace carobrill::workload {
namespace {

/// Maximum work that may be lost to preemption for urgent work, as a multiple
/// of that urgent work. An urgent task that ends in time is worth about twice
/// the cost of its own work, one that ends late a fraction of that.
constexpr double kMaxLostWorkRatio = 2;
constexpr double kMaxLostWorkRatioWhenLate = 0.5;

/// Maximum share of a service's capacity that is kept free for waiting gangs,
/// and the share that must be in use meanwhile: the platform counts a job as
/// lost that waits for 3 s while under half is in use.
constexpr double kMaxReservedShare = 0.4;
constexpr double kMinUsedShare = 0.5;

/// Number of starts that a job may always have unconfirmed.
constexpr std::size_t kUnpacedStarts = 16;

/// Maximum size of all unconfirmed starts beyond that, in bytes. The planner
/// holds them several times: as orders, and as messages.
constexpr std::size_t kMaxStartingBytes = 8'000'000;

/// Maximum number of workers that a policy accepts in one request.
constexpr std::size_t kMaxAdviceCandidates = 100;

}  // namespace

void JobPlanner::HoldHeadroom(const std::vector<WaitingUnit>& waiting,
                              Pass& pass) {
  for (const auto& [service, capacity] : pass.map.Services()) {
    Resources urgent = capacity.used_by_urgent;
    for (const WaitingUnit& unit : waiting) {
      const Submission& submission = unit.job->submission;
      if (submission.priority == 0 && submission.service == service) {
        urgent += unit.unit.Spec().PlacementDemand().Times(unit.waiting_tasks);
      }
    }
    this->headroom.Observe(service, DominantShare(urgent, capacity.total),
                           pass.time.now);
    pass.map.HoldHeadroom(service, this->headroom.ShareFor(service));
  }
}

// Urgent gangs have headroom and preempt others instead.
void JobPlanner::ReserveWorkers(const WaitingUnit& waiting, Pass& pass) {
  const Submission& submission = waiting.job->submission;
  const auto service = pass.map.Services().find(submission.service);
  if (service == pass.map.Services().end()) {
    return;
  }
  const auto& [total, used, used_by_urgent] = service->second;
  Resources reserved = pass.reserved[submission.service];
  reserved += waiting.unit.Spec().PlacementDemand().Times(
      static_cast<std::int64_t>(waiting.unit.tasks.size()));
  const Instant now = pass.time.now;
  if (submission.priority == 0 || waiting.too_late ||
      waiting.unit.allowed_workers.has_value() ||
      now < waiting.runnable_since.After(
                this->settings.gang_reservation_wait_ms) ||
      DominantShare(used, total) < kMinUsedShare ||
      DominantShare(reserved, total) > kMaxReservedShare) {
    return;
  }
  const bool any_rack =
      now >= waiting.runnable_since.After(this->settings.max_rack_wait_ms) ||
      !FitsOnOneRack(waiting.unit, pass.map);
  const auto reservation =
      ReserveForGang(waiting.unit, pass.map,
                     {CapacityKind::kFutureFree, any_rack, true, false});
  if (!reservation.has_value()) {
    return;
  }
  for (const auto& [worker, demand] : *reservation) {
    pass.map.Reserve(worker, demand);
  }
  pass.reserved[submission.service] = reserved;
}

// A wide urgent step whose objective leaves time for several waves takes no
// larger share of the capacity at once than the objective assumes: no other job
// may preempt its tasks, so urgent jobs that arrive meanwhile could not start
// until these end. A guaranteed job has to start all of its tasks within a time
// limit.
std::int64_t JobPlanner::MaxNewRuns(const WaitingUnit& waiting) const {
  const StepSpec& spec = waiting.unit.Spec();
  if (waiting.unit.submission->priority > 0 || waiting.guaranteed ||
      spec.long_running || waiting.slack_ms <= spec.estimate_ms) {
    return std::numeric_limits<std::int64_t>::max();
  }
  return this->objective.TasksAtOnce(spec) -
         std::ranges::count_if(waiting.Step().tasks, [](const auto& entry) {
           return entry.second.HoldsResources();
         });
}

// Answers jobs of thousands of tasks: during a pass, the planner neither keeps
// its role nor answers, so the number of placements is limited. Other accounts,
// and then other jobs, get some of them as well. Otherwise, wide jobs that are
// still being placed would keep them from free capacity, pass after pass.
void JobPlanner::ScheduleUnits(std::vector<WaitingUnit>& waiting, Pass& pass) {
  pass.placements_left = this->settings.max_placements_per_pass;
  std::set<AccountId> accounts;
  std::set<JobId> jobs;
  std::size_t next = 0;
  while (next < waiting.size() && pass.placements_left > 0) {
    accounts.insert(waiting[next].job->submission.account);
    jobs.insert(waiting[next].job->submission.id);
    this->ScheduleTasks(waiting[next++], pass);
  }
  std::vector<WaitingUnit*> first_of_account;
  std::vector<WaitingUnit*> first_of_job;
  std::vector<WaitingUnit*> others;
  for (std::size_t i = next; i < waiting.size(); ++i) {
    const Submission& submission = waiting[i].job->submission;
    const bool new_job = jobs.insert(submission.id).second;
    if (accounts.insert(submission.account).second) {
      first_of_account.push_back(&waiting[i]);
    } else {
      (new_job ? first_of_job : others).push_back(&waiting[i]);
    }
  }
  std::int64_t left = this->settings.max_placements_per_pass;
  std::size_t units = waiting.size() - next;
  for (const auto& group : {first_of_account, first_of_job, others}) {
    for (WaitingUnit* unit : group) {
      if (left <= 0) {
        break;
      }
      const std::int64_t share =
          std::max<std::int64_t>(1, left / static_cast<std::int64_t>(units--));
      pass.placements_left = share;
      this->ScheduleTasks(*unit, pass);
      left -= share - pass.placements_left;
    }
  }
  // Without new runs, another pass finds the same until something changes.
  this->pass_cut_short = pass.any_assigned && (pass.cut_short || left <= 0);
}

// When a task finds no worker, the tasks that have waited no longer find none
// either, unless a worker has crashed under it: it may wait for an idle worker
// while others need none.
void JobPlanner::ScheduleTasks(WaitingUnit& waiting, Pass& pass) {
  const Submission& submission = waiting.job->submission;
  if (submission.advice.has_value()) {
    waiting.unit.allowed_workers = this->advice_cache.GrantedWorkers(
        {submission.id, waiting.unit.occurrence, waiting.unit.step},
        pass.time.now);
  }
  CountTasksByWorker(waiting);
  std::int64_t& first_runs_left = FirstRunsLeft(waiting, pass);
  if (waiting.unit.Spec().gang) {
    const auto tasks = static_cast<std::int64_t>(waiting.unit.tasks.size());
    const std::int64_t first_runs = waiting.CountFirstRuns();
    if (first_runs > first_runs_left && first_runs_left < kMaxTasksAtWork) {
      return;
    }
    // The starts of a gang cannot be paced, so they wait for earlier ones.
    if (waiting.unit.tasks.size() > kUnpacedStarts &&
        pass.map.StartingBytes() >= kMaxStartingBytes) {
      return;
    }
    if (this->ScheduleUnit(waiting, pass)) {
      pass.placements_left -= tasks;
      first_runs_left = std::max<std::int64_t>(0, first_runs_left - first_runs);
    } else {
      this->ReserveWorkers(waiting, pass);
    }
    return;
  }
  Instant failed_since = Instant::Never();
  std::int64_t new_runs_left = this->MaxNewRuns(waiting);
  const auto listed = static_cast<std::int64_t>(waiting.unit.tasks.size());
  for (const std::uint32_t index : std::exchange(waiting.unit.tasks, {})) {
    if (new_runs_left <= 0) {
      return;
    }
    if (pass.placements_left <= 0) {
      pass.cut_short = true;
      return;
    }
    waiting.unit.paced = pass.map.CountStarts(submission.id) >= kUnpacedStarts;
    if (waiting.unit.paced && pass.map.StartingBytes() >= kMaxStartingBytes) {
      return;
    }
    waiting.unit.tasks = {index};
    const std::int64_t first_runs = waiting.CountFirstRuns();
    if (first_runs > first_runs_left) {
      continue;
    }
    waiting.runnable_since = waiting.Step().WaitingSince(index);
    if (waiting.runnable_since >= failed_since) {
      continue;
    }
    if (this->ScheduleUnit(waiting, pass)) {
      --new_runs_left;
      --pass.placements_left;
      first_runs_left -= first_runs;
    } else if (waiting.unit.worker_crashes == 0) {
      failed_since = waiting.runnable_since;
    }
  }
  pass.cut_short = pass.cut_short || (failed_since == Instant::Never() &&
                                      listed < waiting.waiting_tasks);
}

std::int64_t& JobPlanner::FirstRunsLeft(const WaitingUnit& waiting,
                                        Pass& pass) {
  const auto [left, added] =
      pass.first_runs_left.try_emplace(waiting.job->submission.id, 0);
  if (added) {
    // A gang may exceed the limit.
    left->second = std::max<std::int64_t>(
        0, std::int64_t{kMaxTasksAtWork} - waiting.job->CountTasksAtWork());
  }
  return left->second;
}

// Runs that the pass adds are counted as they are assigned.
void JobPlanner::CountTasksByWorker(WaitingUnit& waiting) {
  if (waiting.unit.Spec().max_per_worker == 0) {
    return;
  }
  for (const auto& [index, task] : waiting.Step().tasks) {
    if (task.HoldsResources()) {
      ++waiting.unit.tasks_by_worker[task.worker];
    }
  }
}

bool JobPlanner::ScheduleUnit(WaitingUnit& waiting, Pass& pass) {
  waiting.unit.worker_crashes =
      CountWorkerCrashes(waiting.Step(), waiting.unit);
  if (this->ScheduleByLocality(waiting, pass)) {
    return true;
  }
  if (waiting.unit.allowed_workers.has_value()) {
    this->RequestAdvice(waiting, pass);
  }
  return false;
}

// A long-running task has to run at any time.
bool JobPlanner::MayUseHeadroom(const WaitingUnit& waiting,
                                const Pass& pass) const {
  const Submission& submission = waiting.job->submission;
  if (submission.priority == 0 || waiting.unit.Spec().long_running) {
    return true;
  }
  const auto service = pass.map.Services().find(submission.service);
  return service == pass.map.Services().end() ||
         UrgentHeadroom::Admits(
             DominantShare(service->second.used, service->second.total),
             waiting.runnable_since, pass.time.now);
}

// Workers on which the unit meets its objective are tried first. Urgent work
// waits for them as long as for a rack, because on slower ones it ends late for
// certain.
bool JobPlanner::ScheduleByLocality(WaitingUnit& waiting, Pass& pass) {
  const Instant now = pass.time.now;
  const std::uint32_t searches_before = pass.preemption_searches;
  if (waiting.required_speed > 0) {
    if (this->ScheduleAtSpeed(waiting, pass, waiting.required_speed)) {
      return true;
    }
    const bool waits =
        waiting.unit.submission->priority == 0 && waiting.slack_ms > 0 &&
        now < waiting.runnable_since.After(
                  this->settings.max_urgent_rack_wait_ms) &&
        FitsIfIdle(waiting.unit, pass.map, waiting.required_speed);
    if (waits) {
      this->NoteSearches(waiting, pass, searches_before);
      return false;
    }
  }
  if (this->ScheduleAtSpeed(waiting, pass, 0)) {
    return true;
  }
  this->NoteSearches(waiting, pass, searches_before);
  return false;
}

void JobPlanner::NoteSearches(const WaitingUnit& waiting,
                              const Pass& pass,
                              std::uint32_t searches_before) {
  if (pass.preemption_searches > searches_before) {
    waiting.Task(waiting.unit.tasks.front()).preemption_search_at =
        pass.time.now.After(this->settings.preemption_search_interval_ms);
  }
}

// Tries workers on preferred racks that are not avoided first, then avoided
// workers, then other racks once the wait for a rack is over. Returns true when
// the unit has been placed, or has reserved capacity that is being freed.
bool JobPlanner::ScheduleAtSpeed(WaitingUnit& waiting,
                                 Pass& pass,
                                 double min_speed) {
  const Instant now = pass.time.now;
  const bool urgent = waiting.unit.submission->priority == 0;
  const std::int64_t max_wait_ms = urgent
                                       ? this->settings.max_urgent_rack_wait_ms
                                       : this->settings.max_rack_wait_ms;
  const bool allow_any_rack =
      now >= waiting.runnable_since.After(max_wait_ms) ||
      !FitsOnOneRack(waiting.unit, pass.map);
  const bool headroom = this->MayUseHeadroom(waiting, pass);
  if (waiting.unit.worker_crashes > 0) {
    for (const bool any_rack : {false, true}) {
      if ((!any_rack || allow_any_rack) &&
          this->TryPlace(waiting, pass,
                         {CapacityKind::kFree, any_rack, true, headroom,
                          /*idle_only=*/true, min_speed})) {
        return true;
      }
    }
    if (MustWaitForIdleWorker(waiting.unit, waiting.runnable_since, now)) {
      return false;
    }
  }
  const PlacementConstraints preferred{
      CapacityKind::kFree, false, false, headroom, false, min_speed};
  const PlacementConstraints preferred_future_free{
      CapacityKind::kFutureFree, false, false, headroom, false, min_speed};
  if (this->TryPlace(waiting, pass, preferred) ||
      this->TryReserve(waiting, pass, preferred_future_free)) {
    return true;
  }
  const bool needs_preemption = urgent &&
                                !IsLastAttempt(waiting.unit.worker_crashes) &&
                                this->NeedsPreemption(waiting, now);
  if (needs_preemption &&
      this->TryPreempt(waiting, pass, preferred_future_free)) {
    return true;
  }
  for (const bool any_rack : {false, true}) {
    if (any_rack && !allow_any_rack) {
      break;
    }
    const PlacementConstraints free{
        CapacityKind::kFree, any_rack, true, headroom, false, min_speed};
    const PlacementConstraints future_free{
        CapacityKind::kFutureFree, any_rack, true, headroom, false, min_speed};
    if (this->TryPlace(waiting, pass, free) ||
        this->TryReserve(waiting, pass, future_free) ||
        (needs_preemption && this->TryPreempt(waiting, pass, future_free))) {
      return true;
    }
  }
  return false;
}

// Adds at most one request per step and planning pass, for the eligible workers
// with the largest share of free capacity. Denied workers are left out later,
// so that the next request includes others.
void JobPlanner::RequestAdvice(const WaitingUnit& waiting, const Pass& pass) {
  const PlacementUnit& unit = waiting.unit;
  const StepKey step{unit.submission->id, unit.occurrence, unit.step};
  if (std::ranges::find(this->pending_advice, step, &AdviceRequest::step) !=
      this->pending_advice.end()) {
    return;
  }
  PlacementUnit anywhere = unit;
  anywhere.allowed_workers.reset();
  const PlacementConstraints constraints{CapacityKind::kFree, true, true, true};
  std::vector<std::pair<double, WorkerIncarnation>> candidates;
  for (const WorkerCapacity& entry : pass.map.Entries()) {
    const WorkerDescription& worker = entry.worker->description;
    if (IsEligible(anywhere, entry, constraints) &&
        unit.Spec().PlacementDemand().FitsIn(worker.capacity) &&
        this->advice_cache.CanRequest(step, worker.incarnation,
                                      pass.time.now)) {
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

std::optional<std::vector<std::size_t>> JobPlanner::FindWorkers(
    const PlacementUnit& unit,
    Pass& pass,
    const PlacementConstraints& constraints) const {
  if (pass.failed.Contains(unit, constraints)) {
    return std::nullopt;
  }
  auto workers = SelectWorkers(unit, pass.map, constraints);
  if (!workers.has_value()) {
    pass.failed.Add(unit, constraints);
  }
  return workers;
}

bool JobPlanner::TryPlace(WaitingUnit& waiting,
                          Pass& pass,
                          const PlacementConstraints& constraints) {
  const auto workers = this->FindWorkers(waiting.unit, pass, constraints);
  if (!workers.has_value()) {
    return false;
  }
  this->AssignRuns(waiting, *workers, pass);
  for (const std::size_t worker : *workers) {
    pass.map.Reserve(worker, waiting.unit.Spec().PlacementDemand());
    if (waiting.unit.worker_crashes > 0) {
      pass.map.MarkSuspect(worker, waiting.unit.submission->id,
                           waiting.unit.worker_crashes);
    }
  }
  return true;
}

bool JobPlanner::TryReserve(const WaitingUnit& waiting,
                            Pass& pass,
                            const PlacementConstraints& constraints) {
  const auto workers = this->FindWorkers(waiting.unit, pass, constraints);
  if (!workers.has_value()) {
    return false;
  }
  for (const std::size_t worker : *workers) {
    pass.map.Reserve(worker, waiting.unit.Spec().PlacementDemand());
  }
  return true;
}

// Searches are the most expensive part of a pass under overload, so each unit
// is searched for only a few times a second and each pass makes a limited
// number of searches.
bool JobPlanner::TryPreempt(const WaitingUnit& waiting,
                            Pass& pass,
                            const PlacementConstraints& constraints) {
  const Instant now = pass.time.now;
  if (now < waiting.PreemptionSearchAt() ||
      pass.preemption_searches >= this->settings.max_preemption_searches) {
    return false;
  }
  if (!pass.victims.has_value()) {
    pass.victims.emplace(pass.map, this->guaranteed_jobs, now);
  }
  ++pass.preemption_searches;
  const auto plan = PlanPreemption(waiting.unit, pass.map, constraints,
                                   *pass.victims, this->RightsOf(waiting, now));
  if (!plan.has_value()) {
    return false;
  }
  for (const std::size_t victim : plan->victims) {
    this->StopVictim(pass.victims->MarkStopped(victim), waiting, pass);
  }
  for (const std::size_t worker : plan->workers) {
    pass.map.Reserve(worker, waiting.unit.Spec().PlacementDemand());
  }
  pass.failed.ForgetFutureFree();
  return true;
}

// Lost work has to be repeated, so more than these multiples of the urgent work
// are given up only for a guarantee.
PreemptionRights JobPlanner::RightsOf(const WaitingUnit& waiting,
                                      Instant now) const {
  PreemptionRights rights{waiting.unit.submission->priority, waiting.guaranteed,
                          std::numeric_limits<double>::infinity()};
  if (!this->IsGuaranteeDue(waiting, now)) {
    const StepSpec& spec = waiting.unit.Spec();
    const double own_core_s = spec.demand.WeightedCores() *
                              static_cast<double>(spec.estimate_ms) / 1000 *
                              static_cast<double>(waiting.unit.tasks.size());
    rights.max_lost_core_s =
        own_core_s *
        (waiting.slack_ms >= 0 ? kMaxLostWorkRatio : kMaxLostWorkRatioWhenLate);
  }
  return rights;
}

// Units within a guarantee are served before all others, also when their job
// has run before: what they free at any cost would otherwise be taken by units
// that are served earlier, and they would preempt again in each pass.
bool JobPlanner::IsGuaranteeDue(const WaitingUnit& waiting, Instant now) const {
  return waiting.guaranteed && now >= waiting.runnable_since.After(
                                          this->settings.max_guarantee_wait_ms);
}

void JobPlanner::StopVictim(const Victim& victim,
                            const WaitingUnit& waiting,
                            Pass& pass) {
  Job& job = this->jobs.at(victim.runs.front().key.job);
  for (const ActiveRun& run : victim.runs) {
    run.task->phase = TaskPhase::kStopping;
    this->MarkChanged(job, run.key);
    const bool kept = run.spec->checkpointable;
    this->RecordEvent(PlannerEventKind::kPreempted, run.key, run.task->run,
                      run.task->worker.id,
                      "for job " + waiting.unit.submission->id.value +
                          " with slack " + std::to_string(waiting.slack_ms) +
                          " ms; work is " + (kept ? "kept" : "lost"),
                      pass.time.now.ms - run.task->ordered_at.ms);
  }
  for (const auto& [worker, freed] : victim.freed) {
    pass.map.MarkReleasing(worker, freed);
  }
}

void JobPlanner::AssignRuns(WaitingUnit& waiting,
                            const std::vector<std::size_t>& workers,
                            Pass& pass) {
  pass.any_assigned = true;
  PlacementUnit& unit = waiting.unit;
  const Instant now = pass.time.now;
  std::uint32_t run = 0;
  for (const std::uint32_t index : unit.tasks) {
    run = std::max(run, waiting.Task(index).run + 1);
  }
  StepState& step = waiting.Step();
  step.stopping = false;
  step.first_on_probation = 0;
  const bool full_speed_rack = this->RunsAtFullSpeed(waiting, workers, pass);
  const std::string description =
      this->DescribeAssignment(waiting, workers, pass);
  for (std::size_t i = 0; i < unit.tasks.size(); ++i) {
    TaskState& task = waiting.Task(unit.tasks[i]);
    task.phase = TaskPhase::kStarting;
    task.checkpoint = step.CheckpointOf(task);
    task.run = run;
    task.worker =
        pass.map.Entries()[workers[i]].worker->description.incarnation;
    task.commit = this->next_commit;
    const std::string* ticket = this->advice_cache.FindTicket(
        {unit.submission->id, unit.occurrence, unit.step}, task.worker, now);
    task.ticket = ticket == nullptr ? std::string() : *ticket;
    task.percent = 0;
    task.ordered_at = now;
    task.progress_at = now;
    task.listed_since = Instant::Never();
    task.outlived_probation = false;
    task.full_speed_rack = full_speed_rack;
    pass.map.AddStart(workers[i], *unit.submission, task);
    const TaskKey key{unit.submission->id, unit.occurrence, unit.step,
                      unit.tasks[i]};
    this->RecordEvent(PlannerEventKind::kAssigned, key, run, task.worker.id,
                      description, now.ms - task.waiting_since.ms);
    task.waiting_since = {};
    if (unit.Spec().max_per_worker > 0) {
      ++unit.tasks_by_worker[task.worker];
    }
    this->MarkChanged(*waiting.job, key);
  }
}

}  // namespace carobrill::workload
