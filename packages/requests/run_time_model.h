#ifndef PACKAGES_REQUESTS_RUN_TIME_MODEL_H_
#define PACKAGES_REQUESTS_RUN_TIME_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "packages/core/ids.h"
#include "packages/core/run_time_samples.h"

namespace carobrill::requests {

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
