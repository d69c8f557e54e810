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
#include "packages/records/foldable.h"
#include "packages/records/records.pb.h"
#include "packages/records/verdict.h"
#include "packages/scheduling/cell_allocator.h"
#include "packages/scheduling/charts.h"
#include "packages/scheduling/job.h"
#include "packages/scheduling/policy.h"
#include "packages/scheduling/worker.h"

namespace carobrill::scheduling {

/// Limits of the fold. Every replica must use the same values.
struct ClusterSettings {
  std::int64_t ended_retention_ms = 24LL * 3600 * 1000;
  std::uint32_t max_members = 64;
  std::uint32_t max_failures = 3;
  std::int64_t quarantine_ms = 30'000;
  std::int64_t max_quarantine_ms = 3'600'000;
  /// Retries are paid from a budget that each placement refills by
  /// `retry_permille`, up to `retry_burst` plus what 1,000 placements earn.
  std::int64_t retry_burst = 10;
  std::int64_t retry_permille = 100;
  /// A corrected size that differs by less changes nothing.
  std::uint32_t size_hysteresis_permille = 100;
  /// Learned entries kept; the one untouched for longest is dropped.
  std::uint32_t max_learned = 4096;

  /// True when every limit is in its range.
  bool Valid() const;
};

/// What was learned of the jobs of one account and kind.
struct LearnedEstimate {
  /// Mean of actual over declared run time; 1000 when nothing is known.
  std::int64_t run_permille = 1000;
  std::int64_t samples = 0;
  /// Zero when nothing is known.
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;
  Instant last_updated;
};

/// Accelerators of one account, for operators.
struct AccountStatus {
  AccountId account;
  std::uint32_t guaranteed = 0;
  std::uint32_t in_use = 0;
  std::uint32_t borrowed = 0;
  /// Part of the guarantee that is not in use and can be claimed now.
  std::uint32_t reclaimable = 0;
  /// Part of the guarantee that the available hardware cannot hold.
  std::uint32_t at_risk = 0;
  std::optional<std::uint32_t> quota;
  std::uint32_t waiting_jobs = 0;
};

/// Why a job waits. The comment names what `WaitingStatus` carries.
enum class WaitingReason {
  /// The job does not wait.
  kNone,
  /// Its account is no longer in the rules.
  kAccountRemoved,
  /// `needed` accelerators would exceed the quota; `available` remain.
  kOverQuota,
  /// No worker is ready.
  kNoWorkerReady,
  /// `needed` cells of `cell` accelerators; only `available` are free.
  kNoFreeCells,
  /// Enough cells are free, but not adjacent: at most `available` together.
  kNotAdjacent,
  /// The job may not be preempted and the unused guarantee is too small.
  kGuaranteeInUse,
  /// Cells suffice; `ahead` jobs of its class were submitted earlier.
  kBehindOthers,
  /// Placed, and waiting until `needed` victims have stopped.
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

/// The single most specific reason why a job waits.
struct WaitingStatus {
  WaitingReason reason = WaitingReason::kNone;
  std::uint32_t needed = 0;
  std::uint32_t available = 0;
  std::uint32_t cell = 0;
  std::uint32_t ahead = 0;
};

/// One sentence for an operator.
std::string Describe(const WaitingStatus& status);

/// What decides where a job fits; queued jobs with equal demands are kept
/// together, so that the planner tries each demand once.
struct Demand {
  std::uint32_t members = 0;
  MemberSize size;
  records::Adjacency adjacency = records::ADJACENCY_NONE;
  bool preemptible = false;

  auto operator<=>(const Demand&) const = default;
};

/// Position within a queue: `order_ms` is one hour after the submission, or the
/// latest start that meets the deadline when that is earlier.
struct QueueEntry {
  std::int64_t order_ms = 0;
  Offset submitted_offset = 0;
  JobId job;

  auto operator<=>(const QueueEntry&) const = default;
};

/// Queued jobs of one class and account with one demand.
struct QueueKey {
  records::JobClass job_class = records::JOB_CLASS_NORMAL;
  AccountId account;
  Demand demand;

  auto operator<=>(const QueueKey&) const = default;
};

using JobQueue = std::map<QueueKey, std::set<QueueEntry>>;

/// Jobs in the order of the start of their state.
using SinceIndex = std::set<std::pair<Instant, JobId>>;

/// A binding of one accelerator, as a snapshot holds it.
struct BindingEntry {
  WorkerId worker;
  std::uint32_t accelerator = 0;
  AccountId account;
  std::uint8_t level = 0;
  bool in_guarantee = false;
};

/// The part of the fold that knows workers, cells, jobs and gangs.
class Cluster {
 public:
  explicit Cluster(Charts charts, ClusterSettings settings = {});

