#ifndef PACKAGES_WORKLOAD_RESOURCES_H_
#define PACKAGES_WORKLOAD_RESOURCES_H_

#include <algorithm>
#include <cstdint>

namespace carobrill::workload {

/// A quantity of compute resources: CPU in thousandths of a core, memory in MB
/// and a count of accelerators.
struct Resources {
  std::int64_t cpu_millis = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;

  /// Cores, with each accelerator counted as several cores, as in the cost of
  /// lost work.
  double WeightedCores() const {
    constexpr double kMillisPerCore = 1'000;
    constexpr double kCoresPerAccelerator = 8;
    return static_cast<double>(this->cpu_millis) / kMillisPerCore +
           kCoresPerAccelerator * static_cast<double>(this->accelerators);
  }

  /// True when no resource exceeds the corresponding one of `capacity`.
  bool FitsIn(const Resources& capacity) const {
    return this->cpu_millis <= capacity.cpu_millis &&
           this->memory_mb <= capacity.memory_mb &&
           this->accelerators <= capacity.accelerators;
  }

  Resources Times(std::int64_t count) const {
    return {count * this->cpu_millis, count * this->memory_mb,
            count * this->accelerators};
  }

  /// Returns how many times this demand fits into `available`, at most `most`.
  std::uint64_t CountFitting(const Resources& available,
                             std::uint64_t most) const {
    if (!this->FitsIn(available)) {
      return 0;
    }
    const auto limit = [&](std::int64_t demanded, std::int64_t left) {
      if (demanded > 0) {
        most = std::min(most, static_cast<std::uint64_t>(left / demanded));
      }
    };
    limit(this->cpu_millis, available.cpu_millis);
    limit(this->memory_mb, available.memory_mb);
    limit(this->accelerators, available.accelerators);
    return most;
  }

  Resources& operator+=(const Resources& other) {
    this->cpu_millis += other.cpu_millis;
    this->memory_mb += other.memory_mb;
    this->accelerators += other.accelerators;
    return *this;
  }

  Resources& operator-=(const Resources& other) {
    this->cpu_millis -= other.cpu_millis;
    this->memory_mb -= other.memory_mb;
    this->accelerators -= other.accelerators;
    return *this;
  }
};

/// Largest fraction of any one resource of `capacity` that `demand` uses, from
/// 0 to 1; above 1 when it does not fit.
inline double DominantShare(const Resources& demand,
                            const Resources& capacity) {
  const auto share = [](std::int64_t demanded, std::int64_t available) {
    return demanded == 0
               ? 0.0
               : static_cast<double>(demanded) /
                     static_cast<double>(std::max<std::int64_t>(available, 1));
  };
  return std::max({share(demand.cpu_millis, capacity.cpu_millis),
                   share(demand.memory_mb, capacity.memory_mb),
                   share(demand.accelerators, capacity.accelerators)});
}

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_RESOURCES_H_
