#ifndef PACKAGES_SCHEDULING_RESERVATION_H_
#define PACKAGES_SCHEDULING_RESERVATION_H_

#include <optional>

#include "packages/scheduling/cell_allocator.h"
#include "packages/scheduling/cluster.h"
#include "packages/scheduling/placement.h"

namespace carobrill::scheduling {

/// Cells kept for a gang that does not fit yet, and the estimated time at which
/// all of them are free.
struct Reservation {
  ReservedMasks masks;
  Instant free_at;
};

/// Estimated end of a holder at `now`. A gang that is overdue is expected to
/// run for as long again as it is late, because stragglers run far longer than
/// the rest.
Instant ExpectedEnd(const Allocation& allocation, Instant now);

/// Chooses the cells that become free first for `demand`, in one place where it
/// asks for adjacency. Nothing when the ready workers could not hold it.
std::optional<Reservation> Reserve(const CellAllocator& allocator,
                                   const Demand& demand,
                                   Instant now);

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_RESERVATION_H_
