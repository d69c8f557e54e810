#ifndef PACKAGES_REQUESTS_RUN_TIME_MODEL_H_
#define PACKAGES_REQUESTS_RUN_TIME_MODEL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "packages/core/ids.h"

namespace carobrill::requests {

/// Histogram of the run times of one kind of request. Bucket limits grow by a
/// quarter. Counts are halved with every 256 new samples.
class RunTimeSamples {
 public:
  void Add(std::int64_t run_ms);

  std::uint32_t Count() const { return this->total; }

  /// The run time that `percent` of the samples do not exceed, rounded up to
  /// the limit of its bucket. Requires at least one sample.
  std::int64_t Quantile(std::uint32_t percent) const;

 private:
  static constexpr std::size_t kBuckets = 72;

  static constexpr std::array<std::int64_t, kBuckets> MakeBucketLimits();
  static const std::array<std::int64_t, kBuckets>& BucketLimits();

  std::array<std::uint16_t, kBuckets> counts{};
  std::uint32_t total = 0;
};

/// Learned run times per service and kind of request. Declared run times are
/// used only until there are samples.
class RunTimeModel {
 public:
  /// Records that a request of this kind took `run_ms`, or at least that long.
  void Observe(const ServiceId& service,
               const std::string& kind,
               std::int64_t run_ms);

  /// Quantile of the kind's run times, if there are at least `min_samples`.
  std::optional<std::int64_t> Quantile(const ServiceId& service,
                                       const std::string& kind,
                                       std::uint32_t percent,
                                       std::uint32_t min_samples) const;

  /// Expected run time: the median once there are enough samples of the kind,
  /// else `declared_ms` (0 if unknown).
  std::int64_t Predict(const ServiceId& service,
                       const std::string& kind,
                       std::int64_t declared_ms) const;

  std::size_t Size() const { return this->kinds.size(); }

 private:
  using KindKey = std::pair<ServiceId, std::string>;
  struct Entry {
    RunTimeSamples samples;
    std::uint64_t last_used = 0;
  };

  void RemoveLeastRecentlyUsed();

  std::map<KindKey, Entry> kinds;
  std::uint64_t use_count = 0;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_RUN_TIME_MODEL_H_
