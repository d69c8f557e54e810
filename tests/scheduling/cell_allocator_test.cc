#include "packages/scheduling/cell_allocator.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>

namespace carobrill::scheduling {
namespace {

/// Free accelerators of each worker, by rack.
struct FreeHardware {
  std::vector<std::vector<Mask>> racks;
};

/// Exhaustively tries to allocate `needs` on `hardware`.
bool FitsExhaustively(LevelCounts needs,
                      FreeHardware& hardware,
                      std::uint32_t top) {
  const std::uint32_t full = 1U << top;
  if (needs[kLevels] > 0) {
    --needs[kLevels];
    for (auto& rack : hardware.racks) {
      const bool whole = rack.size() >= 2 &&
                         std::all_of(rack.begin(), rack.end(), [&](Mask m) {
                           return m == MaskOf(0, full);
                         });
      if (whole) {
        const auto before = rack;
        std::fill(rack.begin(), rack.end(), 0);
        if (FitsExhaustively(needs, hardware, top)) {
          return true;
        }
        rack = before;
      }
    }
    return false;
  }
  for (std::uint32_t level = kLevels; level-- > 0;) {
    if (needs[level] == 0) {
      continue;
    }
    --needs[level];
    for (auto& rack : hardware.racks) {
      for (Mask& mask : rack) {
        for (Mask cells = AlignedCells(mask, 1U << level); cells != 0;
             cells &= cells - 1) {
          const Mask cell = MaskOf(
              static_cast<std::uint32_t>(std::countr_zero(cells)), 1U << level);
          mask &= ~cell;
          if (FitsExhaustively(needs, hardware, top)) {
            return true;
          }
          mask |= cell;
        }
      }
    }
    return false;
  }
  return true;
}

TEST_CASE("holds.reclaim: the top-down count agrees with exhaustive search") {
  // Guards against a wrong count: one that is too high breaks a guarantee, and
  // one that is too low rejects placements that fit.
  int infeasible = 0;
  const bool holds = rc::check("count is exact", [&] {
    constexpr std::uint32_t kTop = 2;
    FreeHardware hardware;
    std::map<std::uint32_t, std::uint32_t> whole;
    CellCounts cells{};
    for (int i = 0; i < 2; ++i) {
      std::vector<Mask> rack(static_cast<std::size_t>(*rc::gen::inRange(1, 4)));
      bool is_whole = rack.size() >= 2;
      for (Mask& mask : rack) {
        mask = *rc::gen::element<Mask>(15, 15, 15, 3, 14, 6, 0);
        is_whole = is_whole && mask == 15;
      }
      if (is_whole) {
        ++whole[static_cast<std::uint32_t>(rack.size())];
      }
      for (const Mask mask : rack) {
        const CellCounts maximal = MaximalCells(mask);
        for (std::uint32_t level = 0; level < kLevels && !is_whole; ++level) {
          cells[level] += maximal[level];
        }
      }
      hardware.racks.push_back(rack);
    }
    LevelCounts needs{};
    for (std::uint32_t level = 0; level <= kTop; ++level) {
      needs[level] = *rc::gen::inRange<std::uint32_t>(0, 3);
    }
    needs[kLevels] = *rc::gen::inRange<std::uint32_t>(0, 2);
    const LevelCounts unmet = CountUnmet(needs, cells, whole, kTop);
    const bool fits = FitsExhaustively(needs, hardware, kTop);
    infeasible += fits ? 0 : 1;
    RC_ASSERT((unmet == LevelCounts{}) == fits);
  });
  CHECK(holds);
  CHECK(infeasible > 10);
}

TEST_CASE("a listed victim that is not evictable keeps its cell") {
  CellAllocator allocator;
  const WorkerIndex worker = allocator.AddWorker({4, 0, 0, 0, 0, true, false});
  const AccountIndex account = allocator.AddAccount();
  Allocation allocation;
  allocation.account = account;
  allocation.borrowed = true;
  const JobHandle first = allocator.AddAllocation(allocation);
  const JobHandle second = allocator.AddAllocation(allocation);
  const Cell cells[] = {{worker, 0, 4}};
  const JobHandle victims[] = {first};
  CHECK(allocator.Place(first, cells, {}) == records::Verdict::kAccepted);
  CHECK(allocator.Place(second, cells, victims) ==
        records::Verdict::kCellTaken);
  allocator.SetStopping(first, cells);
  CHECK(allocator.Place(second, cells, victims) == records::Verdict::kAccepted);
}

TEST_CASE(
    "a cell includes a proportional part of the worker's cores and memory") {
  const AllocatorWorker worker{8, 32'000, 64'000, 0, 0};
  CHECK(CellFor(worker, {1, 4'000, 8'000}) == 1);
  CHECK(CellFor(worker, {1, 4'001, 8'000}) == 2);
  CHECK(CellFor(worker, {3, 0, 0}) == 4);
  CHECK(CellFor(worker, {0, 0, 0}) == 1);
  CHECK(CellFor(worker, {1, 0, 64'001}) == 0);
}

TEST_CASE("best fit takes the smallest maximal cell") {
  CHECK(BestFit(0b11110010, 1) == 1);
  CHECK(BestFit(0b11110011, 2) == 0);
  CHECK(BestFit(0b11110100, 4) == 4);
  CHECK_FALSE(BestFit(0b01100110, 2).has_value());
}

}  // namespace
}  // namespace carobrill::scheduling
