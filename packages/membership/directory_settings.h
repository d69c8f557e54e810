#ifndef PACKAGES_MEMBERSHIP_DIRECTORY_SETTINGS_H_
#define PACKAGES_MEMBERSHIP_DIRECTORY_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "packages/core/ids.h"

namespace carobrill::membership {

/// Timeouts and traffic limits of the directory of an entry.
struct DirectorySettings {
  InstanceId self;
  Incarnation self_incarnation = 0;
  std::string address;
  std::string region;
  std::string failure_domain;
  std::int64_t suspect_after_ms = 1'000;
  std::int64_t dead_after_ms = 2'000;
  std::int64_t agent_lease_ms = 2'000;
  std::int64_t announce_interval_ms = 300;
  /// Longest interval granted to agents without a service endpoint.
  std::int64_t max_announce_interval_ms = 1'000;
  /// Limit for control traffic of the entry, sent and received together.
  std::int64_t control_bytes_per_s = 16'000;
  /// Share of the limit for sending digests; receiving them takes the same
  /// amount. The burst allows a full digest for a joining peer.
  std::int64_t digest_bytes_per_s = 4'096;
  std::int64_t digest_burst_bytes = 262'144;
  /// Estimated overhead of gRPC and TCP per message.
  std::int64_t framing_bytes = 100;
  /// How long a dead agent or entry stays in the directory.
  std::int64_t retain_dead_ms = 60'000;

  /// Returns a description of the first invalid setting, if any.
  std::optional<std::string> FindError() const;
};

}  // namespace carobrill::membership

#endif  // PACKAGES_MEMBERSHIP_DIRECTORY_SETTINGS_H_
