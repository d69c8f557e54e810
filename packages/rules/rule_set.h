#ifndef PACKAGES_RULES_RULE_SET_H_
#define PACKAGES_RULES_RULE_SET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"

namespace carobrill::rules {

/// Level of the cells in a guarantee.
enum class CellLevel { kWorker, kRack };

constexpr auto NamesOf(CellLevel) {
  return MakeNameTable<CellLevel>(
      {{CellLevel::kWorker, "worker"}, {CellLevel::kRack, "rack"}});
}

/// `count` cells of one size; a cell is an aligned block of accelerators of one
/// worker, or a whole rack. Written as `count x accelerators @ worker`, or
/// `count @ rack` for whole racks.
struct GuaranteeCells {
  std::uint32_t count = 0;
  /// A power of two; 0 for a whole rack.
  std::uint32_t accelerators = 0;
  CellLevel level = CellLevel::kWorker;

  bool operator==(const GuaranteeCells&) const = default;
};

/// Rule for a client account.
struct AccountRule {
  std::vector<GuaranteeCells> guarantee;
  /// Accelerators that the account may use at once; no value means no limit.
  std::optional<std::uint32_t> quota;
  std::uint32_t share = 1;
  /// Who requested the rule, from its comment "# asked by: NAME".
  std::string asked_by;

  bool operator==(const AccountRule&) const = default;
};

/// Rule for a service that handles short requests.
struct ServiceRule {
  /// Partner: company that provides endpoints of the service and may withdraw
  /// them.
  std::string partner;
  /// Requests predicted to run longer than this count as long work.
  std::int64_t max_short_run_ms = 500;
  /// Slots of each endpoint that are reserved for short requests.
  std::uint32_t reserved_short_slots = 2;
  std::string asked_by;

  bool operator==(const ServiceRule&) const = default;
};

/// Hardware that is or will be installed.
struct HardwareRule {
  std::uint32_t racks = 0;
  std::uint32_t workers_per_rack = 0;
  /// Accelerators per worker, a power of two.
  std::uint32_t accelerators = 0;

  bool operator==(const HardwareRule&) const = default;
};

/// The rules of one file. The order of the lines is not significant.
struct RuleSet {
  std::map<AccountId, AccountRule> accounts;
  std::map<ServiceId, ServiceRule> services;
  std::set<std::string> withdrawn_partners;
  std::set<WorkerId> drained_workers;
  std::set<EndpointId> drained_endpoints;
  std::optional<HardwareRule> hardware;

  bool operator==(const RuleSet&) const = default;
};

}  // namespace carobrill::rules

#endif  // PACKAGES_RULES_RULE_SET_H_
