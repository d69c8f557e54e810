#ifndef PACKAGES_SCHEDULING_CELL_INDEX_H_
#define PACKAGES_SCHEDULING_CELL_INDEX_H_

#include <array>
#include <bit>
#include <cstdint>
#include <optional>
#include <vector>

#include "packages/scheduling/policy.h"

namespace carobrill::scheduling {

using WorkerIndex = std::uint32_t;
using RackIndex = std::uint32_t;
using DomainIndex = std::uint32_t;

/// Bit mask of accelerators of one worker.
using Mask = std::uint32_t;

/// Number of buddy levels. A cell of level l has 2^l accelerators.
inline constexpr std::uint32_t kLevels = std::bit_width(kMaxAccelerators);

/// Mask of the accelerators `first` to `first + count - 1`.
constexpr Mask MaskOf(std::uint32_t first, std::uint32_t count) {
  return ((Mask{1} << count) - 1) << first;
}

/// Buddy level of a cell of `accelerators`, which must be a power of two.
constexpr std::uint32_t LevelOf(std::uint32_t accelerators) {
  return static_cast<std::uint32_t>(std::countr_zero(accelerators));
}

/// Cell counts by buddy level.
using CellCounts = std::array<std::uint32_t, kLevels>;

/// Counts the maximal aligned cells that `mask` consists of.
CellCounts MaximalCells(Mask mask);

/// Mask of the first accelerator of each aligned cell of `count` within `mask`.
Mask AlignedCells(Mask mask, std::uint32_t count);

/// First accelerator of an aligned cell of `count` within `mask`, taken from
/// the smallest maximal cell that contains one; nullopt if there is none.
std::optional<std::uint32_t> BestFit(Mask mask, std::uint32_t count);

/// Counts and bitmaps of the maximal cells of all workers, by level. Each
/// update touches only one worker's entries.
class CellIndex {
 public:
  /// Adds a worker with an empty mask.
  void AddWorker();
  /// Sets the rack and failure domain of a worker. Its mask must be empty.
  void SetLocation(WorkerIndex worker, RackIndex rack, DomainIndex domain);
  void Set(WorkerIndex worker, Mask mask);

  std::uint32_t RackCount() const {
    return static_cast<std::uint32_t>(this->rack_counts.size());
  }
  std::uint32_t DomainCount() const {
    return static_cast<std::uint32_t>(this->domain_counts.size());
  }
  Mask Get(WorkerIndex worker) const { return this->masks[worker]; }
  const CellCounts& Total() const { return this->total; }
  const CellCounts& InRack(RackIndex rack) const {
    return this->rack_counts[rack];
  }
  const CellCounts& InDomain(DomainIndex domain) const {
    return this->domain_counts[domain];
  }

  /// Calls `visit(worker)` for each worker with a maximal cell of `level`, in
  /// index order, until a call returns true. Returns true if a call did.
  template <typename Visit>
  bool ForEachWorkerWithCell(std::uint32_t level, Visit&& visit) const {
    const auto& words = this->bitmaps[level];
    for (std::size_t word = 0; word < words.size(); ++word) {
      for (std::uint64_t bits = words[word]; bits != 0; bits &= bits - 1) {
        const auto bit = static_cast<std::size_t>(std::countr_zero(bits));
        if (visit(static_cast<WorkerIndex>(word * 64 + bit))) {
          return true;
        }
      }
    }
    return false;
  }

 private:
  void Add(WorkerIndex worker, const CellCounts& cells, std::uint32_t sign);

  std::vector<Mask> masks;
  std::vector<RackIndex> racks;
  std::vector<DomainIndex> domains;
  CellCounts total{};
  std::vector<CellCounts> rack_counts;
  std::vector<CellCounts> domain_counts;
  std::array<std::vector<std::uint64_t>, kLevels> bitmaps;
};

/// Number of cells of `count` accelerators that `cells` can be split into.
std::uint32_t SplitCount(const CellCounts& cells, std::uint32_t count);

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_CELL_INDEX_H_
