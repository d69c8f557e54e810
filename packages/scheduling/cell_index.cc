#include "packages/scheduling/cell_index.h"

namespace carobrill::scheduling {

Mask AlignedCells(Mask mask, std::uint32_t count) {
  Mask firsts = 0;
  for (std::uint32_t at = 0; at + count <= kMaxAccelerators; at += count) {
    const Mask cell = MaskOf(at, count);
    if ((mask & cell) == cell) {
      firsts |= Mask{1} << at;
    }
  }
  return firsts;
}

CellCounts MaximalCells(Mask mask) {
  CellCounts counts{};
  for (std::uint32_t level = kLevels; level-- > 0 && mask != 0;) {
    const std::uint32_t size = 1U << level;
    for (Mask firsts = AlignedCells(mask, size); firsts != 0;
         firsts &= firsts - 1) {
      const auto first = static_cast<std::uint32_t>(std::countr_zero(firsts));
      mask &= ~MaskOf(first, size);
      ++counts[level];
    }
  }
  return counts;
}

std::optional<std::uint32_t> BestFit(Mask mask, std::uint32_t count) {
  for (std::uint32_t size = count; size <= kMaxAccelerators; size *= 2) {
    for (Mask firsts = AlignedCells(mask, size); firsts != 0;
         firsts &= firsts - 1) {
      const auto first = static_cast<std::uint32_t>(std::countr_zero(firsts));
      const std::uint32_t parent = first / (2 * size) * (2 * size);
      const bool maximal =
          2 * size > kMaxAccelerators ||
          (AlignedCells(mask, 2 * size) & (Mask{1} << parent)) == 0;
      if (maximal) {
        return first;
      }
    }
  }
  return std::nullopt;
}

std::uint32_t SplitCount(const CellCounts& cells, std::uint32_t count) {
  std::uint32_t result = 0;
  for (std::uint32_t level = LevelOf(count); level < kLevels; ++level) {
    result += cells[level] << (level - LevelOf(count));
  }
  return result;
}

void CellIndex::AddWorker() {
  const std::size_t worker = this->masks.size();
  this->masks.push_back(0);
  this->racks.push_back(0);
  this->domains.push_back(0);
  for (auto& words : this->bitmaps) {
    words.resize(worker / 64 + 1, 0);
  }
}

void CellIndex::SetLocation(WorkerIndex worker,
                            RackIndex rack,
                            DomainIndex domain) {
  this->racks[worker] = rack;
  this->domains[worker] = domain;
  if (this->rack_counts.size() <= rack) {
    this->rack_counts.resize(rack + 1);
  }
  if (this->domain_counts.size() <= domain) {
    this->domain_counts.resize(domain + 1);
  }
}

void CellIndex::Add(WorkerIndex worker,
                    const CellCounts& cells,
                    std::uint32_t sign) {
  for (std::uint32_t level = 0; level < kLevels; ++level) {
    // Unsigned arithmetic wraps around, so the sign -1 (~0U) subtracts.
    const std::uint32_t change = cells[level] * sign;
    this->total[level] += change;
    this->rack_counts[this->racks[worker]][level] += change;
    this->domain_counts[this->domains[worker]][level] += change;
  }
}

void CellIndex::Set(WorkerIndex worker, Mask mask) {
  if (this->masks[worker] == mask) {
    return;
  }
  this->Add(worker, MaximalCells(this->masks[worker]), ~0U);
  this->masks[worker] = mask;
  const CellCounts cells = MaximalCells(mask);
  this->Add(worker, cells, 1);
  const std::uint64_t bit = std::uint64_t{1} << (worker % 64);
  for (std::uint32_t level = 0; level < kLevels; ++level) {
    auto& word = this->bitmaps[level][worker / 64];
    word = cells[level] > 0 ? word | bit : word & ~bit;
  }
}

}  // namespace carobrill::scheduling
