#ifndef PACKAGES_WORKLOAD_JOB_PLANNER_H_
#define PACKAGES_WORKLOAD_JOB_PLANNER_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "packages/workload/advice_cache.h"
#include "packages/workload/capacity_map.h"
#include "packages/workload/failed_placements.h"
#include "packages/workload/gang_reservation.h"
#include "packages/workload/job.h"
#include "packages/workload/job_objective.h"
#include "packages/workload/job_transitions.h"
#include "packages/workload/placement.h"
#include "packages/workload/planner_event.h"
#include "packages/workload/preemption.h"
#include "packages/workload/run_index.h"
#include "packages/workload/run_time_estimator.h"
#include "packages/workload/serving_order.h"
#include "packages/workload/urgent_headroom.h"
#include "packages/workload/worker.h"

namespace carobrill::workload {

/// Settings of JobPlanner.
struct JobPlannerSettings {
  /// Maximum time that a unit waits for a rack on which it runs at full speed.
  /// Waiting for more than a third of a task's run time costs more than running
  /// it slowly.
  std::int64_t max_rack_wait_ms = 3'000;
  /// The same for jobs of priority 0, which have to start within seconds.
  std::int64_t max_urgent_rack_wait_ms = 900;
  /// Jobs of priority 0 may preempt others once their slack falls to this: the
  /// time that stopping a task takes, plus a margin for inaccurate estimates.
  std::int64_t preemption_slack_ms = 1'600;
  /// Maximum time that guaranteed jobs wait for capacity to become free by
  /// itself before they preempt others at any cost. Of the platform's time
  /// bounds, at least 2.7 s, this leaves 1.3 s for stops and starts.
  std::int64_t max_guarantee_wait_ms = 1'400;
  /// Minimum time without progress after which a task is stopped and run again;
  /// longer for tasks with a long estimated run time.
  std::int64_t min_stall_ms = 1'500;
  /// Value of Worker::consecutive_failures at which a worker is avoided.
  std::uint32_t avoid_after_failures = 2;
  /// How long a worker is avoided after failures or a stalled task.
  std::int64_t avoid_duration_ms = 3'000;
  /// How long a worker gets no new tasks after it refused an order.
  std::int64_t refusal_backoff_ms = 300;
  /// Time after which workers are kept free for a gang that waits for capacity.
  std::int64_t gang_reservation_wait_ms = 500;
  /// Minimum time between two searches for tasks to preempt for the same unit.
  std::int64_t preemption_search_interval_ms = 150;
  /// Maximum number of searches for tasks to preempt in one planning pass.
  std::uint32_t max_preemption_searches = 8;
  /// Number of tasks that are placed in one planning pass in the order of their
  /// ranks. Units that are then left over may place as many again, in equal
  /// shares. A gang is placed as a whole.
  std::int64_t max_placements_per_pass = 512;
  /// Learn the speeds of workers and the run times of tasks, and order and
  /// place work by them.
  bool learn_run_times = false;
  /// How long a job is kept after its end.
  std::int64_t retention_ms = 130'000;
  /// How long an ended job is kept at least after it has been loaded, whatever
  /// its end and the wall clock say. A submission may be repeated, or take
  /// effect, many seconds after its answer.
  std::int64_t min_loaded_retention_ms = 20'000;
  /// Order in which waiting work of one priority is served.
  ServingOrder serving_order = ServingOrder::kGuarantees;
};

/// Order to an agent to start, keep running or stop a task on its worker.
struct TaskOrder {
  TaskKey task;
  std::uint32_t run = 0;
  bool stop = false;
  /// True once the run is past kStarting; payload, checkpoint and ticket are
  /// then left out.
  bool started = false;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  /// As in StepSpec.
  bool filler = false;
  std::int64_t latency_target_ms = 0;
  /// StepSpec::PlacementDemand().
  Resources demand;
};

/// A run that a worker reports as running.
struct RunningTask {
  TaskKey task;
  std::uint32_t run = 0;
  std::uint32_t percent = 0;
  std::string checkpoint;
  std::int64_t usage = 0;
};

/// Decides which task runs on which worker. Holds the complete state of all
/// jobs; the caller must store changes before it acts on them. Performs no I/O
/// and reads no clock: the caller passes the time in.
class JobPlanner {
 public:
  explicit JobPlanner(JobPlannerSettings settings);

  /// @{
  /// Applies stored jobs, submissions and cancellations.
  void Load(Job job, const TransitionTime& time);
  void Submit(Submission submission);
  void Cancel(const JobId& id, const TransitionTime& time);
  /// @}

  /// Sets the number of accelerators that each account is guaranteed for its
  /// jobs of priority 0, if necessary by preemption.
  void SetGuarantees(std::map<AccountId, std::int64_t> guarantees);

