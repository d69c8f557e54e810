#include "packages/workload/gang_reservation.h"

#include <algorithm>
#include <limits>

namespace carobrill::workload {
namespace {

struct Site {
  std::size_t worker = 0;
  std::uint64_t slots = 0;
  /// Share of the worker that is in use or reserved.
  double used_share = 0;
};

/// Sites of one set of workers with enough slots for the unit.
struct Choice {
  std::vector<Site> sites;
  /// Share of the busiest site.
  double used_share = std::numeric_limits<double>::infinity();
};

std::optional<Choice> ChooseSites(const PlacementUnit& unit,
                                  const CapacityMap& map,
                                  const std::vector<std::size_t>& workers) {
  const Resources demand = unit.Spec().PlacementDemand();
  std::vector<Site> sites;
  for (const std::size_t worker : workers) {
    const WorkerCapacity& entry = map.Entries()[worker];
    const Resources& capacity = entry.worker->description.capacity;
    const auto most = std::min<std::uint64_t>(RemainingSpreadLimit(unit, entry),
                                              unit.tasks.size());
    Resources used = capacity;
    used -= entry.future_free;
    sites.push_back({worker, demand.CountFitting(capacity, most),
                     DominantShare(used, capacity)});
  }
  std::ranges::stable_sort(sites, {}, &Site::used_share);
  Choice choice;
  std::uint64_t slots = 0;
  for (const Site& site : sites) {
    if (slots >= unit.tasks.size()) {
      break;
    }
    if (site.slots > 0) {
      choice.sites.push_back(site);
      choice.used_share = site.used_share;
      slots += site.slots;
    }
  }
  if (slots < unit.tasks.size()) {
    return std::nullopt;
  }
  return choice;
}

}  // namespace

std::optional<GangReservation> ReserveForGang(
    const PlacementUnit& unit,
    CapacityMap& map,
    const PlacementConstraints& constraints) {
  std::optional<Choice> best;
  for (const auto& workers : CandidateSets(unit, map, constraints)) {
    auto choice = ChooseSites(unit, map, workers);
    if (choice.has_value() &&
        (!best.has_value() || choice->used_share < best->used_share)) {
      best = std::move(choice);
    }
  }
  if (!best.has_value()) {
    return std::nullopt;
  }
  GangReservation reservation;
  for (const Site& site : best->sites) {
    reservation.emplace_back(site.worker,
                             unit.Spec().PlacementDemand().Times(
                                 static_cast<std::int64_t>(site.slots)));
  }
  return reservation;
}

}  // namespace carobrill::workload
