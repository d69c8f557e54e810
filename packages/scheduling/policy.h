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

/// Maximum number of accelerators per worker.
inline constexpr std::uint32_t kMaxAccelerators = 16;

/// Part of an account's guarantee: `count` cells of `accelerators` (a power of
/// two), each within one worker, or `count` whole racks.
struct GuaranteedCells {
  std::uint32_t count = 0;
  std::uint32_t accelerators = 0;
  bool whole_rack = false;

  bool operator==(const GuaranteedCells&) const = default;
};

/// Scheduling rules of one account.
struct AccountPolicy {
  std::vector<GuaranteedCells> guarantee;
  /// Maximum number of accelerators in use at once; no limit if unset.
  std::optional<std::uint32_t> quota;
  /// Weight for fair sharing of borrowed accelerators; at least 1.
  std::uint32_t share = 1;

  bool operator==(const AccountPolicy&) const = default;
};

/// Installed or planned hardware, as declared in the rules.
struct DeclaredHardware {
  std::uint32_t racks = 0;
  std::uint32_t workers_per_rack = 0;
  std::uint32_t accelerators = 0;

  bool operator==(const DeclaredHardware&) const = default;
};

/// The subset of the rules that scheduling uses.
struct Policy {
  std::map<AccountId, AccountPolicy> accounts;
  std::set<WorkerId> drained_workers;
  std::optional<DeclaredHardware> hardware;

  bool operator==(const Policy&) const = default;
};

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_POLICY_H_