  /// Sets the failure domains that the operator has evacuated: no new runs
  /// start on their workers. Runs that have not been confirmed as started at
  /// the time that is given for the domain (boot clock) are withdrawn.
  void SetEvacuatedDomains(std::map<FailureDomainId, Instant> domains);

  /// Withdraws the unconfirmed starts in evacuated domains whose time is over.
  /// Part of Plan(), and needed on its own while orders are sent without it.
  void WithdrawEvacuatedStarts(Instant now);

  /// @{
  /// Applies reports of the agents. `lease_expires_at` (boot clock) is the
  /// expiry of the worker's lease: no task that runs there now can still run
  /// after it unless the agent responds again. UpdateWorker() returns true when
  /// the report may change scheduling decisions.
  bool UpdateWorker(const InstanceId& agent,
                    const WorkerDescription& description,
                    Instant lease_expires_at,
                    const TransitionTime& time);
  void MarkWorkerUnreachable(const InstanceId& agent);
  /// Registers a worker that has not yet responded to this planner.
  void RegisterWorker(const InstanceId& agent, Instant lease_expires_at);
  /// `read_at` (boot clock) is when the agent read the list from its worker.
  void UpdateRunning(const InstanceId& agent,
                     const std::vector<RunningTask>& running,
                     Instant read_at);
  void ApplyRunReport(const InstanceId& agent,
                      const RunReport& report,
                      const TransitionTime& time);
  /// @}

  /// Requests to the queues' external policies that steps need before they can
  /// be placed, as of the last Plan(), the most urgent first.
  const std::vector<AdviceRequest>& PendingAdviceRequests() const {
    return this->pending_advice;
  }

  /// Applies the response of a policy. The tickets expire at `expires_at` (boot
  /// clock).
  void ApplyAdvice(const AdviceRequest& request,
                   const std::vector<AdviceGrant>& grants,
                   Instant expires_at);

  /// From `deadline` (boot clock) on, runs on workers that are still unknown
  /// count as lost.
  void SetUnknownWorkerDeadline(Instant deadline);

  /// Runs one planning pass: ends lost runs, stops stalled tasks, then assigns
  /// waiting tasks and selects tasks to preempt for them. Without `may_assign`
  /// nothing is assigned or preempted.
  void Plan(const TransitionTime& time, bool may_assign = true);

  /// True when the last Plan() left waiting tasks that another pass may place
  /// at once.
  bool PassWasCutShort() const { return this->pass_cut_short; }

  /// Number of the commit that stores the changes of the next TakeChanges().
  std::uint64_t NextCommit() const { return this->next_commit; }

  /// True when jobs changed since the last TakeChanges().
  bool HasChanges() const { return !this->changed_jobs.empty(); }

  /// Returns the ids of the jobs that changed since the last call, to be stored
  /// in one commit.
  std::set<JobId> TakeChanges();

  /// Returns the jobs whose retention time has passed and whose final state was
  /// part of an earlier TakeChanges().
  std::vector<JobId> ExpiredJobs(Instant now) const;

  /// Removes a final job. Unknown jobs are ignored.
  void Erase(const JobId& id);

  /// Returns the orders for each agent, without runs that were assigned in a
  /// commit after `committed`.
  std::map<InstanceId, std::vector<TaskOrder>> Orders(
      std::uint64_t committed) const;

  /// Returns the orders of the agents for which they may have changed since the
  /// last call. An agent without any orders has an empty list.
  std::map<InstanceId, std::vector<TaskOrder>> TakeChangedOrders(
      std::uint64_t committed);

  /// Makes the next TakeChangedOrders() return the orders of the agent.
  void MarkOrdersChanged(const InstanceId& agent) {
    this->runs.MarkChanged(agent);
  }

  /// Number of workers that are known to be slow, in services where work is
  /// placed by speed.
  std::size_t CountSlowWorkers() const;

  /// @{
  /// What has been learned from runs, as a record to store. Without
  /// `learn_run_times` there is never a record to store.
  bool HasLearned() const;
  std::string EncodeLearned() const { return this->estimator.Encode(); }
  /// Returns false and changes nothing when the record cannot be decoded.
  bool LoadLearned(const std::string& bytes) {
    return this->estimator.Decode(bytes);
  }
  /// @}

  /// Returns the events since the last call, for the log.
  std::vector<PlannerEvent> TakeEvents();

  const std::map<JobId, Job>& Jobs() const { return this->jobs; }
  const std::map<InstanceId, Worker>& Workers() const { return this->workers; }

