#include "packages/core/metrics.h"

#include <algorithm>
#include <array>
#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cassert>
#include <charconv>
#include <cmath>
#include <limits>

namespace carobrill {
namespace {

namespace bh = boost::histogram;

// Histogram storage with atomic cells: several threads may fill it without a
// lock, which Boost.Histogram permits because the axis has a fixed size.
using AtomicCount = bh::accumulators::count<std::uint64_t, true>;
// Prometheus buckets include their upper bound, but bins of Boost.Histogram
// include their lower bound. Negating both bounds and values swaps the two.
using Axis = bh::axis::variable<double, boost::use_default>;
using Distribution =
    bh::histogram<std::tuple<Axis>, bh::dense_storage<AtomicCount>>;

constexpr std::string_view kPrefix = "carobrill_";
constexpr std::string_view kCounterSuffix = "_total";
constexpr std::array<std::string_view, 3> kHistogramSuffixes = {
    "_seconds", "_bytes", "_ratio"};

Axis NegatedAxis(const std::vector<double>& bounds) {
  std::vector<double> edges;
  for (auto bound = bounds.rbegin(); bound != bounds.rend(); ++bound) {
    edges.push_back(-*bound);
  }
  // The axis needs at least two edges, even for a histogram with one bound.
  edges.push_back(std::numeric_limits<double>::infinity());
  return Axis(edges);
}

std::string NumberText(double value) {
  if (std::isnan(value)) {
    return "NaN";
  }
  if (std::isinf(value)) {
    return value > 0 ? "+Inf" : "-Inf";
  }
  std::array<char, 32> buffer{};
  const auto result =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  return {buffer.data(), result.ptr};
}

std::string Escaped(std::string_view text, bool quote) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\\') {
      escaped += "\\\\";
    } else if (c == '\n') {
      escaped += "\\n";
    } else if (c == '"' && quote) {
      escaped += "\\\"";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string LabelText(const MetricLabels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    text += text.empty() ? "" : ",";
    text += name + "=\"" + Escaped(value, true) + "\"";
  }
  return text;
}

std::string SampleLine(const std::string& name,
                       const std::string& labels,
                       const std::string& value) {
  const std::string braces = labels.empty() ? "" : "{" + labels + "}";
  return name + braces + " " + value + "\n";
}

std::string WithBound(const std::string& labels, const std::string& bound) {
  return labels + (labels.empty() ? "" : ",") + "le=\"" + bound + "\"";
}

std::string HistogramLines(const std::string& name,
                           const std::string& labels,
                           const Histogram& histogram) {
  std::string lines;
  std::uint64_t total = 0;
  const auto counts = histogram.Counts();
  const auto& bounds = histogram.Bounds();
  for (std::size_t i = 0; i < counts.size(); ++i) {
    total += counts[i];
    const std::string bound =
        i < bounds.size() ? NumberText(bounds[i]) : "+Inf";
    lines += SampleLine(name + "_bucket", WithBound(labels, bound),
                        std::to_string(total));
  }
  lines += SampleLine(name + "_sum", labels, NumberText(histogram.Sum()));
  lines += SampleLine(name + "_count", labels, std::to_string(total));
  return lines;
}

}  // namespace

struct Histogram::Storage {
  explicit Storage(const std::vector<double>& bounds)
      : distribution(std::make_tuple(NegatedAxis(bounds)),
                     bh::dense_storage<AtomicCount>()) {}

  Distribution distribution;
};

Histogram::Histogram(std::vector<double> bounds)
    : bounds(std::move(bounds)),
      storage(std::make_unique<Storage>(this->bounds)) {
  assert(!this->bounds.empty());
  assert(std::is_sorted(this->bounds.begin(), this->bounds.end()));
}

Histogram::~Histogram() = default;

void Histogram::Observe(double value) {
  this->storage->distribution(-value);
  this->sum.fetch_add(value, std::memory_order_relaxed);
}

std::vector<std::uint64_t> Histogram::Counts() const {
  std::vector<std::uint64_t> counts;
  const auto& distribution = this->storage->distribution;
  const int bins = distribution.axis().size();
  for (int bin = bins - 1; bin >= -1; --bin) {
    counts.push_back(distribution.at(bin).value());
  }
  // The overflow bin holds NaN values, which must be counted as well.
  counts.front() += distribution.at(bins).value();
  return counts;
}

