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

/// Progress of a gang as its members and its watcher report it.
enum class GangPhase { kPrepared, kRefused, kStarted, kEnded };

constexpr auto NamesOf(GangPhase) {
  return MakeNameTable<GangPhase>({
      {GangPhase::kPrepared, "prepared"},
      {GangPhase::kRefused, "refused"},
      {GangPhase::kStarted, "started"},
      {GangPhase::kEnded, "ended"},
  });
}

/// A report on one attempt; the last four fields are for kEnded.
struct GangReport {
  JobId job;
  std::uint32_t attempt = 0;
  GangPhase phase = GangPhase::kPrepared;
  records::GangOutcome outcome = records::GANG_OUTCOME_UNSPECIFIED;
  std::vector<WorkerId> failed_workers;
  std::string checkpoint;
  std::int64_t run_ms = 0;
};

/// Measured use of one member, taken at `sampled_at` in log time.
struct UsageSample {
  JobId job;
  std::uint32_t attempt = 0;
  WorkerId worker;
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;
  Instant sampled_at;
};

/// What the planning entry knows besides the log.
struct PlannerView {
  /// Workers whose agent has not announced itself in time.
  std::set<WorkerId> dead_workers;
  std::vector<GangReport> reports;
  std::vector<UsageSample> usage;
};

/// What a worker is asked to do to one task; not recorded in the log.
enum class TaskActionKind { kThrottle, kCheckpoint };

constexpr auto NamesOf(TaskActionKind) {
  return MakeNameTable<TaskActionKind>({
      {TaskActionKind::kThrottle, "throttle"},
      {TaskActionKind::kCheckpoint, "checkpoint"},
  });
}

/// A request to the agent of `worker` about its task of `job`.
struct TaskAction {
  TaskActionKind kind = TaskActionKind::kThrottle;
  JobId job;
  std::uint32_t attempt = 0;
  WorkerId worker;
  /// Thousandths of the task's cell, for kThrottle.
  std::uint32_t share_permille = 1000;
};

/// Proposals for the next step. `records` lack writer and sequence.
struct Plan {
  std::vector<records::Record> records;
  std::vector<TaskAction> actions;
};

/// Work that borrows free cells before it uses its account's guarantee.
enum class BorrowFirst { kNever, kCheckpoint, kAlways };

constexpr auto NamesOf(BorrowFirst) {
  return MakeNameTable<BorrowFirst>({
      {BorrowFirst::kNever, "never"},
      {BorrowFirst::kCheckpoint, "checkpoint"},
      {BorrowFirst::kAlways, "always"},
  });
}

/// Policy choices of the planner; times in milliseconds of log time.
struct PlannerSettings {
  std::uint32_t max_placements = 64;
  std::int64_t aging_ms = 30LL * 60 * 1000;
  std::int64_t prepare_timeout_ms = 5'000;
  std::int64_t start_timeout_ms = 10'000;
  /// After a stop request: lease of 3 s, and the time of a checkpoint.
  std::int64_t stop_timeout_ms = 10'000;
  /// Usage measured earlier than this after the start is not used.
  std::int64_t usage_lag_ms = 5'000;
  std::uint32_t size_hysteresis_permille = 100;
  /// Largest use of a window of samples that shrinks a learned size.
  std::uint32_t shrink_samples = 20;
  std::uint32_t throttle_permille = 900;
  std::uint32_t stop_permille = 970;
  std::uint32_t quarantine_failures = 3;
  /// Jobs may overtake a gang that does not fit, if they do not delay it.
  bool backfill = true;
  /// Work may run outside its account's guarantee.
  bool borrow = true;
  /// Which work borrows free cells before it uses its account's guarantee.
  /// kNever serves short work better (deployment A), kAlways large gangs and
  /// fragmentation (deployment B).
  BorrowFirst borrow_first = BorrowFirst::kNever;
  /// Jobs behind one that waits for its account's guarantee only borrow.
  bool reserve_guarantee = true;

  /// True when every value is in its range.
  bool Valid() const;
};

/// Proposes the next step. A successor needs none of its state: it only keeps
/// windows of usage samples.
class Planner {
 public:
  explicit Planner(PlannerSettings settings = {});

  /// Proposals for the state of `cluster` at `now` in log time. Called again
  /// only when the previous proposals have been applied.
  Plan Propose(const Cluster& cluster, Instant now, const PlannerView& view);

  /// Everything but placements; returns the jobs that got a proposal.
  std::set<JobId> ProposeMaintenance(const Cluster& cluster,
                                     Instant now,
                                     const PlannerView& view,
                                     Plan& plan);

 private:
  struct Window {
    std::uint32_t samples = 0;
    std::uint32_t cores_milli = 0;
    std::uint32_t memory_mb = 0;
  };

  void LearnSizes(const Cluster& cluster, const PlannerView& view, Plan& plan);
  void Correct(const Cluster& cluster, const Job& job, Plan& plan);

  PlannerSettings settings;
  std::map<std::pair<AccountId, std::string>, Window> windows;
};

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_PLANNER_H_
