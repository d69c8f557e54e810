#ifndef PACKAGES_WORKLOAD_FAILED_PLACEMENTS_H_
#define PACKAGES_WORKLOAD_FAILED_PLACEMENTS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "packages/workload/placement.h"

namespace carobrill::workload {

/// Demands for which no workers were found in the current planning pass. Free
/// capacity only shrinks during a pass, so an equal or larger demand then does
/// not fit either; under overload this saves most searches.
class FailedPlacements {
 public:
  /// True when the unit certainly fits nowhere under the constraints.
  bool Contains(const PlacementUnit& unit,
                const PlacementConstraints& constraints) const;

  /// Records that the unit fits nowhere under the constraints.
  void Add(const PlacementUnit& unit, const PlacementConstraints& constraints);

  /// Must be called when `future_free` of a worker has grown.
  void ForgetFutureFree();

 private:
  struct Failure {
    PlacementConstraints constraints;
    Resources demand;
    std::size_t tasks = 0;
    ServiceId service;
    std::string worker_label;
    /// Empty when the constraints allow any rack, or the step prefers none.
    std::string data_rack;
    bool one_rack = false;

    /// True when a placement that failed like this one rules out `other`.
    bool RulesOut(const Failure& other) const;
  };

  static bool Covers(const PlacementUnit& unit);
  static Failure Describe(const PlacementUnit& unit,
                          const PlacementConstraints& constraints);

  std::vector<Failure> failures;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_FAILED_PLACEMENTS_H_
