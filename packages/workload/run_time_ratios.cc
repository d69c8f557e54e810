#include "packages/workload/run_time_ratios.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "packages/core/hash.h"

namespace carobrill::workload {
namespace {

/// Ratios are recorded in thousandths.
constexpr std::int64_t kPerMille = 1'000;

/// Stands for the estimate of steps without one, which have histograms of their
/// own.
constexpr std::int64_t kUnitMs = 1'000;

/// A histogram is used from this many samples on. Each occurrence of a step
/// gives four of them at most (see RunTimeEstimator), so that these come from
/// several jobs; fewer say less than the estimate.
constexpr std::uint32_t kMinSamples = 12;

/// Callers' estimates are off by a factor of two at most, tails aside.
constexpr std::int64_t kEstimateSpread = 2;

constexpr std::uint32_t kMedianPercent = 50;
constexpr std::uint32_t kHighPercent = 90;

/// From the widest to the narrowest.
constexpr std::array<ForecastSource, 3> kSources = {
    ForecastSource::kService, ForecastSource::kQueue, ForecastSource::kAccount};

std::uint64_t KeyOf(ForecastSource source,
                    const Submission& submission,
                    std::int64_t estimate_ms) {
  StableHash hash;
  hash.Add(NameOf(source));
  hash.Add(estimate_ms > 0);
  if (source == ForecastSource::kService) {
    hash.Add(submission.service.value);
    return hash.Value();
  }
  hash.Add(submission.queue);
  if (source == ForecastSource::kAccount) {
    hash.Add(submission.account.value);
  }
  return hash.Value();
}

std::int64_t BaseOf(std::int64_t estimate_ms) {
  return estimate_ms > 0 ? estimate_ms : kUnitMs;
}

}  // namespace

void RunTimeRatios::Observe(const Submission& submission,
                            std::uint32_t step,
                            std::int64_t work_ms) {
  const std::int64_t estimate_ms = submission.spec.steps[step].estimate_ms;
  const auto ratio =
      static_cast<std::int64_t>(static_cast<double>(work_ms) * kPerMille /
                                static_cast<double>(BaseOf(estimate_ms)));
  // The widest are used last, so that they are evicted last.
  for (auto source = kSources.rbegin(); source != kSources.rend(); ++source) {
    this->histograms.Use(KeyOf(*source, submission, estimate_ms))
        .Add(std::max<std::int64_t>(1, ratio));
  }
}

RunTimeForecast RunTimeRatios::Forecast(const Submission& submission,
                                        std::uint32_t step) const {
  const std::int64_t estimate_ms = submission.spec.steps[step].estimate_ms;
  const auto base = static_cast<double>(BaseOf(estimate_ms)) / kPerMille;
  for (auto source = kSources.rbegin(); source != kSources.rend(); ++source) {
    const RunTimeSamples* found =
        this->histograms.Find(KeyOf(*source, submission, estimate_ms));
    if (found != nullptr && found->Count() >= kMinSamples) {
      return {std::llround(base * found->InterpolatedQuantile(kMedianPercent)),
              std::llround(base * found->InterpolatedQuantile(kHighPercent)),
              found->Count(), *source};
    }
  }
  return {estimate_ms, kEstimateSpread * estimate_ms, 0,
          ForecastSource::kEstimate};
}

void RunTimeRatios::Encode(records::RunTimesRecord& record) const {
  for (const auto& [key, samples] : this->histograms) {
    const RunTimeSamples::Counts& counts = samples.BucketCounts();
    const auto used = [](std::uint16_t count) { return count > 0; };
    const auto first = std::find_if(counts.begin(), counts.end(), used);
    const auto last = std::find_if(counts.rbegin(), counts.rend(), used).base();
    records::RunTimeRatiosRecord& stored = *record.add_ratios();
    stored.set_key(key);
    stored.set_first_bucket(static_cast<std::uint32_t>(first - counts.begin()));
    stored.mutable_counts()->Add(first, last);
  }
}

bool RunTimeRatios::Decode(const records::RunTimesRecord& record) {
  RunTimeRatios decoded;
  // The record starts with the histogram that was used last.
  for (int i = record.ratios_size() - 1; i >= 0; --i) {
    const records::RunTimeRatiosRecord& stored = record.ratios(i);
    const auto size = static_cast<std::size_t>(stored.counts_size());
    RunTimeSamples::Counts counts{};
    if (size > counts.size() || stored.first_bucket() > counts.size() - size) {
      return false;
    }
    for (std::size_t bucket = 0; bucket < size; ++bucket) {
      const std::uint32_t count = stored.counts(static_cast<int>(bucket));
      if (count > UINT16_MAX) {
        return false;
      }
      counts[stored.first_bucket() + bucket] =
          static_cast<std::uint16_t>(count);
    }
    const auto samples = RunTimeSamples::FromCounts(counts);
    if (!samples) {
      return false;
    }
    decoded.histograms.Use(stored.key()) = *samples;
  }
  *this = std::move(decoded);
  return true;
}

}  // namespace carobrill::workload
