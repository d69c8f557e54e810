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

/// What a metric is, as Prometheus names it.
enum class MetricKind { kCounter, kGauge, kHistogram };

constexpr auto NamesOf(MetricKind) {
  return MakeNameTable<MetricKind>({{MetricKind::kCounter, "counter"},
                                    {MetricKind::kGauge, "gauge"},
                                    {MetricKind::kHistogram, "histogram"}});
}

/// Names and values that tell metrics of one name apart.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// A count that only grows. Safe from any thread, without a lock.
class Counter {
 public:
  /// Adds `amount`.
  void Increment(std::uint64_t amount = 1) {
    this->value.fetch_add(amount, std::memory_order_relaxed);
  }

  /// The count so far.
  std::uint64_t Value() const {
    return this->value.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint64_t> value = 0;
};

/// A value that goes up and down. Safe from any thread, without a lock.
class Gauge {
 public:
  /// Replaces the value.
  void Set(double now) { this->value.store(now, std::memory_order_relaxed); }

  /// Adds `amount`, which may be negative.
  void Add(double amount) {
    this->value.fetch_add(amount, std::memory_order_relaxed);
  }

  /// The value now.
  double Value() const { return this->value.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value = 0;
};

/// A distribution over fixed buckets. Safe from any thread, without a lock.
class Histogram {
 public:
  /// `bounds` are the upper bounds of the buckets, in rising order.
  explicit Histogram(std::vector<double> bounds);
  ~Histogram();

  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  /// Counts one value in the unit of the metric.
  void Observe(double value);

  /// Upper bounds of the buckets, without the infinite one.
  const std::vector<double>& Bounds() const { return this->bounds; }

  /// Counts per bucket; the last one has no upper bound.
  std::vector<std::uint64_t> Counts() const;

  /// Sum of all values.
  double Sum() const { return this->sum.load(std::memory_order_relaxed); }

 private:
  struct Storage;

  std::vector<double> bounds;
  std::unique_ptr<Storage> storage;
  std::atomic<double> sum = 0;
};

/// Bucket bounds for latencies in seconds, from 1 ms to 60 s.
std::vector<double> LatencyBounds();

/// True when `name` follows the rules: it starts with "carobrill_", consists of
/// [a-z0-9_], and ends in "_total" exactly when it is a counter; a histogram
/// ends in its unit, "_seconds", "_bytes" or "_ratio".
bool IsValidMetricName(MetricKind kind, std::string_view name);

/// All metrics of a process. Registration takes a lock; use of a metric does
/// not, so callers keep the reference, which lives as long as the registry.
class MetricsRegistry {
 public:
  MetricsRegistry();
  ~MetricsRegistry();

  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  /// Returns the counter of that name and labels, made on first use. Asserts
  /// that the name is valid and that no metric of another kind has it.
  Counter& GetCounter(std::string_view name,
                      std::string_view help,
                      const MetricLabels& labels = {});

  /// Returns the gauge of that name and labels, made on first use.
  Gauge& GetGauge(std::string_view name,
                  std::string_view help,
                  const MetricLabels& labels = {});

  /// Returns the histogram of that name and labels, made on first use with
  /// `bounds`.
  Histogram& GetHistogram(std::string_view name,
                          std::string_view help,
                          const std::vector<double>& bounds,
                          const MetricLabels& labels = {});

  /// All metrics in the Prometheus text format, version 0.0.4.
  std::string Render() const;

  /// Names of all registered metrics, in order.
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
