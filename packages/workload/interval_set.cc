#include "packages/workload/interval_set.h"

#include <algorithm>

namespace carobrill::workload {

void IntervalSet::Insert(const Interval& interval) {
  if (interval.begin >= interval.end) {
    return;
  }
  // The intervals that touch or overlap the new one are merged with it.
  const auto first = std::ranges::lower_bound(this->intervals, interval.begin,
                                              {}, &Interval::end);
  const auto last = std::ranges::upper_bound(
      first, this->intervals.end(), interval.end, {}, &Interval::begin);
  Interval merged = interval;
  for (auto old = first; old != last; ++old) {
    merged.begin = std::min(merged.begin, old->begin);
    merged.end = std::max(merged.end, old->end);
    this->count -= old->end - old->begin;
  }
  this->count += merged.end - merged.begin;
  if (first == last) {
    this->intervals.insert(first, merged);
    return;
  }
  *first = merged;
  this->intervals.erase(first + 1, last);
}

bool IntervalSet::Contains(std::uint32_t number) const {
  return this->NextMissing(number) != number;
}

std::uint32_t IntervalSet::NextMissing(std::uint32_t number) const {
  const auto next =
      std::ranges::upper_bound(this->intervals, number, {}, &Interval::end);
  return next != this->intervals.end() && next->begin <= number ? next->end
                                                                : number;
}

}  // namespace carobrill::workload
