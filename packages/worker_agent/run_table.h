#ifndef PACKAGES_WORKER_AGENT_RUN_TABLE_H_
#define PACKAGES_WORKER_AGENT_RUN_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "packages/core/time.h"
#include "packages/worker_agent/worker_port.h"

namespace carobrill::worker_agent {

/// What matters to the tasks beside a run on the same worker.
struct RunTraits {
  /// The task takes processor time that others leave unused.
  bool filler = false;
  /// Tail latency that the task must stay below, in ms; 0 for none.
  std::int64_t latency_target_ms = 0;
};

/// What the planner wants of one run.
struct DesiredRun {
  workload::TaskKey task;
  std::uint32_t run = 0;
  bool stop = false;
  /// The worker has shown the run; the order to start it is not repeated.
  bool started = false;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  RunTraits traits;
};

/// Names one run.
using RunKey = std::pair<workload::TaskKey, std::uint32_t>;

/// Orders that are due.
struct DueOrders {
  std::vector<DesiredRun> starts;
  std::vector<RunKey> stops;
};

/// Times of orders to the worker, in ms.
struct RunTableSettings {
  std::int64_t retry_ms = 120;
  /// A run that nobody ordered is stopped after this: the planner may have
  /// taken its end for granted a moment before the worker lists it.
  std::int64_t unordered_ms = 1'000;
};

/// Brings the worker's runs in line with what the planner wants. Holds what is
/// wanted, what the worker lists and which orders are on their way. Pure.
class RunTable {
 public:
  explicit RunTable(RunTableSettings settings) : settings(settings) {}

  /// Forgets everything: another life of the worker.
  void Reset();

  /// Replaces what is wanted.
  void SetDesired(std::vector<DesiredRun> desired, Instant now);

  /// A worker that is leaving gets no new runs.
  void SetDraining(bool draining) { this->draining = draining; }

  /// Orders that are due; each counts as sent until its result is noted.
  DueOrders TakeDue(Instant now);

  /// @{
  /// Results of orders; `sent` is when the order was sent.
  void OnStart(const RunKey& run, OrderResult result, Instant now);
  void OnStop(const RunKey& run, OrderResult result, Instant now);
  /// @}

  /// The worker's lists; `sent` is when they were asked for.
  void OnLists(const LeaseReply& reply, Instant sent, Instant now);

  /// The worker's process is gone, and with it all runs.
  void OnWorkerGone();

  /// Traits of a wanted run; those of a plain task for any other.
  RunTraits TraitsOf(const RunKey& run) const;

  /// Runs that the worker lists.
  const std::vector<ListedRun>& Running() const { return this->running; }

  /// Ends that the worker lists, and ends that follow from refused orders.
  std::vector<ListedEnd> Ends() const;

  /// Rises whenever the ends or the set of running tasks change.
  std::uint64_t Version() const { return this->version; }

 private:
  struct State {
    DesiredRun desired;
    bool start_open = false;
    bool stop_open = false;
    bool start_sent = false;
    bool stop_done = false;
    /// An attempt to start got no answer and may be carried out late.
    bool unanswered = false;
    /// The worker has accepted or listed the run.
    bool confirmed = false;
    Instant retry_at;
    Instant stop_done_at;
    /// The end that follows from refused orders, if there is one.
    bool ended = false;
    workload::RunEnd end = workload::RunEnd::kRefused;
  };

  bool Listed(const RunKey& run) const;
  void End(State& state, workload::RunEnd end);

  RunTableSettings settings;
  std::map<RunKey, State> wanted;
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
  /// Runs that the worker lists and nobody ordered, with the first sight.
  std::map<RunKey, Instant> unordered;
  bool draining = false;
  /// Orders for this life of the worker have arrived.
  bool orders_known = false;
  std::uint64_t version = 1;
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_RUN_TABLE_H_
