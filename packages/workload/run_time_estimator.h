#ifndef PACKAGES_WORKLOAD_RUN_TIME_ESTIMATOR_H_
#define PACKAGES_WORKLOAD_RUN_TIME_ESTIMATOR_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include "packages/core/recency_map.h"
#include "packages/core/time.h"
#include "packages/workload/job.h"
#include "packages/workload/job_spec.h"
#include "packages/workload/run_progress.h"
#include "packages/workload/run_time_ratios.h"
#include "packages/workload/step_rates.h"
#include "packages/workload/worker_speeds.h"

namespace carobrill::workload {

/// A run as seen at one moment, of a task that works or has finished.
struct ObservedRun {
  const Submission* submission = nullptr;
  std::uint32_t step = 0;
  TaskKey task;
  std::uint32_t run = 0;
  WorkerIncarnation worker;
  /// The run is off the rack of its data, or belongs to a gang with the
  /// one-rack property that is spread over several racks.
  bool far = false;
  /// Time since the worker first listed the run as running.
  std::int64_t worked_ms = 0;
  /// 0 to 100.
  std::uint32_t percent = 0;
  /// Boot clock.
  Instant now;
};

/// Learns the speeds of workers and the run times of tasks. Its results improve
/// decisions, but no rule may depend on them.
class RunTimeEstimator {
 public:
  /// Takes in the progress of a run. Cheap enough for every progress report.
  void ObserveProgress(const ObservedRun& seen);

  /// Takes in that a run has completed its task.
  void ObserveDone(const ObservedRun& seen);

  /// Drops what is known about the job's own runs.
  void Forget(const JobId& job);

  /// Returns the worker's speed relative to the typical worker of its service,
  /// from 0.25 to 4; 1 when unknown.
  double SpeedOf(const WorkerIncarnation& worker) const;

  /// Returns the number of runs that the worker's speed is based on.
  std::uint32_t SpeedSamples(const WorkerIncarnation& worker) const;

  /// Returns the expected run time of a task of the step.
  RunTimeForecast Forecast(const Submission& submission,
                           std::uint32_t step) const;

  /// Encodes the state for storage, in at most 32 KiB.
  std::string Encode() const;

  /// Replaces the state with a stored one. Returns false and changes nothing
  /// when the record is broken or of an unknown version.
  bool Decode(const std::string& bytes);

  /// True when the result of Encode() has changed since its last call.
  bool ChangedSinceEncode() const { return this->changed; }

  /// Numbers of entries in memory, all of them bounded.
  struct EntryCounts {
    std::size_t workers = 0;
    std::size_t runs = 0;
    std::size_t steps = 0;
    std::size_t histograms = 0;
  };
  EntryCounts Sizes() const {
    return {this->speeds.Size(), this->runs.Size(), this->steps.Size(),
            this->ratios.Size()};
  }

 private:
  /// A task, with a hash of the id of its job.
  struct TaskHash {
    StepHash step;
    std::uint32_t occurrence = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskHash&) const = default;
  };

  struct StepHistory {
    StepRates rates;
    /// Later occurrences of the job follow, for which the record keeps the
    /// run times.
    bool scheduled = false;
  };

  static TaskHash HashOfTask(const TaskKey& task);

  void Learn(const ObservedRun& seen,
             const TaskHash& task,
             const RunRate& rate);
  void EncodeSteps(records::RunTimesRecord& record) const;
  bool DecodeSteps(const records::RunTimesRecord& record);

  // Twice the required number of running tasks, and their steps.
  static constexpr std::size_t kMaxRuns = 8'192;
  static constexpr std::size_t kMaxSteps = 4'096;

  WorkerSpeeds speeds;
  RunTimeRatios ratios;
  RecencyMap<TaskHash, RunProgress> runs{kMaxRuns};
  RecencyMap<StepHash, StepHistory> steps{kMaxSteps};
  /// Cleared by Encode(), which changes nothing else.
  mutable bool changed = false;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_RUN_TIME_ESTIMATOR_H_
