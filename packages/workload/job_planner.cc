#include "packages/workload/job_planner.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace carobrill::workload {
namespace {

/// Percentage of a task's estimated run time that must pass without progress
/// before the task counts as stalled. In less time, slow workers may advance by
/// less than one percent.
constexpr std::int64_t kStallPercentOfEstimate = 30;

std::int64_t PeakAccelerators(const Job& job) {
  std::int64_t most = 0;
  for (const StepSpec& step : job.submission.spec.steps) {
    most = std::max<std::int64_t>(most, step.tasks * step.demand.accelerators);
  }
  return most;
}

std::string LossReason(bool known, bool knows_incarnation) {
  if (!known) {
    return "agent unknown";
  }
  return knows_incarnation ? "another incarnation" : "lease expired";
}

}  // namespace

JobPlanner::JobPlanner(JobPlannerSettings settings) : settings(settings) {}

// The times of the assignment and of the last progress are not stored, so both
// restart now. The wall clock may have been set since the job ended.
void JobPlanner::Load(Job job, const TransitionTime& time) {
  const Instant now = time.now;
  const std::int64_t longest_ms = std::max<std::int64_t>(
      0, this->settings.retention_ms - this->settings.min_loaded_retention_ms);
  job.final_since = now.After(
      -std::clamp<std::int64_t>(time.wall.ms - job.ended_at.ms, 0, longest_ms));
  const JobId id = job.submission.id;
  const auto known = this->jobs.find(id);
  if (known != this->jobs.end()) {
    this->runs.Remove(known->second);
  }
  for (auto& [k, occurrence] : job.occurrences) {
    for (auto& [s, step] : occurrence.steps) {
      step.waiting_since = {};
      step.first_without_state = 0;
      for (auto& [i, task] : step.tasks) {
        task.indexed_phase = TaskPhase::kWaiting;
        task.waiting_since = {};
        task.ordered_at = now;
        task.progress_at = now;
        task.listed_since = Instant::Never();
        task.outlived_probation = false;
        task.full_speed_rack = false;
      }
    }
  }
  job.first_unopened = 0;
  this->next_stall_check = now;
  this->runs.Update(
      this->jobs.insert_or_assign(id, std::move(job)).first->second);
}

void JobPlanner::Submit(Submission submission) {
  const JobId id = submission.id;
  if (!this->jobs.contains(id)) {
    this->jobs.emplace(id, Job::Of(std::move(submission)));
  }
}

void JobPlanner::Cancel(const JobId& id, const TransitionTime& time) {
  const auto job = this->jobs.find(id);
  if (job != this->jobs.end() && RequestCancel(job->second, time)) {
    this->MarkChanged(job->second);
    this->RecordJobEnd(job->second, {id, 0, 0, 0}, 0, {}, time.wall);
  }
}

void JobPlanner::SetGuarantees(std::map<AccountId, std::int64_t> guarantees) {
  this->guarantees = std::move(guarantees);
}

void JobPlanner::SetEvacuatedDomains(
    std::map<FailureDomainId, Instant> domains) {
  this->evacuated_domains = std::move(domains);
  for (auto& [agent, worker] : this->workers) {
    this->MarkEvacuated(worker);
  }
}

void JobPlanner::MarkEvacuated(Worker& worker) const {
  worker.evacuated =
      this->evacuated_domains.contains(worker.description.failure_domain);
}

bool JobPlanner::UpdateWorker(const InstanceId& agent,
                              const WorkerDescription& description,
                              Instant lease_expires_at,
                              const TransitionTime& time) {
  Worker& worker = this->workers[agent];
  worker.agent = agent;
  if (worker.description.incarnation != description.incarnation) {
    worker.consecutive_failures = 0;
    worker.avoid_until = time.now;
    this->runs.MarkChanged(agent);
  }
  const bool changed_for_planning =
      !worker.reachable || worker.description != description;
  worker.description = description;
  this->MarkEvacuated(worker);
  worker.reachable = true;
  worker.lease_expires_at = lease_expires_at;
  return changed_for_planning;
}

void JobPlanner::MarkWorkerUnreachable(const InstanceId& agent) {
  const auto worker = this->workers.find(agent);
  if (worker != this->workers.end()) {
    worker->second.reachable = false;
  }
}

