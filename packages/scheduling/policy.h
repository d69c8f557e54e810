#ifndef PACKAGES_SCHEDULING_POLICY_H_
#define PACKAGES_SCHEDULING_POLICY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "packages/core/ids.h"

namespace carobrill::scheduling {

/// Largest number of accelerators of one worker.
inline constexpr std::uint32_t kMaxAccelerators = 16;

/// Part of an account's guaranteed shape: `count` cells of `accelerators`
/// (a power of two) within one worker, or `count` whole racks.
struct GuaranteedCells {
  std::uint32_t count = 0;
  std::uint32_t accelerators = 0;
  bool whole_rack = false;

  bool operator==(const GuaranteedCells&) const = default;
};

/// What the rules grant one account.
struct AccountPolicy {
  std::vector<GuaranteedCells> guarantee;
  /// Most accelerators in use at once; nothing for no limit.
  std::optional<std::uint32_t> quota;
  /// Weight in the division of what is not guaranteed; at least 1.
  std::uint32_t share = 1;

  bool operator==(const AccountPolicy&) const = default;
};

/// Hardware that is or will be installed, as the rules declare it.
struct DeclaredHardware {
  std::uint32_t racks = 0;
  std::uint32_t workers_per_rack = 0;
  std::uint32_t accelerators = 0;

  bool operator==(const DeclaredHardware&) const = default;
};

/// The part of the rules that scheduling needs.
struct Policy {
  std::map<AccountId, AccountPolicy> accounts;
  std::set<WorkerId> drained_workers;
  std::optional<DeclaredHardware> hardware;

  bool operator==(const Policy&) const = default;
};

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_POLICY_H_
