#ifndef PACKAGES_WORKLOAD_JOB_OBJECTIVE_H_
#define PACKAGES_WORKLOAD_JOB_OBJECTIVE_H_

#include <cstdint>
#include <vector>

#include "packages/workload/job.h"

namespace carobrill::workload {

/// What an occurrence can still earn.
enum class DeadlineForecast { kOnTime, kLate, kTooLate };

/// Objectives after which a job counts as too late, as a multiple of the first.
inline constexpr std::int64_t kTooLateFactor = 3;

/// A step is not expected to use more than this part of the room at once, so a
/// wider one is expected to run in waves.
inline constexpr std::uint32_t kCapacityDivisor = 4;

/// Judges jobs by the room of a cluster.
class JobObjective {
 public:
  /// `capacities` are those of all workers.
  explicit JobObjective(std::vector<Resources> capacities);

  /// Time of day (Unix ms) by which an occurrence should have ended: the
  /// longest chain of estimated work times the queue's stretch, and its slack,
  /// after the job was accepted or the occurrence was due.
  Instant DeadlineOf(const Job& job, std::uint32_t occurrence) const;

  /// Longest chain of estimated work that an occurrence has ahead, in ms.
  std::int64_t RemainingMs(const Job& job, std::uint32_t occurrence) const;

  /// Judges an occurrence at `wall` (Unix ms).
  DeadlineForecast Forecast(const Job& job,
                            std::uint32_t occurrence,
                            Instant wall) const;

 private:
  std::int64_t AllowanceMs(const Job& job) const;
  std::int64_t WaveCount(const StepSpec& step, std::int64_t tasks) const;

  std::vector<Resources> capacities;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_JOB_OBJECTIVE_H_
