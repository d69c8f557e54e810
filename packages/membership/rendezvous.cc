#include "packages/membership/rendezvous.h"

#include <algorithm>
#include <utility>

#include "packages/core/hash.h"

namespace carobrill::membership {
namespace {

// FNV-1a hardly changes the high bits for names that differ only in their last
// character; the MurmurHash3 finalizer spreads the difference over all bits.
std::uint64_t Mix(std::uint64_t value) {
  value ^= value >> 33U;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33U;
  value *= 0xc4ceb9fe1a85ec53ULL;
  value ^= value >> 33U;
  return value;
}

}  // namespace

std::uint64_t RendezvousWeight(std::string_view key, std::string_view node) {
  StableHash hash;
  hash.Add(key);
  hash.Add(node);
  return Mix(hash.Value());
}

std::vector<std::string> RendezvousRank(std::string_view key,
                                        std::vector<std::string> nodes) {
  std::vector<std::pair<std::uint64_t, std::string>> weighted;
  for (std::string& node : nodes) {
    const std::uint64_t weight = RendezvousWeight(key, node);
    weighted.emplace_back(weight, std::move(node));
  }
  std::sort(weighted.rbegin(), weighted.rend());
  std::vector<std::string> ranked;
  ranked.reserve(weighted.size());
  for (auto& [weight, node] : weighted) {
    ranked.push_back(std::move(node));
  }
  return ranked;
}

}  // namespace carobrill::membership
