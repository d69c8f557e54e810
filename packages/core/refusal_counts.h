#ifndef PACKAGES_CORE_REFUSAL_COUNTS_H_
#define PACKAGES_CORE_REFUSAL_COUNTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "packages/core/metrics.h"
#include "packages/core/name_table.h"

namespace carobrill {

/// Counts refused clients by reason, for a metric and for the log. `Reason` is
/// an enumeration with a table of names.
template <typename Reason>
class RefusalCounts {
 public:
  /// The counter `name` has the label "reason". `metrics` may be null;
  /// otherwise it must outlive this object.
  RefusalCounts(MetricsRegistry* metrics,
                const std::string& name,
                const std::string& help) {
    if (metrics == nullptr) {
      return;
    }
    for (const auto& [reason, reason_name] : NamesOf(Reason{}).entries) {
      this->counters[Index(reason)] = &metrics->GetCounter(
          name, help, {{"reason", std::string(reason_name)}});
    }
  }

  void Add(Reason reason) {
    ++this->unlogged[Index(reason)];
    if (Counter* counter = this->counters[Index(reason)]) {
      counter->Increment();
    }
  }

  /// Calls `log` with the name of each reason and the number of refusals since
  /// the last call, unless there were none.
  template <typename LogCount>
  void TakeUnlogged(LogCount log) {
    for (const auto& [reason, name] : NamesOf(Reason{}).entries) {
      const std::uint64_t count =
          std::exchange(this->unlogged[Index(reason)], 0);
      if (count > 0) {
        log(std::string(name), count);
      }
    }
  }

 private:
  static constexpr std::size_t kReasons = NamesOf(Reason{}).entries.size();

  static constexpr std::size_t Index(Reason reason) {
    return static_cast<std::size_t>(reason);
  }

  std::array<Counter*, kReasons> counters{};
  std::array<std::uint64_t, kReasons> unlogged{};
};

}  // namespace carobrill

#endif  // PACKAGES_CORE_REFUSAL_COUNTS_H_
