#ifndef PACKAGES_WORKLOAD_JOB_OBJECTIVE_H_
#define PACKAGES_WORKLOAD_JOB_OBJECTIVE_H_

#include <cstdint>
#include <vector>

#include "packages/workload/job.h"

namespace carobrill::workload {

/// When an occurrence is expected to end, relative to its objective.
enum class DeadlineForecast { kOnTime, kLate, kTooLate };

/// Multiple of the time that the objective allows; an occurrence that is
/// expected to take longer counts as too late.
inline constexpr std::int64_t kTooLateFactor = 3;

/// A step is expected to use at most 1 / kCapacityDivisor of the cluster's
/// capacity at once; a step with more tasks runs in several waves.
inline constexpr std::uint32_t kCapacityDivisor = 4;

/// Computes deadlines and forecasts of jobs from the capacity of the cluster.
class JobObjective {
 public:
  /// `capacities` holds the capacity of each ready worker.
  explicit JobObjective(const std::vector<Resources>& capacities);

  /// Deadline of an occurrence as wall-clock time (Unix ms). Counted from the
  /// acceptance of the job, or from the due time of an occurrence of a repeated
  /// job, it is the estimated critical path times the queue's stretch factor,
  /// plus the queue's slack.
  Instant DeadlineOf(const Job& job, std::uint32_t occurrence) const;

  /// Number of tasks of the step that the objective assumes to run at once.
  std::int64_t TasksAtOnce(const StepSpec& step) const;

  /// Estimated critical path of the remaining work of an occurrence, in ms.
  std::int64_t RemainingMs(const Job& job, std::uint32_t occurrence) const;

  /// Forecasts at `wall` (Unix ms) whether an occurrence meets its objective.
  DeadlineForecast Forecast(const Job& job,
                            std::uint32_t occurrence,
                            Instant wall) const;

 private:
  std::int64_t AllowanceMs(const Job& job) const;
  std::int64_t TasksAtOnce(const StepSpec& step, std::int64_t tasks) const;
  std::int64_t WaveCount(const StepSpec& step, std::int64_t tasks) const;

  /// Workers of the same capacity.
  struct Kind {
    Resources capacity;
    std::int64_t workers = 0;
  };

  std::vector<Kind> kinds;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_JOB_OBJECTIVE_H_
