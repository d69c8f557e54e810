#ifndef PACKAGES_WORKLOAD_INTERVAL_SET_H_
#define PACKAGES_WORKLOAD_INTERVAL_SET_H_

#include <cstdint>
#include <vector>

namespace carobrill::workload {

/// A set of numbers that is stored as intervals. Takes memory for each interval
/// instead of each number, so it suits sets that are mostly contiguous.
class IntervalSet {
 public:
  /// The numbers from `begin` up to, but not including, `end`.
  struct Interval {
    std::uint32_t begin = 0;
    std::uint32_t end = 0;

    bool operator==(const Interval&) const = default;
  };

  void Insert(std::uint32_t number) { this->Insert({number, number + 1}); }

  /// Inserts all numbers of an interval; some may be in the set already.
  void Insert(const Interval& interval);

  bool Contains(std::uint32_t number) const;

  /// Number of numbers in the set.
  std::uint32_t Count() const { return this->count; }

  /// Returns the smallest number from `number` on that is not in the set.
  std::uint32_t NextMissing(std::uint32_t number) const;

  /// Returns the disjoint intervals in ascending order.
  const std::vector<Interval>& Intervals() const { return this->intervals; }

 private:
  /// No interval touches or overlaps another one.
  std::vector<Interval> intervals;
  std::uint32_t count = 0;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_INTERVAL_SET_H_
