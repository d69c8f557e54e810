#ifndef PACKAGES_WORKLOAD_STEP_RATES_H_
#define PACKAGES_WORKLOAD_STEP_RATES_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "packages/workload/run_progress.h"
#include "packages/workload/worker_speeds.h"

namespace carobrill::workload {

/// The rates at which the latest runs of the tasks of one step work. The tasks
/// have similar work, so the rates differ mainly by the speed of the workers.
class StepRates {
 public:
  struct Quantiles {
    std::int64_t median_ms = 0;
    std::int64_t high_ms = 0;
    std::uint32_t samples = 0;
  };

  /// Takes in the rate of a run on the worker.
  void Observe(std::uint64_t run,
               const WorkerHash& worker,
               const RunRate& rate);

  /// Takes in that a run has completed, which took `full_ms` for all its work.
  void Complete(std::uint64_t run,
                const WorkerHash& worker,
                std::int64_t full_ms);

  /// Adds runs of an earlier planner on a worker of speed 1.
  void Restore(std::int64_t median_ms, std::uint32_t samples);

  /// Returns the log of the rate on a worker of speed 1; nothing unless runs on
  /// at least two workers have been observed.
  std::optional<double> LogRate(const WorkerSpeeds& speeds) const;

  /// Returns the run time on a worker of speed 1; nothing without enough runs.
  std::optional<Quantiles> RunTimes(const WorkerSpeeds& speeds) const;

 private:
  struct KnownRun {
    std::uint64_t run = 0;
    WorkerHash worker;
    /// Log of the percent per ms; on a worker of speed 1 if `normalised`.
    double log_rate = 0;
    /// Percent of the work that was seen.
    std::uint32_t seen_percent = 0;
    /// Time for all the work, once the run has completed; else 0.
    std::int64_t full_ms = 0;
    bool normalised = false;
  };

  KnownRun& EntryOf(std::uint64_t run, const WorkerHash& worker);

  std::vector<KnownRun> runs;
  /// Index of the entry that is replaced next.
  std::uint32_t next = 0;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_STEP_RATES_H_
