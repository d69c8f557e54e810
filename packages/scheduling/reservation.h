#ifndef PACKAGES_SCHEDULING_RESERVATION_H_
#define PACKAGES_SCHEDULING_RESERVATION_H_

#include <optional>

#include "packages/scheduling/cell_allocator.h"
#include "packages/scheduling/cluster.h"
#include "packages/scheduling/placement.h"

namespace carobrill::scheduling {

/// Cells reserved for a gang that does not fit yet, and the estimated time at
/// which all of them are free.
struct Reservation {
  ReservedMasks masks;
  Instant free_at;
};

/// Estimated end of `allocation` at `now`. An overdue gang is expected to run
/// for as long again as it is overdue, because stragglers run far longer than
/// other jobs.
Instant ExpectedEnd(const Allocation& allocation, Instant now);

/// Reserves the cells for `demand` that become free first, within one worker,
/// rack or failure domain if it asks for adjacency. Returns nullopt if the
/// ready workers cannot hold the gang.
std::optional<Reservation> Reserve(const CellAllocator& allocator,
                                   const Demand& demand,
                                   Instant now);

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_RESERVATION_H_
