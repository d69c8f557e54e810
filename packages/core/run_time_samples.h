#ifndef PACKAGES_CORE_RUN_TIME_SAMPLES_H_
#define PACKAGES_CORE_RUN_TIME_SAMPLES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace carobrill {

/// Histogram of run times, or of other positive quantities. Bucket limits grow
/// by a quarter. Counts are halved with every 256 new samples.
class RunTimeSamples {
 public:
  static constexpr std::size_t kBuckets = 72;
  using Counts = std::array<std::uint16_t, kBuckets>;

  /// Restores a histogram from its counts; nothing when Add() cannot have
  /// produced them.
  static std::optional<RunTimeSamples> FromCounts(const Counts& counts);

  void Add(std::int64_t run_ms);

  std::uint32_t Count() const { return this->total; }

  const Counts& BucketCounts() const { return this->counts; }

  /// The run time that `percent` of the samples do not exceed, rounded up to
  /// the limit of its bucket. Requires at least one sample.
  std::int64_t Quantile(std::uint32_t percent) const;

  /// The same, interpolated within the bucket instead of rounded up.
  double InterpolatedQuantile(std::uint32_t percent) const;

 private:
  static constexpr std::array<std::int64_t, kBuckets> MakeBucketLimits();
  static const std::array<std::int64_t, kBuckets>& BucketLimits();

  Counts counts{};
  std::uint32_t total = 0;
};

}  // namespace carobrill

#endif  // PACKAGES_CORE_RUN_TIME_SAMPLES_H_