void JobPlanner::RegisterWorker(const InstanceId& agent,
                                Instant lease_expires_at) {
  Worker& worker = this->workers[agent];
  if (worker.agent.empty()) {
    worker.agent = agent;
    worker.lease_expires_at = lease_expires_at;
  }
}

void JobPlanner::SetUnknownWorkerDeadline(Instant deadline) {
  this->unknown_workers_lost_at = deadline;
}

void JobPlanner::EndLostRuns(const TransitionTime& time) {
  std::vector<ActiveRun> lost;
  auto worker = this->workers.begin();
  for (const auto& [agent, runs_here] : this->runs.ByAgent()) {
    while (worker != this->workers.end() && worker->first < agent) {
      ++worker;
    }
    const bool known = worker != this->workers.end() && worker->first == agent;
    // An agent that has just started does not know its worker until it hears a
    // heartbeat, and does not renew its leases.
    const bool knows_incarnation =
        known && worker->second.reachable &&
        !worker->second.description.incarnation.id.empty();
    const Instant lost_at =
        known ? worker->second.lease_expires_at : this->unknown_workers_lost_at;
    const bool expired = !knows_incarnation && time.now >= lost_at;
    const std::size_t lost_before = lost.size();
    for (const ActiveRun& run : runs_here) {
      if (expired ||
          (knows_incarnation &&
           worker->second.description.incarnation != run.task->worker)) {
        lost.push_back(run);
      }
    }
    if (lost.size() > lost_before) {
      this->RecordEvent(PlannerEventKind::kWorkerGivenUp, {}, 0,
                        lost.back().task->worker.id,
                        LossReason(known, knows_incarnation),
                        expired ? time.now.ms - lost_at.ms : 0);
    }
  }
  for (const ActiveRun& run : lost) {
    const WorkerIncarnation incarnation = run.task->worker;
    const auto known = this->workers.find(incarnation.agent);
    // The start of a run that has not been seen running may not have reached
    // the worker.
    const bool crashed = run.task->phase != TaskPhase::kStarting &&
                         known != this->workers.end() &&
                         known->second.description.last_crashed == incarnation;
    const RunEnd end = crashed ? RunEnd::kWorkerCrashed : RunEnd::kWorkerLost;
    this->ApplyEnd(this->jobs.at(run.key.job), incarnation,
                   {run.key, run.task->run, end, {}},
                   PlannerEventKind::kRunLost, time);
  }
}

void JobPlanner::StopStalledTasks(Instant now) {
  if (now < this->next_stall_check) {
    return;
  }
  // A run that starts after this check cannot stall before this time.
  Instant next = now.After(this->settings.min_stall_ms);
  std::vector<ActiveRun> stalled;
  for (const auto& [agent, runs_here] : this->runs.ByAgent()) {
    const auto worker = this->workers.find(agent);
    if (worker == this->workers.end() || !worker->second.reachable) {
      continue;
    }
    for (const ActiveRun& run : runs_here) {
      const TaskState& task = *run.task;
      // A gang member that has finished its work waits for the others, so its
      // progress no longer changes.
      if (task.phase != TaskPhase::kRunning || run.spec->long_running ||
          task.percent >= kCompletePercent) {
        continue;
      }
      const Instant stalls_at = task.progress_at.After(
          std::max(this->settings.min_stall_ms,
                   run.spec->estimate_ms * kStallPercentOfEstimate / 100));
      if (now < stalls_at) {
        next = std::min(next, stalls_at);
        continue;
      }
      // A worker that is silent may be working on.
      if (worker->second.running_read_at < stalls_at) {
        next = now;
        continue;
      }
      worker->second.avoid_until = now.After(this->settings.avoid_duration_ms);
      stalled.push_back(run);
    }
  }
  this->next_stall_check = next;
  for (const ActiveRun& run : stalled) {
    this->RecordEvent(PlannerEventKind::kStalled, run.key, run.task->run,
                      run.task->worker.id,
                      std::to_string(run.task->percent) + " percent",
                      now.ms - run.task->progress_at.ms);
    run.task->phase = TaskPhase::kStopping;
    this->MarkChanged(this->jobs.at(run.key.job), run.key);
  }
}

