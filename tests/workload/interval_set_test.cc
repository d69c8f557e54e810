#include "packages/workload/interval_set.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

namespace carobrill::workload {
namespace {

TEST_CASE("an interval set holds the numbers that were inserted") {
  // Guards against tasks that count as completed twice, or too early.
  CHECK(rc::check("insertions", [] {
    constexpr std::uint32_t kNumbers = 60;
    const auto inserted = *rc::gen::container<
        std::vector<std::pair<std::uint32_t, std::uint32_t>>>(rc::gen::pair(
        rc::gen::inRange(0U, kNumbers), rc::gen::inRange(0U, 8U)));
    IntervalSet set;
    std::set<std::uint32_t> expected;
    for (const auto& [begin, count] : inserted) {
      set.Insert({begin, begin + count});
      for (std::uint32_t i = 0; i < count; ++i) {
        expected.insert(begin + i);
      }
      RC_ASSERT(set.Count() == expected.size());
    }
    std::uint32_t missing = 0;
    for (std::uint32_t i = kNumbers + 8; i-- > 0;) {
      missing = expected.contains(i) ? std::max(missing, i + 1) : i;
      RC_ASSERT(set.Contains(i) == expected.contains(i));
      RC_ASSERT(set.NextMissing(i) == missing);
    }
    for (std::size_t i = 1; i < set.Intervals().size(); ++i) {
      RC_ASSERT(set.Intervals()[i - 1].end < set.Intervals()[i].begin);
    }
  }));
}

}  // namespace
}  // namespace carobrill::workload
