#ifndef PACKAGES_WORKLOAD_JOB_PLANNER_H_
#define PACKAGES_WORKLOAD_JOB_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "packages/workload/advice_book.h"
#include "packages/workload/capacity_map.h"
#include "packages/workload/job.h"
#include "packages/workload/job_objective.h"
#include "packages/workload/job_transitions.h"
#include "packages/workload/placement.h"
#include "packages/workload/planner_event.h"
#include "packages/workload/preemption.h"
#include "packages/workload/worker.h"

namespace carobrill::workload {

/// Settings of the planner of jobs.
struct JobPlannerSettings {
  /// Longest wait of a unit for a rack on which it runs at full speed. Waiting
  /// longer than a third of a task's own time costs more than running slowly.
  std::int64_t max_rack_wait_ms = 3'000;
  /// The same for work of priority 0, which has to begin within seconds.
  std::int64_t urgent_rack_patience_ms = 900;
  /// Urgent work stops other work for its room when its slack falls to this:
  /// the time that a stop takes, and a margin for estimates that are off.
  std::int64_t preemption_slack_ms = 1'600;
  /// Longest wait of guaranteed work for room that becomes free by itself; the
  /// platform's bounds leave 2.7 s and more.
  std::int64_t max_guarantee_wait_ms = 600;
  /// A task whose progress does not move for this long is started anew.
  std::int64_t min_stall_ms = 1'500;
  /// Failures in a row, of different jobs, after which a worker is avoided.
  std::uint32_t avoid_after_failures = 2;
  /// How long such a worker is avoided before it is tried again.
  std::int64_t avoid_duration_ms = 3'000;
  /// How long a worker that refused an order gets no other.
  std::int64_t refusal_backoff_ms = 300;
  /// A final job is forgotten after this.
  std::int64_t retention_ms = 130'000;
};

/// What an agent should see to on its worker.
struct TaskOrder {
  TaskKey task;
  std::uint32_t run = 0;
  bool stop = false;
  /// False once the worker has shown that it runs the task.
  bool started = false;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  /// As in StepSpec.
  bool filler = false;
  std::int64_t latency_target_ms = 0;
};

/// A run that a worker shows as running.
struct RunningTask {
  TaskKey task;
  std::uint32_t run = 0;
  std::uint32_t percent = 0;
  std::string checkpoint;
  std::int64_t usage = 0;
};

/// Decides which task runs where. Holds the whole state of the jobs; the caller
/// stores what changed before it acts on it. Pure: time is passed in, nothing
/// is sent.
class JobPlanner {
 public:
  explicit JobPlanner(JobPlannerSettings settings);

  /// @{
  /// The state of the jobs, as stored.
  void Load(Job job, Instant now);
  void Submit(Submission submission);
  void Cancel(const JobId& id, const TransitionTime& time);
  /// @}

  /// Accelerators that each account can have back for its jobs of priority 0.
  void SetGuarantees(std::map<AccountId, std::int64_t> guarantees);

  /// @{
  /// What the agents say. `lease_ends` (boot clock) is when nothing that runs
  /// on the worker now can run any more if the agent is not heard again.
  /// Returns true when the report may change where work can run.
  bool ObserveWorker(const InstanceId& agent,
                     const WorkerDescription& description,
                     Instant lease_ends,
                     const TransitionTime& time);
  void ObserveUnreachable(const InstanceId& agent);
  /// A worker that has never answered this planner.
  void ExpectWorker(const InstanceId& agent, Instant lease_ends);
  void ObserveRunning(const InstanceId& agent,
                      const std::vector<RunningTask>& running,
                      Instant now);
  void ObserveEnd(const InstanceId& agent,
                  const RunReport& report,
                  const TransitionTime& time);
  /// @}

  /// Questions to the queues' policies without which steps cannot be placed, as
  /// of the last Plan(); the most urgent first.
  const std::vector<AdviceRequest>& WantedAdvice() const {
    return this->pending_advice;
  }

  /// A policy's answer. `expires_at` (boot clock) ends the tickets.
  void ObserveAdvice(const AdviceRequest& request,
                     const std::vector<AdviceGrant>& grants,
                     Instant expires_at);

  /// Nothing is held by workers that are not known by then (boot clock).
  void SetUnknownWorkersLostAt(Instant deadline);