// A start that its worker has not answered may be repeated by the agent at any
// later time. A stop that the worker answers makes it reject them all. The
// members of a gang only run together, so one that cannot start takes the
// others with it.
void JobPlanner::WithdrawEvacuatedStarts(Instant now) {
  if (this->evacuated_domains.empty()) {
    return;
  }
  std::vector<ActiveRun> unconfirmed;
  for (const auto& [agent, runs_here] : this->runs.ByAgent()) {
    const auto worker = this->workers.find(agent);
    if (worker == this->workers.end() || !worker->second.evacuated ||
        now < this->evacuated_domains.at(
                  worker->second.description.failure_domain)) {
      continue;
    }
    std::ranges::copy_if(runs_here, std::back_inserter(unconfirmed),
                         [](const ActiveRun& run) {
                           return run.task->phase == TaskPhase::kStarting;
                         });
  }
  for (const ActiveRun& run : unconfirmed) {
    Job& job = this->jobs.at(run.key.job);
    this->RecordEvent(PlannerEventKind::kWithdrawn, run.key, run.task->run,
                      run.task->worker.id, "failure domain evacuated",
                      now.ms - run.task->ordered_at.ms);
    run.task->phase = TaskPhase::kStopping;
    if (run.spec->gang &&
        StopStep(
            job.occurrences.at(run.key.occurrence).steps.at(run.key.step))) {
      this->MarkStepChanged(job, run.key);
    } else {
      this->MarkChanged(job, run.key);
    }
  }
}

void JobPlanner::Plan(const TransitionTime& time, bool may_assign) {
  this->EndLostRuns(time);
  this->StopStalledTasks(time.now);
  this->WithdrawEvacuatedStarts(time.now);
  this->pass_cut_short = false;
  if (!may_assign) {
    return;
  }
  this->guaranteed_jobs = this->SelectGuaranteedJobs();
  std::vector<Resources> capacities;
  for (const auto& [agent, worker] : this->workers) {
    if (worker.description.availability == WorkerAvailability::kReady &&
        !worker.evacuated) {
      capacities.push_back(worker.description.capacity);
    }
  }
  this->objective = JobObjective(capacities);
  this->UpdateSpeeds();
  this->pending_advice.clear();
  auto waiting = this->CollectWaitingUnits(time);
  Pass pass{time, CapacityMap(this->workers, this->runs, time.now)};
  this->SortWaitingUnits(waiting, pass.map);
  this->HoldHeadroom(waiting, pass);
  this->ScheduleUnits(waiting, pass);
}

void JobPlanner::MarkChanged(Job& job, const TaskKey& key) {
  this->runs.Update(job, key);
  this->changed_jobs.insert(job.submission.id);
}

void JobPlanner::MarkStepChanged(Job& job, const TaskKey& key) {
  this->runs.UpdateStep(job, key);
  this->changed_jobs.insert(job.submission.id);
}

void JobPlanner::MarkChanged(Job& job) {
  this->runs.Update(job);
  this->changed_jobs.insert(job.submission.id);
}

// Jobs of priority 0 use up their account's guarantee in order of acceptance.
// Jobs that exceed it are scheduled like other jobs of priority 0.
std::set<JobId> JobPlanner::SelectGuaranteedJobs() const {
  std::vector<const Job*> urgent;
  for (const auto& [id, job] : this->jobs) {
    if (job.submission.priority == 0 && !IsFinal(job.phase)) {
      urgent.push_back(&job);
    }
  }
  std::ranges::stable_sort(
      urgent, {}, [](const Job* job) { return job->submission.accepted_at; });
  std::map<AccountId, std::int64_t> left = this->guarantees;
  std::set<JobId> result;
  for (const Job* job : urgent) {
    const std::int64_t need = PeakAccelerators(*job);
    std::int64_t& available = left[job->submission.account];
    if (need <= available) {
      available -= need;
      result.insert(job->submission.id);
    }
  }
  return result;
}

std::set<JobId> JobPlanner::TakeChanges() {
  ++this->next_commit;
  return std::exchange(this->changed_jobs, {});
}

