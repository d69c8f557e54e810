#ifndef PACKAGES_SCHEDULING_CLUSTER_H_
#define PACKAGES_SCHEDULING_CLUSTER_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/time.h"
#include "packages/records/records.pb.h"
#include "packages/records/replicated_component.h"
#include "packages/records/verdict.h"
#include "packages/scheduling/cell_allocator.h"
#include "packages/scheduling/charts.h"
#include "packages/scheduling/job.h"
#include "packages/scheduling/policy.h"
#include "packages/scheduling/worker.h"

namespace carobrill::scheduling {

/// Limits of the replicated state machine. All replicas must use equal values.
struct ClusterSettings {
  std::int64_t ended_retention_ms = 24LL * 3600 * 1000;
  std::uint32_t max_members = 64;
  std::uint32_t max_failures = 3;
  std::int64_t quarantine_ms = 30'000;
  std::int64_t max_quarantine_ms = 3'600'000;
  /// Retries are paid from a token bucket. Each placement adds `retry_permille`
  /// thousandths of a retry, up to `retry_burst` plus the refill of 1,000
  /// placements.
  std::int64_t retry_burst = 10;
  std::int64_t retry_permille = 100;
  /// Size corrections smaller than this are ignored.
  std::uint32_t size_hysteresis_permille = 100;
  /// Maximum number of learned estimates; the least recently updated one is
  /// evicted.
  std::uint32_t max_learned = 4096;

  /// True if every value is in its range.
  bool Valid() const;
};

/// Estimates learned from the jobs of one account and kind.
struct LearnedEstimate {
  /// Mean ratio of actual to declared run time; 1000 if unknown.
  std::int64_t run_permille = 1000;
  std::int64_t samples = 0;
  /// Member size; 0 if unknown.
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;
  Instant last_updated;
};

/// Accelerator usage of one account, shown to operators.
struct AccountStatus {
  AccountId account;
  std::uint32_t guaranteed = 0;
  std::uint32_t in_use = 0;
  std::uint32_t borrowed = 0;
  /// Unused part of the guarantee that can be claimed now.
  std::uint32_t reclaimable = 0;
  /// Part of the guarantee that the available hardware cannot provide.
  std::uint32_t at_risk = 0;
  std::optional<std::uint32_t> quota;
  std::uint32_t waiting_jobs = 0;
};

/// Why a job is waiting. The comments name the fields of WaitingStatus that are
/// set.
enum class WaitingReason {
  /// The job is not waiting.
  kNone,
  /// The rules no longer contain its account.
  kAccountRemoved,
  /// The job needs `needed` accelerators, which exceeds the quota; `available`
  /// remain.
  kOverQuota,
  /// No worker is ready.
  kNoWorkerReady,
  /// The job needs `needed` cells of `cell` accelerators; only `available` are
  /// free.
  kNoFreeCells,
  /// Enough cells are free, but at most `available` satisfy the adjacency
  /// constraint.
  kNotAdjacent,
  /// The job is not preemptible and the unused guarantee is too small.
  kGuaranteeInUse,
  /// Enough cells are free; `ahead` jobs of the same class precede it in the
  /// queue order.
  kBehindOthers,
  /// The job is placed and waits for `needed` victims to stop.
  kVictimsStopping,
};

constexpr auto NamesOf(WaitingReason) {
  return MakeNameTable<WaitingReason>({
      {WaitingReason::kNone, "none"},
      {WaitingReason::kAccountRemoved, "account_removed"},
      {WaitingReason::kOverQuota, "over_quota"},
      {WaitingReason::kNoWorkerReady, "no_worker_ready"},
      {WaitingReason::kNoFreeCells, "no_free_cells"},
      {WaitingReason::kNotAdjacent, "not_adjacent"},
      {WaitingReason::kGuaranteeInUse, "guarantee_in_use"},
      {WaitingReason::kBehindOthers, "behind_others"},
      {WaitingReason::kVictimsStopping, "victims_stopping"},
  });
}

/// The most specific reason why a job is waiting.
struct WaitingStatus {
  WaitingReason reason = WaitingReason::kNone;
  std::uint32_t needed = 0;
  std::uint32_t available = 0;
  std::uint32_t cell = 0;
  std::uint32_t ahead = 0;
};

/// Formats `status` as one sentence for an operator.
std::string Describe(const WaitingStatus& status);

/// Everything that decides where a job fits. Queued jobs with equal demands
/// share a queue, so that the planner tries each demand only once.
struct Demand {
  std::uint32_t members = 0;
  MemberSize size;
  records::Adjacency adjacency = records::ADJACENCY_NONE;
  bool preemptible = false;

  auto operator<=>(const Demand&) const = default;
};

/// Sort key within a queue. `order_ms` is one hour after the submission or the
/// latest start that meets the deadline, whichever is earlier.
struct QueueEntry {
  std::int64_t order_ms = 0;
  Offset submitted_offset = 0;
  JobId job;

  auto operator<=>(const QueueEntry&) const = default;
};

/// Identifies the queue of jobs with the same class, account and demand.
struct QueueKey {
  records::JobClass job_class = records::JOB_CLASS_NORMAL;
  AccountId account;
  Demand demand;

