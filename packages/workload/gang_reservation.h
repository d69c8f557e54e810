#ifndef PACKAGES_WORKLOAD_GANG_RESERVATION_H_
#define PACKAGES_WORKLOAD_GANG_RESERVATION_H_

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "packages/workload/placement.h"

namespace carobrill::workload {

/// Workers to keep free of lower-ranked work, as indexes into the CapacityMap,
/// and the resources to reserve on each.
using GangReservation = std::vector<std::pair<std::size_t, Resources>>;

/// Selects workers on which a waiting gang fits once their present tasks have
/// ended: those that are used least, so that they are free soon and stay
/// selected in later passes. Answers loads in which tasks that are placed one
/// by one would take each worker as soon as a part of it is free, and a gang
/// would never find all its workers free at once. Returns nothing when the gang
/// would not fit.
std::optional<GangReservation> ReserveForGang(
    const PlacementUnit& unit,
    CapacityMap& map,
    const PlacementConstraints& constraints);

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_GANG_RESERVATION_H_
