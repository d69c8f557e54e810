#ifndef PACKAGES_WORKLOAD_WORKER_SPEEDS_H_
#define PACKAGES_WORKLOAD_WORKER_SPEEDS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "packages/core/recency_map.h"
#include "packages/workload/job.h"
#include "packages/workload/run_progress.h"
#include "packages/workload/workload.pb.h"

namespace carobrill::workload {

/// A worker incarnation by the hashes of its place and of its start time.
struct WorkerHash {
  std::uint64_t place = 0;
  std::uint32_t life = 0;

  static WorkerHash Of(const WorkerIncarnation& worker);

  bool operator==(const WorkerHash&) const = default;
};

/// A step of a job, with a hash of the job's id.
struct StepHash {
  std::uint64_t job = 0;
  std::uint32_t step = 0;

  auto operator<=>(const StepHash&) const = default;
};

/// Speeds of workers relative to the typical worker of their service, as
/// natural logarithms. A worker's speed is the robust mean of its latest runs.
/// Each run has one vote, which loses weight with each later run.
class WorkerSpeeds {
 public:
  /// The speed that a run shows so far.
  struct Sample {
    std::uint64_t service = 0;
    WorkerHash worker;
    std::uint64_t run = 0;
    /// The step of the run, and the log of the run's rate.
    StepHash step;
    double log_rate = 0;
    double log_speed = 0;
    /// What was seen since the run's previous sample.
    WorkSeen added;
    /// The worker's speed has changed during the run.
    bool changed = false;
    /// The run belongs to a gang, whose members all have the same work.
    bool gang = false;
  };

  void Observe(const Sample& sample);

  /// Compares the runs of one worker, another one with each call, with the
  /// rates of their steps again; well-known workers less often.
  /// `log_rate_of(StepHash)` returns an optional log of the step's rate.
  template <typename LogRateOf>
  void RefineNext(LogRateOf log_rate_of) {
    auto* next = this->workers.Next(this->refined);
    if (next == nullptr) {
      return;
    }
    this->refined = next->first;
    if (next->second.runs >= kNewWorkerRuns &&
        ++next->second.skipped < kRefineInterval) {
      return;
    }
    next->second.skipped = 0;
    for (RunSpeed& entry : next->second.latest) {
      if (entry.weight > 0 && entry.run != 0) {
        if (const auto log_rate = log_rate_of(entry.step)) {
          entry.log_speed = static_cast<float>(entry.log_rate - *log_rate);
        }
      }
    }
    Summarise(next->second);
  }

  /// The speed that is most likely from the runs alone; 0 when unknown.
  double LogSpeedOf(const WorkerHash& worker) const;

  /// The same, closer to 0 as long as there are few runs.
  double CautiousLogSpeedOf(const WorkerHash& worker) const;

  /// Weight of the evidence behind the speed; 0 when the worker is unknown.
  double WeightOf(const WorkerHash& worker) const;

  /// Number of runs that were observed on the worker.
  std::uint32_t RunsOf(const WorkerHash& worker) const;

  std::size_t Size() const { return this->workers.Size(); }

  /// Adds the workers used last to the record.
  void Encode(records::RunTimesRecord& record) const;

  /// Replaces all speeds; false when the record is broken.
  bool Decode(const records::RunTimesRecord& record);

 private:
  /// The speed that one run has shown.
  struct RunSpeed {
    std::uint64_t run = 0;
    StepHash step;
    float log_rate = 0;
    float log_speed = 0;
    float weight = 0;
  };

  struct WorkerState {
    std::uint64_t service = 0;
    std::uint32_t life = 0;
    std::uint32_t runs = 0;
    std::uint32_t skipped = 0;
    float log_speed = 0;
    float weight = 0;
    std::array<RunSpeed, 8> latest{};
  };

  static void Decay(WorkerState& worker, double factor);
  static RunSpeed& EntryOf(WorkerState& worker, std::uint64_t run);
  static void Summarise(WorkerState& worker);

  const WorkerState* Find(const WorkerHash& worker) const;
  void Normalise(std::uint64_t service);

  /// Refinement takes most of the time. A worker's first runs gain most from
  /// it, since the speeds that they were compared with were hardly known.
  static constexpr std::uint32_t kNewWorkerRuns = 16;
  static constexpr std::uint32_t kRefineInterval = 4;

  static constexpr std::size_t kMaxWorkers = 2'048;
  static constexpr std::size_t kMaxServices = 64;

  RecencyMap<std::uint64_t, WorkerState> workers{kMaxWorkers};
  /// Place of the worker that was refined last.
  std::uint64_t refined = 0;
  /// Samples of each service since its latest normalisation.
  RecencyMap<std::uint64_t, std::uint32_t> samples_of_service{kMaxServices};
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_WORKER_SPEEDS_H_
