#include "packages/core/run_time_samples.h"

#include <algorithm>
#include <cassert>

namespace carobrill {
namespace {

constexpr std::uint32_t kHalvingInterval = 256;
constexpr std::uint32_t kPercent = 100;

}  // namespace

constexpr std::array<std::int64_t, RunTimeSamples::kBuckets>
RunTimeSamples::MakeBucketLimits() {
  std::array<std::int64_t, kBuckets> limits{};
  std::int64_t limit = 1;
  for (std::int64_t& bucket : limits) {
    bucket = limit;
    limit = std::max(limit + 1, limit + limit / 4);
  }
  return limits;
}

const std::array<std::int64_t, RunTimeSamples::kBuckets>&
RunTimeSamples::BucketLimits() {
  static constexpr auto kLimits = MakeBucketLimits();
  return kLimits;
}

std::optional<RunTimeSamples> RunTimeSamples::FromCounts(const Counts& counts) {
  RunTimeSamples samples;
  samples.counts = counts;
  for (const std::uint16_t count : counts) {
    samples.total += count;
  }
  if (samples.total >= 2 * kHalvingInterval) {
    return std::nullopt;
  }
  return samples;
}

void RunTimeSamples::Add(std::int64_t run_ms) {
  const auto& limits = BucketLimits();
  const auto bucket = std::lower_bound(limits.begin(), limits.end(), run_ms);
  const auto index = std::min<std::size_t>(
      static_cast<std::size_t>(bucket - limits.begin()), kBuckets - 1);
  ++this->counts[index];
  ++this->total;
  if (this->total < 2 * kHalvingInterval) {
    return;
  }
  this->total = 0;
  for (std::uint16_t& count : this->counts) {
    count /= 2;
    this->total += count;
  }
}

std::int64_t RunTimeSamples::Quantile(std::uint32_t percent) const {
  assert(this->total > 0);
  const std::uint32_t wanted = std::max<std::uint32_t>(
      1, (this->total * percent + kPercent - 1) / kPercent);
  std::uint32_t seen = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    seen += this->counts[i];
    if (seen >= wanted) {
      return BucketLimits()[i];
    }
  }
  return BucketLimits().back();
}

double RunTimeSamples::InterpolatedQuantile(std::uint32_t percent) const {
  assert(this->total > 0);
  const double wanted = static_cast<double>(this->total) * percent / kPercent;
  double seen = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    const double count = this->counts[i];
    if (count > 0 && seen + count >= wanted) {
      const auto upper = static_cast<double>(BucketLimits()[i]);
      const double lower =
          i == 0 ? 0.0 : static_cast<double>(BucketLimits()[i - 1]);
      return lower + (upper - lower) * (wanted - seen) / count;
    }
    seen += count;
  }
  return static_cast<double>(BucketLimits().back());
}

}  // namespace carobrill
