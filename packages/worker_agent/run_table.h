#ifndef PACKAGES_WORKER_AGENT_RUN_TABLE_H_
#define PACKAGES_WORKER_AGENT_RUN_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/core/name_table.h"
#include "packages/core/time.h"
#include "packages/worker_agent/worker_port.h"

namespace carobrill::worker_agent {

/// Properties of a run that affect other tasks on the same worker.
struct RunTraits {
  /// The task uses processor time that other tasks leave idle.
  bool filler = false;
  /// Upper limit for the task's tail latency, in ms; 0 for none.
  std::int64_t latency_target_ms = 0;
};

/// State of one run as requested by the planner.
struct DesiredRun {
  workload::TaskKey task;
  std::uint32_t run = 0;
  bool stop = false;
  /// The planner knows that the run has started, so the start order is not
  /// repeated.
  bool started = false;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  RunTraits traits;
  /// Part of the worker's capacity that the run takes.
  workload::Resources demand;
};

/// How a worker's process ended.
enum class WorkerExit { kShutdown, kCrash };

constexpr auto NamesOf(WorkerExit) {
  return MakeNameTable<WorkerExit>(
      {{WorkerExit::kShutdown, "shutdown"}, {WorkerExit::kCrash, "crash"}});
}

/// Identifies one run.
using RunKey = std::pair<workload::TaskKey, std::uint32_t>;

/// Orders to send now.
struct DueOrders {
  std::vector<DesiredRun> starts;
  std::vector<RunKey> stops;
  /// Runs that are not started because they exceed the worker's capacity.
  std::vector<RunKey> withdrawn;
  /// Further starts are due once starts in flight have been answered.
  bool starts_left = false;
};

/// Timing of orders to the worker, in ms, and their number.
struct RunTableSettings {
  std::int64_t retry_delay_ms = 120;
  /// Delay before a run that was not ordered is stopped. The planner may have
  /// assumed that the run had ended just before the worker lists it.
  std::int64_t unexpected_grace_ms = 1'000;
  /// Maximum number of starts that have been sent and not answered.
  std::size_t max_starts_in_flight = 32;
};

/// Reconciles the worker's runs with the runs requested by the planner. Tracks
/// the requested runs, the runs that the worker lists, and the orders in
/// flight. Performs no I/O.
class RunTable {
 public:
  explicit RunTable(RunTableSettings settings) : settings(settings) {}

  /// Clears all state for a new incarnation of the worker.
  void Reset();

  /// Replaces the requested runs. With `maybe_started`, an earlier process of
  /// the agent may have sent starts of runs that are new to this one.
  void SetDesired(std::vector<DesiredRun> desired,
                  Instant now,
                  bool maybe_started = false);

  /// Sets whether the worker is draining. A draining worker is sent no new
  /// runs.
  void SetDraining(bool draining) { this->draining = draining; }

  /// Sets the worker's capacity. No run is started that exceeds it together
  /// with the requested runs that the worker may hold.
  void SetCapacity(const workload::Resources& capacity) {
    this->capacity = capacity;
  }

  /// Sends no starts until the next SetDesired(): the planner may have given up
  /// the requested runs.
  void HoldStarts() { this->starts_held = true; }

  /// Returns the orders to send now. Each counts as in flight until its result
  /// is reported.
  DueOrders TakeDue(Instant now);

  /// @{
  /// Handle the result of an order, received at `now`.
  void OnStart(const RunKey& run, OrderResult result, Instant now);
  void OnStop(const RunKey& run, OrderResult result, Instant now);
  /// @}

  /// Handles the worker's lists. `sent` is when they were requested.
  void OnLists(const LeaseReply& reply, Instant sent, Instant now);

  /// The worker's process has started again under the same id. Orders to the
  /// earlier process may have reached the new one, so every run is stopped
  /// there. A run ends as the new process lists it, or else as after
  /// OnWorkerGone().
  void OnWorkerRestarted(WorkerExit exit, Instant now);

  /// Ends all runs because the worker's process has exited. After a crash, the
  /// runs that may have been executing count as crashed, the others as lost.
  void OnWorkerGone(WorkerExit exit);

  /// Returns whether the ends of all requested runs are known.
  bool AllEnded() const;

  /// Returns the traits of a requested run, or default traits for any other
  /// run.
  RunTraits TraitsOf(const RunKey& run) const;

  /// Returns the runs that the worker lists.
  const std::vector<ListedRun>& Running() const { return this->running; }

  /// Returns the run ends that the worker lists, and those derived from order
  /// results or the loss of the worker.
  std::vector<ListedRunEnd> Ends() const;

  /// Incremented whenever the run ends or the set of running tasks change.
  std::uint64_t Version() const { return this->version; }

 private:
  struct State {
    DesiredRun desired;
    bool start_in_flight = false;
    bool stop_in_flight = false;
    bool start_sent = false;
    bool stop_done = false;
    /// The worker rejects further starts of the run, because it has stopped or
    /// ended there. Only lists requested after `closed_at` contain its end.
    bool closed = false;
    Instant closed_at;
    /// A start order was not answered and may still be executed later.
    bool start_unanswered = false;
    /// The worker has accepted or listed the run.
    bool confirmed = false;
    /// Lists requested later contain the run or its end, because it is known to
    /// have started.
    Instant listed_from = Instant::Never();
    /// Such lists contained neither, so the run is stopped before it ends.
    bool vanished = false;
    Instant retry_at;
    /// Run end derived from order results or the loss of the worker. Valid if
    /// `ended` is true.
    bool ended = false;
    workload::RunEnd end = workload::RunEnd::kRefused;
    /// End of a run that the process that started last does not list, if the
    /// worker has restarted.
    workload::RunEnd end_by_exit = workload::RunEnd::kWorkerLost;
  };

  void SetLists(std::vector<ListedRun> running,
                std::vector<ListedRunEnd> ended);
  bool IsListedRunning(const RunKey& run) const {
    return this->listed_running.contains(run);
  }
  std::set<RunKey> SelectStarts(Instant now) const;
  bool MustStart(const RunKey& run, const State& state) const;
  bool MayHoldResources(const RunKey& run, const State& state) const;
  workload::Resources ResourcesInUse() const;
  void Withdraw(State& state, Instant now);
  void CheckUnlisted(State& state, const LeaseReply& reply, Instant sent);
  void MarkEnded(State& state, workload::RunEnd end);
  workload::RunEnd EndByExit(const RunKey& run,
                             const State& state,
                             WorkerExit exit) const;

  RunTableSettings settings;
  std::map<RunKey, State> desired_runs;
  std::vector<ListedRun> running;
  std::vector<ListedRunEnd> ended;
  /// The same, by run.
  std::set<RunKey> listed_running;
  std::map<RunKey, workload::RunEnd> listed_ends;
  /// Runs that the worker lists but nobody ordered, with the time at which each
  /// was first listed.
  std::map<RunKey, Instant> unexpected;
  bool draining = false;
  bool starts_held = false;
  workload::Resources capacity;
  /// The worker's process has exited.
  bool exited = false;
  /// The requested runs were ordered from an earlier process of the worker.
  bool restarted = false;
  /// Orders for this incarnation of the worker have been received.
  bool orders_received = false;
  std::uint64_t version = 1;
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_RUN_TABLE_H_
