#ifndef PACKAGES_REQUESTS_DISPATCHER_SETTINGS_H_
#define PACKAGES_REQUESTS_DISPATCHER_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "packages/core/ids.h"

namespace carobrill::requests {

/// Limits of the request path of one entry.
struct DispatcherSettings {
  InstanceId self;
  Incarnation self_incarnation = 0;
  /// Seed of the random source of the router.
  std::uint64_t seed = 1;
  std::uint32_t queue_limit = 2'000;
  std::uint32_t retry_percent = 10;
  std::uint32_t hedge_percent = 5;
  /// Work with a longer learned run time counts as long, unless the service's
  /// rule says otherwise.
  std::int64_t short_ms = 500;
  /// Slots of an endpoint that long work may not use.
  std::uint32_t short_slots = 2;
  bool shed_by_deadline = true;
  bool hedge = true;
  /// How long an attempt may stay without a reply after the caller's deadline.
  std::int64_t reply_grace_ms = 2'000;
  std::int64_t fence_timeout_ms = 500;
  std::int64_t fence_interval_ms = 200;
  /// An agent that nobody hears for so long is taken for gone; its open claims
  /// are settled as unknown. A late answer can still correct that.
  std::int64_t agent_dead_after_ms = 10'000;
  /// How long a request waits when no endpoint serves it.
  std::int64_t no_endpoint_timeout_ms = 2'000;

  /// Returns what is wrong with the settings, if anything.
  std::optional<std::string> ValidationError() const;
};

/// What a rule says about a service.
struct ServicePolicy {
  std::int64_t short_ms = 500;
  std::uint32_t short_slots = 2;

  bool operator==(const ServicePolicy&) const = default;
};

/// What the rules in force say about requests.
struct RequestPolicy {
  /// Weight of each known account. When empty, every account is known and
  /// all weigh the same.
  std::map<AccountId, std::uint32_t> accounts;
  std::map<ServiceId, ServicePolicy> services;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_DISPATCHER_SETTINGS_H_