std::vector<double> LatencyBounds() {
  return {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
          0.5,   1,     2,     5,    10,   20,   30,  60};
}

bool IsValidMetricName(MetricKind kind, std::string_view name) {
  if (!name.starts_with(kPrefix) || name.size() == kPrefix.size()) {
    return false;
  }
  for (const char c : name) {
    const bool allowed =
        (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_';
    if (!allowed) {
      return false;
    }
  }
  if (name.ends_with(kCounterSuffix) != (kind == MetricKind::kCounter)) {
    return false;
  }
  return kind != MetricKind::kHistogram ||
         std::any_of(kHistogramSuffixes.begin(), kHistogramSuffixes.end(),
                     [&](auto suffix) { return name.ends_with(suffix); });
}

struct MetricsRegistry::Family {
  MetricKind kind = MetricKind::kCounter;
  std::string help;
  // The keys are the rendered labels.
  std::map<std::string, std::unique_ptr<Counter>> counters;
  std::map<std::string, std::unique_ptr<Gauge>> gauges;
  std::map<std::string, std::unique_ptr<Histogram>> histograms;
};

MetricsRegistry::MetricsRegistry() = default;
MetricsRegistry::~MetricsRegistry() = default;

Counter& MetricsRegistry::GetCounter(std::string_view name,
                                     std::string_view help,
                                     const MetricLabels& labels) {
  const std::lock_guard lock(this->mutex);
  auto& family = this->FamilyOf(MetricKind::kCounter, name, help);
  auto& counter = family.counters[LabelText(labels)];
  if (counter == nullptr) {
    counter = std::make_unique<Counter>();
  }
  return *counter;
}

Gauge& MetricsRegistry::GetGauge(std::string_view name,
                                 std::string_view help,
                                 const MetricLabels& labels) {
  const std::lock_guard lock(this->mutex);
  auto& family = this->FamilyOf(MetricKind::kGauge, name, help);
  auto& gauge = family.gauges[LabelText(labels)];
  if (gauge == nullptr) {
    gauge = std::make_unique<Gauge>();
  }
  return *gauge;
}

Histogram& MetricsRegistry::GetHistogram(std::string_view name,
                                         std::string_view help,
                                         const std::vector<double>& bounds,
                                         const MetricLabels& labels) {
  const std::lock_guard lock(this->mutex);
  auto& family = this->FamilyOf(MetricKind::kHistogram, name, help);
  auto& histogram = family.histograms[LabelText(labels)];
  if (histogram == nullptr) {
    histogram = std::make_unique<Histogram>(bounds);
  }
  return *histogram;
}

std::string MetricsRegistry::Render() const {
  const std::lock_guard lock(this->mutex);
  std::string text;
  for (const auto& [name, family] : this->families) {
    text += "# HELP " + name + " " + Escaped(family->help, false) + "\n";
    text += "# TYPE " + name + " " + std::string(NameOf(family->kind)) + "\n";
    for (const auto& [labels, counter] : family->counters) {
      text += SampleLine(name, labels, std::to_string(counter->Value()));
    }
    for (const auto& [labels, gauge] : family->gauges) {
      text += SampleLine(name, labels, NumberText(gauge->Value()));
    }
    for (const auto& [labels, histogram] : family->histograms) {
      text += HistogramLines(name, labels, *histogram);
    }
  }
  return text;
}

std::vector<std::string> MetricsRegistry::Names() const {
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> names;
  for (const auto& [name, family] : this->families) {
    names.push_back(name);
  }
  return names;
}

MetricsRegistry::Family& MetricsRegistry::FamilyOf(MetricKind kind,
                                                   std::string_view name,
                                                   std::string_view help) {
  assert(IsValidMetricName(kind, name));
  const auto found = this->families.find(name);
  if (found != this->families.end()) {
    assert(found->second->kind == kind);
    return *found->second;
  }
  auto family = std::make_unique<Family>();
  family->kind = kind;
  family->help = help;
  return *this->families.emplace(std::string(name), std::move(family))
              .first->second;
}

}  // namespace carobrill
