#include "packages/workload/failed_placements.h"

#include <algorithm>

namespace carobrill::workload {

// A unit that is restricted to fewer workers than other units with the same
// demand may fail where they do not.
bool FailedPlacements::Covers(const PlacementUnit& unit) {
  return !unit.allowed_workers.has_value() && unit.Spec().max_per_worker == 0 &&
         unit.worker_crashes == 0 && !unit.paced;
}

FailedPlacements::Failure FailedPlacements::Describe(
    const PlacementUnit& unit,
    const PlacementConstraints& constraints) {
  const StepSpec& spec = unit.Spec();
  Failure failure{constraints,
                  spec.PlacementDemand(),
                  unit.tasks.size(),
                  unit.submission->service,
                  spec.worker_label,
                  {},
                  false};
  if (!constraints.allow_any_rack) {
    failure.data_rack = spec.data_rack;
    failure.one_rack = spec.one_rack;
  }
  return failure;
}

bool FailedPlacements::Failure::RulesOut(const Failure& other) const {
  return this->constraints == other.constraints &&
         this->demand.FitsIn(other.demand) && this->tasks <= other.tasks &&
         this->one_rack == other.one_rack && this->service == other.service &&
         this->worker_label == other.worker_label &&
         this->data_rack == other.data_rack;
}

bool FailedPlacements::Contains(const PlacementUnit& unit,
                                const PlacementConstraints& constraints) const {
  if (this->failures.empty()) {
    return false;
  }
  const Failure wanted = Describe(unit, constraints);
  return std::ranges::any_of(this->failures, [&](const Failure& failure) {
    return failure.RulesOut(wanted);
  });
}

void FailedPlacements::Add(const PlacementUnit& unit,
                           const PlacementConstraints& constraints) {
  if (Covers(unit)) {
    this->failures.push_back(Describe(unit, constraints));
  }
}

void FailedPlacements::ForgetFutureFree() {
  std::erase_if(this->failures, [](const Failure& failure) {
    return failure.constraints.capacity == CapacityKind::kFutureFree;
  });
}

}  // namespace carobrill::workload
