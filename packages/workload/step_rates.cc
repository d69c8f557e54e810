#include "packages/workload/step_rates.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

#include "packages/workload/job.h"
#include "packages/workload/robust_mean.h"

namespace carobrill::workload {
namespace {

/// Runs kept for each step. Bounds the time of each observation; the mean of
/// this many runs is off by a few percent only.
constexpr std::size_t kMaxRates = 16;

/// Beyond this share of the work, a run counts fully.
constexpr std::uint32_t kFullyKnownPercent = 40;

/// Share of the work that shows the run time of a task well enough.
constexpr std::uint32_t kMinSeenPercent = 20;

constexpr std::size_t kMinRuns = 3;

/// A run on a worker whose speed is known weighs up to this many times as much
/// as one on an unknown worker.
constexpr double kUnknownWorkerWeight = 0.3;
constexpr double kMaxWorkerWeight = 4;

/// The run times of one step scatter by 15 to 30 %, which a few runs may not
/// show, so that the high forecast exceeds the median by at least 20 %.
constexpr double kMinHighToMedian = 1.2;
constexpr double kHighShare = 0.9;

}  // namespace

StepRates::KnownRun& StepRates::EntryOf(std::uint64_t run,
                                        const WorkerHash& worker) {
  for (KnownRun& known : this->runs) {
    if (known.run == run) {
      return known;
    }
  }
  if (this->runs.size() < kMaxRates) {
    this->runs.push_back({run, worker});
    return this->runs.back();
  }
  KnownRun& known = this->runs[this->next];
  this->next = (this->next + 1) % kMaxRates;
  known = {run, worker};
  return known;
}

void StepRates::Observe(std::uint64_t run,
                        const WorkerHash& worker,
                        const RunRate& rate) {
  KnownRun& known = this->EntryOf(run, worker);
  known.log_rate = rate.log_rate;
  known.seen_percent = rate.seen_percent;
}

void StepRates::Complete(std::uint64_t run,
                         const WorkerHash& worker,
                         std::int64_t full_ms) {
  // Speeds are still compared by the rate that was seen last: with another rate
  // here than in the votes of the workers, the speeds of all workers of a step
  // would shift with each of its runs.
  this->EntryOf(run, worker).full_ms = full_ms;
}

void StepRates::Restore(std::int64_t median_ms, std::uint32_t samples) {
  const std::size_t count = std::min<std::size_t>(samples, kMinRuns);
  for (std::size_t i = 0; i < count && this->runs.size() < kMaxRates; ++i) {
    KnownRun known;
    known.log_rate =
        std::log(kCompletePercent / static_cast<double>(median_ms));
    known.seen_percent = kCompletePercent;
    known.full_ms = median_ms;
    known.normalised = true;
    this->runs.push_back(known);
  }
}

std::optional<double> StepRates::LogRate(const WorkerSpeeds& speeds) const {
  std::array<WeightedValue, kMaxRates> values;
  std::size_t count = 0;
  const KnownRun* first = nullptr;
  bool several_workers = false;
  for (const KnownRun& known : this->runs) {
    // The end alone is seen up to a second late, which is too late for a rate.
    if (known.seen_percent == 0) {
      continue;
    }
    first = first == nullptr ? &known : first;
    several_workers = several_workers || known.worker != first->worker;
    const double seen = std::min(known.seen_percent, kFullyKnownPercent);
    const double weight =
        kUnknownWorkerWeight +
        std::min(kMaxWorkerWeight, speeds.WeightOf(known.worker));
    values[count++] = {
        known.log_rate -
            (known.normalised ? 0.0 : speeds.LogSpeedOf(known.worker)),
        seen * weight};
  }
  if (!several_workers) {
    return std::nullopt;
  }
  return RobustMean({values.data(), count});
}

std::optional<StepRates::Quantiles> StepRates::RunTimes(
    const WorkerSpeeds& speeds) const {
  std::vector<double> run_times;
  for (const KnownRun& known : this->runs) {
    const double speed =
        known.normalised ? 1.0 : std::exp(speeds.LogSpeedOf(known.worker));
    if (known.full_ms > 0) {
      run_times.push_back(static_cast<double>(known.full_ms) * speed);
    } else if (known.seen_percent >= kMinSeenPercent) {
      run_times.push_back(kCompletePercent * std::exp(-known.log_rate) * speed);
    }
  }
  if (run_times.size() < kMinRuns) {
    return std::nullopt;
  }
  std::sort(run_times.begin(), run_times.end());
  const std::size_t last = run_times.size() - 1;
  const double median = (run_times[last / 2] + run_times[(last + 1) / 2]) / 2;
  const double high = std::max(median * kMinHighToMedian,
                               run_times[static_cast<std::size_t>(std::ceil(
                                   static_cast<double>(last) * kHighShare))]);
  return Quantiles{std::llround(median), std::llround(high),
                   static_cast<std::uint32_t>(run_times.size())};
}

}  // namespace carobrill::workload
