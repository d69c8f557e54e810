#ifndef PACKAGES_WORKLOAD_RUN_TIME_RATIOS_H_
#define PACKAGES_WORKLOAD_RUN_TIME_RATIOS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "packages/core/name_table.h"
#include "packages/core/recency_map.h"
#include "packages/core/run_time_samples.h"
#include "packages/workload/job_spec.h"
#include "packages/workload/workload.pb.h"

namespace carobrill::workload {

/// The runs that a forecast is based on.
enum class ForecastSource { kEstimate, kService, kQueue, kAccount, kStep };

constexpr auto NamesOf(ForecastSource) {
  return MakeNameTable<ForecastSource>({{ForecastSource::kEstimate, "estimate"},
                                        {ForecastSource::kService, "service"},
                                        {ForecastSource::kQueue, "queue"},
                                        {ForecastSource::kAccount, "account"},
                                        {ForecastSource::kStep, "step"}});
}

/// Expected run time of a task on a worker of speed 1, near its data.
struct RunTimeForecast {
  /// Exceeded by half of the runs; 0 when nothing is known.
  std::int64_t median_ms = 0;
  /// Exceeded by a tenth of the runs; 0 when nothing is known.
  std::int64_t high_ms = 0;
  /// Number of runs that the forecast is based on.
  std::uint32_t samples = 0;
  ForecastSource source = ForecastSource::kEstimate;
};

/// Histograms of the ratio of run times to the callers' estimates, by queue and
/// account, by queue, and by service.
class RunTimeRatios {
 public:
  /// Records that a task of the step took `work_ms` at speed 1.
  void Observe(const Submission& submission,
               std::uint32_t step,
               std::int64_t work_ms);

  /// Returns the forecast of the narrowest histogram with enough samples, or
  /// else one from the estimate alone.
  RunTimeForecast Forecast(const Submission& submission,
                           std::uint32_t step) const;

  std::size_t Size() const { return this->histograms.Size(); }

  /// Adds the histograms to the record.
  void Encode(records::RunTimesRecord& record) const;

  /// Replaces all histograms; false when the record is broken.
  bool Decode(const records::RunTimesRecord& record);

 private:
  // Callers choose the names of queues and accounts, so that the number of
  // histograms is limited. 40 accounts in 4 queues and their services fit.
  static constexpr std::size_t kMaxHistograms = 256;

  RecencyMap<std::uint64_t, RunTimeSamples> histograms{kMaxHistograms};
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_RUN_TIME_RATIOS_H_
