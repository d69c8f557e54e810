#ifndef PACKAGES_SCHEDULING_PLANNER_H_
#define PACKAGES_SCHEDULING_PLANNER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/time.h"
#include "packages/records/records.pb.h"
#include "packages/scheduling/cluster.h"

namespace carobrill::scheduling {

/// Progress of a gang as reported by its members and its watcher.
enum class GangPhase { kPrepared, kRefused, kStarted, kEnded };

constexpr auto NamesOf(GangPhase) {
  return MakeNameTable<GangPhase>({
      {GangPhase::kPrepared, "prepared"},
      {GangPhase::kRefused, "refused"},
      {GangPhase::kStarted, "started"},
      {GangPhase::kEnded, "ended"},
  });
}

/// A report on one attempt; the last four fields are set for kEnded only.
struct GangReport {
  JobId job;
  std::uint32_t attempt = 0;
  GangPhase phase = GangPhase::kPrepared;
  records::GangOutcome outcome = records::GANG_OUTCOME_UNSPECIFIED;
  std::vector<WorkerId> failed_workers;
  std::string checkpoint;
  std::int64_t run_ms = 0;
};

/// Measured usage of one gang member at `sampled_at` in log time.
struct UsageSample {
  JobId job;
  std::uint32_t attempt = 0;
  WorkerId worker;
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;
  Instant sampled_at;
};

/// Input of the planner that is not in the log.
struct PlannerInput {
  /// Workers whose agent has missed its announcement deadline.
  std::set<WorkerId> dead_workers;
  std::vector<GangReport> reports;
  std::vector<UsageSample> usage;
};

/// Actions on a single task, requested from its worker and not recorded in the
/// log.
enum class TaskActionKind { kThrottle, kCheckpoint };

constexpr auto NamesOf(TaskActionKind) {
  return MakeNameTable<TaskActionKind>({
      {TaskActionKind::kThrottle, "throttle"},
      {TaskActionKind::kCheckpoint, "checkpoint"},
  });
}

/// A request to the agent of `worker` to act on its task of `job`.
struct TaskAction {
  TaskActionKind kind = TaskActionKind::kThrottle;
  JobId job;
  std::uint32_t attempt = 0;
  WorkerId worker;
  /// Share of the task's cell that remains, in thousandths, for kThrottle.
  std::uint32_t share_permille = 1000;
};

/// The records to append and the actions to send. Writer and sequence number of
/// `records` are not set.
struct Plan {
  std::vector<records::Record> records;
  std::vector<TaskAction> actions;
};

/// Which work borrows free cells before using its account's guarantee.
enum class BorrowFirst { kNever, kCheckpoint, kAlways };

constexpr auto NamesOf(BorrowFirst) {
  return MakeNameTable<BorrowFirst>({
      {BorrowFirst::kNever, "never"},
      {BorrowFirst::kCheckpoint, "checkpoint"},
      {BorrowFirst::kAlways, "always"},
  });
}

/// Planner parameters. Times are in milliseconds of log time.
struct PlannerSettings {
  std::uint32_t max_placements = 64;
  std::int64_t aging_ms = 30LL * 60 * 1000;
  std::int64_t prepare_timeout_ms = 5'000;
  std::int64_t start_timeout_ms = 10'000;
  /// After a stop request: covers the lease of 3 s and the time to write a
  /// checkpoint.
  std::int64_t stop_timeout_ms = 10'000;
  /// Usage samples taken earlier than this after the start are ignored.
  std::int64_t usage_lag_ms = 5'000;
  std::uint32_t size_hysteresis_permille = 100;
  /// Number of samples in a window; a learned size can shrink to the maximum
  /// usage over a full window.
  std::uint32_t shrink_samples = 20;
  std::uint32_t throttle_permille = 900;
  std::uint32_t stop_permille = 970;
  std::uint32_t quarantine_failures = 3;
  /// Jobs may overtake a gang that does not fit if they do not delay it.
  bool backfill = true;
  /// Jobs may run outside their account's guarantee.
  bool borrow = true;
  /// Which work borrows free cells before using its account's guarantee. kNever
  /// gives better results for short work (deployment A), kAlways for large
  /// gangs and fragmentation (deployment B).
  BorrowFirst borrow_first = BorrowFirst::kNever;
  /// While a job waits for its account's guarantee, later jobs of the account
  /// only borrow.
  bool reserve_guarantee = true;

  /// True if every value is in its range.
  bool Valid() const;
};

/// Computes proposals for the log. Its only state is the windows of usage
/// samples, so a replacement can start with an empty planner.
class Planner {
 public:
  explicit Planner(PlannerSettings settings = {});

  /// Returns proposals for the state of `cluster` at `now` in log time. Call it
  /// again only after the previous proposals have been applied.
  Plan Propose(const Cluster& cluster, Instant now, const PlannerInput& view);

  /// Adds all proposals except placements to `plan`. Returns the jobs that have
  /// a proposal.
  std::set<JobId> ProposeMaintenance(const Cluster& cluster,
                                     Instant now,
                                     const PlannerInput& view,
                                     Plan& plan);

 private:
  struct UsageWindow {
    std::uint32_t samples = 0;
    std::uint32_t cores_milli = 0;
    std::uint32_t memory_mb = 0;
  };

  void LearnSizes(const Cluster& cluster, const PlannerInput& view, Plan& plan);
  void CorrectSize(const Cluster& cluster, const Job& job, Plan& plan);

  PlannerSettings settings;
  std::map<std::pair<AccountId, std::string>, UsageWindow> usage_windows;
};

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_PLANNER_H_