std::vector<JobId> JobPlanner::ExpiredJobs(Instant now) const {
  std::vector<JobId> expired;
  for (const auto& [id, job] : this->jobs) {
    if (IsFinal(job.phase) &&
        now >= job.final_since.After(this->settings.retention_ms) &&
        !job.AnyTaskHoldsResources() && !this->changed_jobs.contains(id)) {
      expired.push_back(id);
    }
  }
  return expired;
}

void JobPlanner::Erase(const JobId& id) {
  const auto job = this->jobs.find(id);
  if (job == this->jobs.end() || !IsFinal(job->second.phase)) {
    return;
  }
  this->runs.Remove(job->second);
  this->jobs.erase(job);
  this->estimator.Forget(id);
  this->changed_jobs.erase(id);
  this->advice_cache.EraseJob(id);
}

TaskOrder JobPlanner::OrderOf(const ActiveRun& run) const {
  TaskOrder order;
  order.task = run.key;
  order.run = run.task->run;
  order.filler = run.spec->filler;
  order.latency_target_ms = run.spec->latency_target_ms;
  order.demand = run.spec->PlacementDemand();
  order.stop = run.task->phase == TaskPhase::kStopping;
  order.started = run.task->phase != TaskPhase::kStarting;
  if (!order.started) {
    order.payload = run.job->submission.spec.payload;
    order.checkpoint = run.task->checkpoint;
    order.ticket = run.task->ticket;
  }
  return order;
}

// A run of another incarnation of the worker is lost and must not be ordered.
std::vector<TaskOrder> JobPlanner::OrdersOf(const InstanceId& agent,
                                            const RunIndex::Runs& runs_here,
                                            std::uint64_t committed) const {
  std::vector<TaskOrder> orders;
  const auto worker = this->workers.find(agent);
  if (worker == this->workers.end()) {
    return orders;
  }
  for (const ActiveRun& run : runs_here) {
    if (run.task->commit <= committed &&
        worker->second.description.incarnation == run.task->worker) {
      orders.push_back(this->OrderOf(run));
    }
  }
  return orders;
}

std::map<InstanceId, std::vector<TaskOrder>> JobPlanner::Orders(
    std::uint64_t committed) const {
  std::map<InstanceId, std::vector<TaskOrder>> orders;
  for (const auto& [agent, runs_here] : this->runs.ByAgent()) {
    auto list = this->OrdersOf(agent, runs_here, committed);
    if (!list.empty()) {
      orders.emplace(agent, std::move(list));
    }
  }
  return orders;
}

std::map<InstanceId, std::vector<TaskOrder>> JobPlanner::TakeChangedOrders(
    std::uint64_t committed) {
  std::map<InstanceId, std::vector<TaskOrder>> orders;
  for (const InstanceId& agent : this->runs.TakeChangedAgents()) {
    const RunIndex::Runs& runs_here = this->runs.RunsOf(agent);
    orders.emplace(agent, this->OrdersOf(agent, runs_here, committed));
    const bool waits_for_commit = std::ranges::any_of(
        runs_here,
        [&](const ActiveRun& run) { return run.task->commit > committed; });
    if (waits_for_commit) {
      this->runs.MarkChanged(agent);
    }
  }
  return orders;
}

std::vector<PlannerEvent> JobPlanner::TakeEvents() {
  return std::exchange(this->events, {});
}

void JobPlanner::RecordJobEnd(const Job& job,
                              const TaskKey& task,
                              std::uint32_t run,
                              const WorkerId& worker,
                              Instant wall) {
  this->RecordEvent(PlannerEventKind::kJobEnded, task, run, worker,
                    std::string(NameOf(job.phase)),
                    wall.ms - job.submission.accepted_at.ms);
  this->events.back().slack_ms =
      this->objective.DeadlineOf(job, task.occurrence).ms - wall.ms;
}

void JobPlanner::RecordEvent(PlannerEventKind kind,
                             const TaskKey& task,
                             std::uint32_t run,
                             const WorkerId& worker,
                             std::string detail,
                             std::int64_t age_ms) {
  this->events.push_back(
      {kind, task, run, worker, std::move(detail), age_ms, {}});
}

}  // namespace carobrill::workload