  /// Applies one record; log time never goes back.
  records::Verdict Apply(const records::Record& record,
                         Offset offset,
                         Instant appended_at);
  void Save(records::Snapshot& snapshot) const;
  bool Load(const records::Snapshot& snapshot);
  std::uint64_t Hash() const;

  /// kBreaksGuarantee when the hardware, declared or else registered, could
  /// never hold all guarantees; kMalformed for a cell that is no power of two.
  records::Verdict CheckPolicy(const Policy& checked) const;
  /// Replaces the policy; running work is measured against the new guarantees.
  void SetPolicy(const Policy& replacement, Instant appended_at);
  const Policy& CurrentPolicy() const { return this->policy; }

  /// Highest append time of the records applied.
  Instant LogTime() const { return this->log_time; }
  const ClusterSettings& Settings() const { return this->settings; }

  std::vector<AccountStatus> Accounts() const;
  const std::map<WorkerId, Worker>& Workers() const { return this->workers; }
  const std::map<JobId, Job>& Jobs() const { return this->jobs; }
  const Job* FindJob(const JobId& id) const;
  /// The job that was submitted with `key`, while it is retained.
  const Job* FindByKey(const AccountId& account, const std::string& key) const;
  WaitingStatus WhyWaiting(const JobId& id) const;

  /// Declared size with learned cores and memory in place of declared ones.
  MemberSize EffectiveSize(const records::JobSpec& spec) const;
  /// Declared run time corrected by what was learned.
  std::int64_t EstimatedRunMs(const records::JobSpec& spec) const;
  const LearnedEstimate* FindLearned(const AccountId& account,
                                     const std::string& kind) const;
  /// Retries that the budget still allows.
  std::int64_t RetriesLeft() const { return this->retry_budget_milli / 1000; }

  /// For the planner.
  const CellAllocator& GetAllocator() const { return this->allocator; }
  const JobQueue& Queue() const { return this->queue; }
  const SinceIndex& InState(JobState state) const;
  /// Workers that are not ready, or whose failures call for quarantine.
  const std::set<WorkerId>& WorkersToCheck() const {
    return this->workers_to_check;
  }
  std::uint32_t InUse(const AccountId& account) const;
  std::uint32_t Borrowed(const AccountId& account) const;
  /// Accelerators of the account's whole shape.
  std::uint32_t Guaranteed(const AccountId& account) const;
  /// Accelerators of the smallest cell of any known worker for `size`.
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
  /// True when the drain rule or the state keeps new work away.
  bool IsDraining(const Worker& worker) const;

 private:
  using Verdict = records::Verdict;
  struct Usage {
    std::uint32_t in_use = 0;
    std::uint32_t borrowed = 0;
  };
  using KindKey = std::pair<AccountId, std::string>;
  /// Accelerators, cores and memory of a worker.
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
  bool CouldEverRun(const records::JobSpec& spec) const;
  bool FitsGuarantee(const records::JobSpec& spec) const;
  std::uint32_t MembersThatFit(const CapacityCounts& workers,
                               const MemberSize& size) const;
  std::uint32_t LargestScope(const records::JobSpec& spec) const;

  // Placement.
  Verdict CheckMembers(const Job& job, const records::GangPlaced& body) const;
  Verdict CheckAdjacency(const Job& job, const records::GangPlaced& body) const;
  Verdict CheckVictims(const Job& job, const records::GangPlaced& body) const;
  void PreemptVictims(const records::GangPlaced& body);
  void RecordPendingVictims(Job& job, const std::vector<Cell>& cells);
  std::vector<Cell> CellsOf(const Job& job) const;

  // Transitions.
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

  // Derived state.
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

  // The replicated state.
  Instant log_time;
  Policy policy;
  std::map<WorkerId, Worker> workers;
  std::map<JobId, Job> jobs;
  std::map<KindKey, LearnedEstimate> learned;
  std::int64_t retry_budget_milli = 0;

  // Derived from the replicated state.
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
  std::map<JobState, SinceIndex> jobs_by_state;
  SinceIndex ended;
  std::set<std::pair<Instant, KindKey>> learned_order;
  std::unordered_map<JobId, QueueKey> queue_keys;
  std::map<JobId, std::set<JobId>> claimants;
  std::set<WorkerId> workers_to_check;
  std::set<std::pair<Instant, WorkerId>> lost_workers;
  CapacityCounts capacities;
  std::map<RackId, CapacityCounts> rack_capacities;
  std::map<CapacityCounts, std::uint32_t> rack_compositions;
  std::map<FailureDomainId, CapacityCounts> domain_capacities;
};

static_assert(records::Foldable<Cluster>);

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_CLUSTER_H_
