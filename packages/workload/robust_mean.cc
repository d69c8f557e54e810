#include "packages/workload/robust_mean.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstddef>

namespace carobrill::workload {
namespace {

/// Log of a factor of two. Includes the ordinary differences in speed between
/// workers, and excludes tasks with several times the usual work.
constexpr double kWindow = 0.7;

/// The weighted median, interpolated between neighbouring values: for two
/// values their weighted mean.
double WeightedMedian(std::span<WeightedValue> values) {
  std::sort(values.begin(), values.end(),
            [](const WeightedValue& a, const WeightedValue& b) {
              return a.value < b.value;
            });
  double total = 0;
  for (const WeightedValue& entry : values) {
    total += entry.weight;
  }
  // Each value lies at the middle of its weight.
  double position = values[0].weight / 2;
  for (std::size_t i = 1; i < values.size(); ++i) {
    const double gap = (values[i - 1].weight + values[i].weight) / 2;
    const double wanted = total / 2 - position;
    if (wanted <= gap) {
      const double share = std::max(0.0, wanted / gap);
      return values[i - 1].value +
             share * (values[i].value - values[i - 1].value);
    }
    position += gap;
  }
  return values.back().value;
}

}  // namespace

double RobustMean(std::span<WeightedValue> values) {
  assert(!values.empty());
  const double median = WeightedMedian(values);
  double weight = 0;
  double sum = 0;
  for (const WeightedValue& entry : values) {
    if (std::abs(entry.value - median) <= kWindow) {
      weight += entry.weight;
      sum += entry.value * entry.weight;
    }
  }
  // An interpolated median may be far from all values.
  return weight > 0 ? sum / weight : median;
}

}  // namespace carobrill::workload