 private:
  /// The waiting tasks of one step: a whole gang, or tasks that are placed one
  /// by one.
  struct WaitingUnit {
    PlacementUnit unit;
    Job* job = nullptr;
    /// Scheduling order; lower ranks first.
    std::int64_t rank = 0;
    std::int64_t slack_ms = 0;
    /// Boot clock: when the unit first lacked nothing but capacity.
    Instant runnable_since;
    bool guaranteed = false;
    bool too_late = false;
    /// Speed of a worker on which the unit may still meet its objective; 0 when
    /// any will do.
    double required_speed = 0;
    /// Number of waiting tasks of the step; `unit` may list fewer.
    std::int64_t waiting_tasks = 0;
    /// The account holds far more than others that wait at the same rank.
    bool large_holder = false;

    StepState& Step() const {
      return this->job->occurrences.at(this->unit.occurrence)
          .steps.at(this->unit.step);
    }
    /// Returns the state of a task, which is added if the task has none.
    TaskState& Task(std::uint32_t index) const {
      return this->job->Open({this->job->submission.id, this->unit.occurrence,
                              this->unit.step, index});
    }
    /// Number of tasks of `unit` that have never run.
    std::int64_t CountFirstRuns() const {
      const auto& tasks = this->Step().tasks;
      return std::ranges::count_if(this->unit.tasks, [&](std::uint32_t index) {
        const auto task = tasks.find(index);
        return task == tasks.end() || task->second.HasNeverRun();
      });
    }
    /// Boot clock: earliest time of the next search for tasks to preempt.
    Instant PreemptionSearchAt() const {
      const auto& tasks = this->Step().tasks;
      const auto first = tasks.find(this->unit.tasks.front());
      return first == tasks.end() ? Instant{}
                                  : first->second.preemption_search_at;
    }
  };

  /// Waiting tasks of one job that a pass has listed so far.
  struct JobListing {
    /// By step, over all occurrences.
    std::vector<std::uint32_t> tasks_of_step;
    std::size_t tasks = 0;
    /// Step with which each occurrence begins.
    std::uint32_t first_step = 0;
  };

  /// State of one planning pass.
  struct Pass {
    TransitionTime time;
    CapacityMap map;
    FailedPlacements failed = {};
    /// Built by the first search for tasks to preempt.
    std::optional<VictimPool> victims = std::nullopt;
    std::uint32_t preemption_searches = 0;
    /// Capacity that is reserved for waiting gangs.
    std::map<ServiceId, Resources> reserved = {};
    /// Number of tasks that may still be placed.
    std::int64_t placements_left = 0;
    /// Number of tasks that may run for the first time, by job.
    std::map<JobId, std::int64_t> first_runs_left = {};
    /// Tasks that may be placed have been left over.
    bool cut_short = false;
    bool any_assigned = false;
  };

