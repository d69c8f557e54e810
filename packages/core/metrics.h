#ifndef PACKAGES_CORE_METRICS_H_
#define PACKAGES_CORE_METRICS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "packages/core/name_table.h"

namespace carobrill {

/// Kind of a metric, in the terms of Prometheus.
enum class MetricKind { kCounter, kGauge, kHistogram };

constexpr auto NamesOf(MetricKind) {
  return MakeNameTable<MetricKind>({{MetricKind::kCounter, "counter"},
                                    {MetricKind::kGauge, "gauge"},
                                    {MetricKind::kHistogram, "histogram"}});
}

/// Label names and values, which distinguish metrics of the same name.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// A count that never decreases. Thread-safe without a lock.
class Counter {
 public:
  void Increment(std::uint64_t amount = 1) {
    this->value.fetch_add(amount, std::memory_order_relaxed);
  }

  /// Returns the current count.
  std::uint64_t Value() const {
    return this->value.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint64_t> value = 0;
};

/// A value that can go up and down. Thread-safe without a lock.
class Gauge {
 public:
  void Set(double now) { this->value.store(now, std::memory_order_relaxed); }

  /// Adds `amount`, which may be negative.
  void Add(double amount) {
    this->value.fetch_add(amount, std::memory_order_relaxed);
  }

  double Value() const { return this->value.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value = 0;
};

/// A distribution over fixed buckets. Thread-safe without a lock.
class Histogram {
 public:
  /// `bounds` are the upper bounds of the buckets, in ascending order.
  explicit Histogram(std::vector<double> bounds);
  ~Histogram();

  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  /// Records one value, in the unit of the metric.
  void Observe(double value);

  /// Returns the upper bounds of the buckets, without the infinite one.
  const std::vector<double>& Bounds() const { return this->bounds; }

  /// Returns the count of each bucket, not cumulative. The last bucket has no
  /// upper bound.
  std::vector<std::uint64_t> Counts() const;

  /// Returns the sum of all recorded values.
  double Sum() const { return this->sum.load(std::memory_order_relaxed); }

 private:
  struct Storage;

  std::vector<double> bounds;
  std::unique_ptr<Storage> storage;
  std::atomic<double> sum = 0;
};

/// Bucket bounds for latencies in seconds, from 1 ms to 60 s.
std::vector<double> LatencyBounds();

/// True when `name` is valid for a metric of `kind`: it starts with
/// "carobrill_", consists of [a-z0-9_], and ends in "_total" exactly when it is
/// a counter; a histogram ends in its unit, "_seconds", "_bytes" or "_ratio".
bool IsValidMetricName(MetricKind kind, std::string_view name);

/// All metrics of a process. Looking up a metric takes a lock and updating it
/// does not, so callers should keep the reference, which is valid as long as
/// the registry exists.
class MetricsRegistry {
 public:
  MetricsRegistry();
  ~MetricsRegistry();

  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  /// Returns the counter with this name and labels, and creates it on first
  /// use. Asserts that the name is valid and not used by a metric of another
  /// kind.
  Counter& GetCounter(std::string_view name,
                      std::string_view help,
                      const MetricLabels& labels = {});

  /// Returns the gauge with this name and labels, and creates it on first use.
  Gauge& GetGauge(std::string_view name,
                  std::string_view help,
                  const MetricLabels& labels = {});

  /// Returns the histogram with this name and labels, and creates it with
  /// `bounds` on first use.
  Histogram& GetHistogram(std::string_view name,
                          std::string_view help,
                          const std::vector<double>& bounds,
                          const MetricLabels& labels = {});

  /// Returns all metrics in the Prometheus text format, version 0.0.4.
  std::string Render() const;

  /// Returns the names of all registered metrics in alphabetical order.
  std::vector<std::string> Names() const;

 private:
  struct Family;

  Family& FamilyOf(MetricKind kind,
                   std::string_view name,
                   std::string_view help);

  mutable std::mutex mutex;
  std::map<std::string, std::unique_ptr<Family>, std::less<>> families;
};

}  // namespace carobrill

#endif  // PACKAGES_CORE_METRICS_H_
