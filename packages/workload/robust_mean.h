#ifndef PACKAGES_WORKLOAD_ROBUST_MEAN_H_
#define PACKAGES_WORKLOAD_ROBUST_MEAN_H_

#include <span>

namespace carobrill::workload {

struct WeightedValue {
  double value = 0;
  double weight = 0;
};

/// Returns the weighted mean of the logarithms that are within a factor of two
/// of their weighted median. Sorts `values`. Requires at least one value;
/// weights must be positive.
double RobustMean(std::span<WeightedValue> values);

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_ROBUST_MEAN_H_