  auto operator<=>(const QueueKey&) const = default;
};

using JobQueue = std::map<QueueKey, std::set<QueueEntry>>;

/// Jobs ordered by the time at which they entered their current state.
using StateTimeIndex = std::set<std::pair<Instant, JobId>>;

/// Binding of one accelerator to a guaranteed cell, as stored in a snapshot.
struct BindingEntry {
  WorkerId worker;
  std::uint32_t accelerator = 0;
  AccountId account;
  std::uint8_t level = 0;
  bool in_guarantee = false;
};

/// Replicated state machine of workers, jobs, gangs and their cells.
class Cluster {
 public:
  explicit Cluster(Charts charts, ClusterSettings settings = {});

  /// Applies one record. An `appended_at` before LogTime() does not move it
  /// back.
  records::Verdict Apply(const records::Record& record,
                         Offset offset,
                         Instant appended_at);
  void Save(records::Snapshot& snapshot) const;
  bool Load(const records::Snapshot& snapshot);
  std::uint64_t Hash() const;

  /// Returns kBreaksGuarantee if the declared hardware, or the registered
  /// hardware when none is declared, could never provide all guarantees at
  /// once, and kMalformed if a value is out of range, for example a cell size
  /// that is not a power of two.
  records::Verdict CheckPolicy(const Policy& checked) const;
  /// Replaces the policy and rebinds running work to the new guarantees.
  void SetPolicy(const Policy& replacement, Instant appended_at);
  const Policy& CurrentPolicy() const { return this->policy; }

  /// Latest append time of the applied records.
  Instant LogTime() const { return this->log_time; }
  const ClusterSettings& Settings() const { return this->settings; }

  std::vector<AccountStatus> Accounts() const;
  const std::map<WorkerId, Worker>& Workers() const { return this->workers; }
  const std::map<JobId, Job>& Jobs() const { return this->jobs; }
  const Job* FindJob(const JobId& id) const;
  /// The retained job that was submitted with the idempotency key `key`, or
  /// null.
  const Job* FindByKey(const AccountId& account, const std::string& key) const;
  WaitingStatus GetWaitingStatus(const JobId& id) const;

  /// Declared size, with cores and memory replaced by learned values if known.
  MemberSize EffectiveSize(const records::JobSpec& spec) const;
  /// Declared run time multiplied by the learned ratio.
  std::int64_t EstimatedRunMs(const records::JobSpec& spec) const;
  const LearnedEstimate* FindLearned(const AccountId& account,
                                     const std::string& kind) const;
  /// Whole retries left in the retry budget.
  std::int64_t RetriesLeft() const { return this->retry_budget_milli / 1000; }

  /// Queries for the planner.
  const CellAllocator& GetAllocator() const { return this->allocator; }
  const JobQueue& Queue() const { return this->queue; }
  const StateTimeIndex& JobsInState(JobState state) const;
  /// Workers that are not ready, such as those on probation, and ready ones
  /// with recent failures, which may need quarantine.
  const std::set<WorkerId>& NotReadyOrFailingWorkers() const {
    return this->not_ready_or_failing_workers;
  }
  std::uint32_t InUse(const AccountId& account) const;
  std::uint32_t Borrowed(const AccountId& account) const;
  /// Total number of accelerators that the account is guaranteed.
  std::uint32_t Guaranteed(const AccountId& account) const;
  /// Number of accelerators of the smallest cell, on any known worker, that
  /// fits `size`.
  std::uint32_t SmallestCell(const MemberSize& size) const;
  std::optional<WorkerIndex> IndexOf(const WorkerId& worker) const;
  const WorkerId& WorkerAt(WorkerIndex index) const {
    return this->worker_ids[index];
  }
  JobHandle HandleOf(const JobId& job) const;
  const JobId& JobAt(JobHandle handle) const {
    return this->jobs_by_handle[handle];
  }
  AccountIndex AccountIndexOf(const AccountId& account) const;
  /// True if the worker is draining, by its state or by the policy.
  bool IsDraining(const Worker& worker) const;

 private:
  using Verdict = records::Verdict;
  struct Usage {
    std::uint32_t in_use = 0;
    std::uint32_t borrowed = 0;
  };
  using KindKey = std::pair<AccountId, std::string>;
  /// Accelerators, cores and memory of a worker, without its identity.
  using WorkerCapacity = MemberSize;
  using CapacityCounts = std::map<WorkerCapacity, std::uint32_t>;
  friend struct ClusterState;

  Verdict ApplyBody(const records::WorkerRegistered& body);
  Verdict ApplyBody(const records::WorkerStateChanged& body);
  Verdict ApplyBody(const records::JobSubmitted& body, Offset offset);
  Verdict ApplyBody(const records::JobCancelled& body);
  Verdict ApplyBody(const records::GangPlaced& body);
  Verdict ApplyBody(const records::GangReleased& body);
  Verdict ApplyBody(const records::GangStartCommitted& body);
  Verdict ApplyBody(const records::GangStarted& body);
  Verdict ApplyBody(const records::GangStopRequested& body);
  Verdict ApplyBody(const records::GangEnded& body);
  Verdict ApplyBody(const records::SizeCorrected& body);

