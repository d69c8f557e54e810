#ifndef PACKAGES_REQUESTS_DISPATCHER_SETTINGS_H_
#define PACKAGES_REQUESTS_DISPATCHER_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "packages/core/ids.h"

namespace carobrill::requests {

/// Settings of the request dispatcher of an entry.
struct DispatcherSettings {
  InstanceId self;
  Incarnation self_incarnation = 0;
  /// Seed of the router's random number generator.
  std::uint64_t seed = 1;
  std::uint32_t queue_limit = 2'000;
  std::uint32_t retry_percent = 10;
  std::uint32_t hedge_percent = 5;
  /// Requests with a longer predicted run time count as long. Rules can
  /// override this per service.
  std::int64_t max_short_run_ms = 500;
  /// Slots of an endpoint reserved for short requests.
  std::uint32_t reserved_short_slots = 2;
  bool shed_by_deadline = true;
  bool hedge = true;
  /// How long after the caller's deadline a reply to an attempt is awaited.
  std::int64_t reply_grace_ms = 2'000;
  std::int64_t fence_timeout_ms = 500;
  std::int64_t fence_interval_ms = 200;
  /// An agent that is unknown to the router for this long is presumed dead and
  /// its open claims are settled as unknown. A late answer can still correct
  /// the outcome.
  std::int64_t agent_dead_after_ms = 10'000;
  /// How long a request waits while no endpoint serves it.
  std::int64_t no_endpoint_timeout_ms = 2'000;

  /// Returns a description of the first invalid setting, if any.
  std::optional<std::string> ValidationError() const;
};

/// Settings of a service, as given by the rules.
struct ServicePolicy {
  std::int64_t max_short_run_ms = 500;
  std::uint32_t reserved_short_slots = 2;

  bool operator==(const ServicePolicy&) const = default;
};

/// The part of the rules in force that concerns requests.
struct RequestPolicy {
  /// Weight of each known account. If empty, all accounts are accepted and have
  /// the same weight.
  std::map<AccountId, std::uint32_t> accounts;
  std::map<ServiceId, ServicePolicy> services;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_DISPATCHER_SETTINGS_H_