  /// Ends what is lost, then chooses new runs and what to stop for them.
  void Plan(const TransitionTime& time);

  /// Number of the commit that the next TakeChanges() names.
  std::uint64_t NextCommit() const { return this->next_commit; }

  /// True when jobs changed since the last TakeChanges().
  bool HasChanges() const { return !this->changed.empty(); }

  /// Ids of the jobs that changed since the last call, for one commit.
  std::set<JobId> TakeChanges();

  /// Jobs that ended long enough ago to be forgotten.
  std::vector<JobId> TakeExpired(Instant wall);

  /// What each agent should see to, as of the commits up to `committed`.
  std::map<InstanceId, std::vector<TaskOrder>> Orders(
      std::uint64_t committed) const;

  /// Decisions since the last call, for the log.
  std::vector<PlannerEvent> TakeEvents();

  const std::map<JobId, Job>& Jobs() const { return this->jobs; }
  const std::map<InstanceId, Worker>& Workers() const { return this->workers; }

 private:
  struct WaitingUnit {
    PlacementUnit unit;
    /// Order of service; lower first.
    std::int64_t rank = 0;
    std::int64_t slack_ms = 0;
    /// Boot clock: since when nothing but room is missing.
    Instant runnable_since;
    bool guaranteed = false;
    bool too_late = false;
  };

  void EndLostRuns(const TransitionTime& time);
  void StopStalledTasks(Instant now);
  std::set<JobId> SelectGuaranteedJobs() const;
  std::vector<WaitingUnit> CollectWaitingUnits(const TransitionTime& time);
  void CollectStep(Job& job,
                   std::uint32_t occurrence,
                   std::uint32_t step,
                   const TransitionTime& time,
                   std::vector<WaitingUnit>& waiting);
  void AddWaitingUnit(const Job& job,
                      PlacementUnit unit,
                      const TransitionTime& time,
                      std::vector<WaitingUnit>& waiting);
  void ScheduleUnit(WaitingUnit& waiting,
                    CapacityMap& map,
                    const TransitionTime& time);
  bool ScheduleByLocality(WaitingUnit& waiting,
                          CapacityMap& map,
                          const TransitionTime& time);
  void RequestAdvice(const WaitingUnit& waiting,
                     const CapacityMap& map,
                     Instant now);
  bool TryPlace(const WaitingUnit& waiting,
                CapacityMap& map,
                const PlacementConstraints& constraints,
                Instant now);
  bool TryReserve(const WaitingUnit& waiting,
                  CapacityMap& map,
                  const PlacementConstraints& constraints);
  bool TryPreempt(const WaitingUnit& waiting,
                  CapacityMap& map,
                  const PlacementConstraints& constraints,
                  const TransitionTime& time);
  bool IsGuaranteeDue(const WaitingUnit& waiting, Instant now) const;
  bool IsPreemptionJustified(const WaitingUnit& waiting,
                             const std::vector<Victim>& victims,
                             const PreemptionPlan& plan,
                             Instant now) const;
  bool NeedsPreemption(const WaitingUnit& waiting, Instant now) const;
  std::vector<Victim> CollectVictims(const WaitingUnit& waiting,
                                     const CapacityMap& map,
                                     Instant now) const;
  bool CanPreempt(const WaitingUnit& waiting, const Job& job) const;
  void AssignRuns(const PlacementUnit& unit,
                  const std::vector<std::size_t>& workers,
                  const CapacityMap& map,
                  Instant now);
  void StopVictim(const Victim& victim,
                  const WaitingUnit& waiting,
                  CapacityMap& map,
                  Instant now);
  void UpdateWorkerHealth(Worker& worker,
                          const RunReport& report,
                          const Job& job,
                          Instant now);
  void ApplyEnd(Job& job,
                const WorkerLife& incarnation,
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
  std::map<AccountId, std::int64_t> guarantees;
  std::set<JobId> guaranteed_jobs;
  AdviceCache advice_cache;
  std::vector<AdviceRequest> pending_advice;
  JobObjective objective{{}};
  /// Boot clock: when each waiting unit could first have run.
  std::map<TaskKey, Instant> waiting_since;
  std::set<JobId> changed;
  std::uint64_t next_commit = 1;
  Instant unknown_workers_lost_at = Instant::Never();
  std::vector<PlannerEvent> events;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_JOB_PLANNER_H_