  // Submission.
  Verdict CheckSpec(const records::JobSpec& spec) const;
  bool IsFeasible(const records::JobSpec& spec) const;
  bool FitsGuarantee(const records::JobSpec& spec) const;
  std::uint32_t CountFittingMembers(const CapacityCounts& workers,
                                    const MemberSize& size) const;
  std::uint32_t MaxMembersInScope(const records::JobSpec& spec) const;

  // Placement.
  Verdict CheckMembers(const Job& job, const records::GangPlaced& body) const;
  Verdict CheckAdjacency(const Job& job, const records::GangPlaced& body) const;
  Verdict CheckVictims(const Job& job, const records::GangPlaced& body) const;
  void PreemptVictims(const records::GangPlaced& body);
  void RecordPendingVictims(Job& job, const std::vector<Cell>& cells);
  std::vector<Cell> CellsOf(const Job& job) const;

  // State transitions.
  Verdict Find(const std::string& id, std::uint32_t attempt, Job*& job);
  bool Transition(Job& job, JobEvent event);
  bool Transition(Worker& worker, WorkerEvent event);
  void RestoreQuarantine(Worker& worker);
  void Enqueue(Job& job);
  void EnqueueAt(Job& job, std::int64_t order_ms);
  void Dequeue(const Job& job);
  QueueKey QueueKeyOf(const Job& job) const;
  QueueEntry QueueEntryOf(const Job& job) const;
  void ReleaseCells(Job& job);
  void RestartPrepareTimeout(Job& claimant);
  void ReturnToQueue(Job& job, JobEvent event, EndReason reason);
  void BeginStopping(Job& job, JobEvent event, EndReason reason);
  void Finish(Job& job, JobEvent event, EndReason reason);
  void StopGangsOn(Worker& worker);
  void HandleStopped(Job& job);
  void HandleFailed(Job& job, const records::GangEnded& body);
  void HandleLapsed(Job& job);
  void RecordFailures(const Job& job, const records::GangEnded& body);
  void RecordSuccess(const Job& job);
  void LearnRunTime(const Job& job);
  LearnedEstimate& FindOrAddLearned(const KindKey& key);
  void AdvanceTo(Instant appended_at);
  void PurgeEnded();
  void PurgeLostWorkers();
  void SetAvailability(const Worker& worker);
  void CountCapacity(const Worker& worker, bool add);
  void RefillRetryBudget();

  // Derived state and serialization.
  void AddToAllocator(const Worker& worker);
  void RemoveFromAllocator(const Worker& worker);
  AccountIndex AddAccount(const AccountId& account);
  std::vector<LevelCounts> Guarantees();
  std::uint32_t AcceleratorsOf(const LevelCounts& counts) const;
  void SetStandardRack();
  Allocation MakeAllocation(const Job& job);
  void AddUsage(const Job& job, int sign);
  bool Valid() const;
  bool Rebuild(const std::vector<BindingEntry>& bindings);
  std::vector<BindingEntry> Bindings() const;
  std::string Serialize() const;

  Charts charts;
  ClusterSettings settings;

  // Replicated state.
  Instant log_time;
  Policy policy;
  std::map<WorkerId, Worker> workers;
  std::map<JobId, Job> jobs;
  std::map<KindKey, LearnedEstimate> learned;
  std::int64_t retry_budget_milli = 0;

  // Indexes derived from the replicated state.
  CellAllocator allocator;
  std::vector<WorkerId> worker_ids;
  std::unordered_map<WorkerId, WorkerIndex> worker_indexes;
  std::map<RackId, RackIndex> rack_indexes;
  std::map<FailureDomainId, DomainIndex> domain_indexes;
  std::vector<JobId> jobs_by_handle;
  std::unordered_map<JobId, JobHandle> handles;
  std::map<AccountId, AccountIndex> account_indexes;
  std::map<AccountId, Usage> usage;
  std::map<std::pair<AccountId, std::string>, JobId> idempotency_keys;
  JobQueue queue;
  std::map<KindKey, std::set<JobId>> queued_kinds;
  std::map<AccountId, std::uint32_t> queued_counts;
  std::map<JobState, StateTimeIndex> jobs_by_state;
  StateTimeIndex ended;
  std::set<std::pair<Instant, KindKey>> learned_order;
  std::unordered_map<JobId, QueueKey> queue_keys;
  std::map<JobId, std::set<JobId>> claimants;
  std::set<WorkerId> not_ready_or_failing_workers;
  std::set<std::pair<Instant, WorkerId>> lost_workers;
  CapacityCounts capacities;
  std::map<RackId, CapacityCounts> rack_capacities;
  std::map<CapacityCounts, std::uint32_t> rack_compositions;
  std::map<FailureDomainId, CapacityCounts> domain_capacities;
};

static_assert(records::ReplicatedComponent<Cluster>);

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_CLUSTER_H_