  void EndLostRuns(const TransitionTime& time);
  void StopStalledTasks(Instant now);
  void MarkEvacuated(Worker& worker) const;
  std::set<JobId> SelectGuaranteedJobs() const;
  std::vector<WaitingUnit> CollectWaitingUnits(const TransitionTime& time);
  void CollectJob(Job& job,
                  const TransitionTime& time,
                  std::vector<WaitingUnit>& waiting);
  void CollectOccurrence(Job& job,
                         std::uint32_t occurrence,
                         const TransitionTime& time,
                         JobListing& listing,
                         std::vector<WaitingUnit>& waiting);
  void AddWaitingUnit(Job& job,
                      PlacementUnit unit,
                      const TransitionTime& time,
                      std::vector<WaitingUnit>& waiting);
  bool IsServedFirst(const WaitingUnit& waiting) const;
  void MarkLargeHolders(std::vector<WaitingUnit>& waiting,
                        const CapacityMap& map) const;
  void SortWaitingUnits(std::vector<WaitingUnit>& waiting,
                        const CapacityMap& map) const;
  void HoldHeadroom(const std::vector<WaitingUnit>& waiting, Pass& pass);
  bool MayUseHeadroom(const WaitingUnit& waiting, const Pass& pass) const;
  void ReserveWorkers(const WaitingUnit& waiting, Pass& pass);
  std::int64_t MaxNewRuns(const WaitingUnit& waiting) const;
  void ScheduleUnits(std::vector<WaitingUnit>& waiting, Pass& pass);
  void ScheduleTasks(WaitingUnit& waiting, Pass& pass);
  static std::int64_t& FirstRunsLeft(const WaitingUnit& waiting, Pass& pass);
  static void CountTasksByWorker(WaitingUnit& waiting);
  bool ScheduleUnit(WaitingUnit& waiting, Pass& pass);
  bool ScheduleByLocality(WaitingUnit& waiting, Pass& pass);
  bool ScheduleAtSpeed(WaitingUnit& waiting, Pass& pass, double min_speed);
  /// Delays the next search for tasks to preempt when the pass has made one
  /// since it had made `searches_before`.
  void NoteSearches(const WaitingUnit& waiting,
                    const Pass& pass,
                    std::uint32_t searches_before);
  void RequestAdvice(const WaitingUnit& waiting, const Pass& pass);
  std::optional<std::vector<std::size_t>> FindWorkers(
      const PlacementUnit& unit,
      Pass& pass,
      const PlacementConstraints& constraints) const;
  bool TryPlace(WaitingUnit& waiting,
                Pass& pass,
                const PlacementConstraints& constraints);
  bool TryReserve(const WaitingUnit& waiting,
                  Pass& pass,
                  const PlacementConstraints& constraints);
  bool TryPreempt(const WaitingUnit& waiting,
                  Pass& pass,
                  const PlacementConstraints& constraints);
  bool IsGuaranteeDue(const WaitingUnit& waiting, Instant now) const;
  bool NeedsPreemption(const WaitingUnit& waiting, Instant now) const;
  PreemptionRights RightsOf(const WaitingUnit& waiting, Instant now) const;
  void AssignRuns(WaitingUnit& waiting,
                  const std::vector<std::size_t>& workers,
                  Pass& pass);
  void StopVictim(const Victim& victim, const WaitingUnit& waiting, Pass& pass);
  TaskOrder OrderOf(const ActiveRun& run) const;
  std::vector<TaskOrder> OrdersOf(const InstanceId& agent,
                                  const RunIndex::Runs& runs_here,
                                  std::uint64_t committed) const;
  /// @{
  /// Notes that a task, tasks of its step, or any tasks of the job have
  /// changed.
  void MarkChanged(Job& job, const TaskKey& key);
  void MarkStepChanged(Job& job, const TaskKey& key);
  void MarkChanged(Job& job);
  /// @}
  ObservedRun Observe(const Job& job,
                      const TaskKey& key,
                      const TaskState& task,
                      Instant read_at) const;
  void UpdateSpeeds();
  void SetSpeedNeeds(WaitingUnit& waiting, Instant wall) const;
  /// Kind of the unit and, where speeds decide, the speeds that did.
  std::string DescribeAssignment(const WaitingUnit& waiting,
                                 const std::vector<std::size_t>& workers,
                                 const Pass& pass) const;
  bool RunsAtFullSpeed(const WaitingUnit& waiting,
                       const std::vector<std::size_t>& workers,
                       const Pass& pass) const;
  /// Forgets the crashes under a task whose run has outlived its probation.
  void ObserveProbation(Job& job,
                        const TaskKey& key,
                        TaskState& task,
                        Instant read_at);
  /// Assigns a run to the process of its worker that lists it as running.
  /// Returns false when the run belongs to a worker with another id.
  bool FollowRun(Job& job,
                 const RunningTask& seen,
                 TaskState& task,
                 const WorkerIncarnation& incarnation,
                 Instant read_at);
  void UpdateWorkerHealth(Worker& worker,
                          const RunReport& report,
                          bool failed_before,
                          Instant now);
  void ApplyEnd(Job& job,
                const WorkerIncarnation& incarnation,
                const RunReport& report,
                PlannerEventKind kind,
                const TransitionTime& time);
  void RecordJobEnd(const Job& job,
                    const TaskKey& task,
                    std::uint32_t run,
                    const WorkerId& worker,
                    Instant wall);
  void RecordEvent(PlannerEventKind kind,
                   const TaskKey& task,
                   std::uint32_t run,
                   const WorkerId& worker,
                   std::string detail,
                   std::int64_t age_ms = 0);

  JobPlannerSettings settings;
  std::map<JobId, Job> jobs;
  std::map<InstanceId, Worker> workers;
  RunIndex runs;
  std::map<AccountId, std::int64_t> guarantees;
  /// Boot clock: when starts in each domain must have been confirmed.
  std::map<FailureDomainId, Instant> evacuated_domains;
  std::set<JobId> guaranteed_jobs;
  UrgentHeadroom headroom;
  AdviceCache advice_cache;
  std::vector<AdviceRequest> pending_advice;
  JobObjective objective{{}};
  RunTimeEstimator estimator;
  /// Services of which many workers are slow.
  std::set<ServiceId> uneven_services;
  /// See PassWasCutShort().
  bool pass_cut_short = false;
  /// Boot clock: no task counts as stalled before this.
  Instant next_stall_check;
  std::set<JobId> changed_jobs;
  std::uint64_t next_commit = 1;
  Instant unknown_workers_lost_at = Instant::Never();
  std::vector<PlannerEvent> events;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_JOB_PLANNER_H_
