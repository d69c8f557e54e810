#ifndef PACKAGES_MEMBERSHIP_DIRECTORY_SETTINGS_H_
#define PACKAGES_MEMBERSHIP_DIRECTORY_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "packages/core/ids.h"

namespace carobrill::membership {

/// Time limits and traffic limits of an entry's directory.
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
  std::int64_t longest_announce_interval_ms = 1'000;
  /// Control traffic that the entry may use, received and sent together.
  std::int64_t control_bytes_per_s = 16'000;
  /// Part of it that sending digests may use; receiving them takes as much. A
  /// burst carries everything to a peer that joins.
  std::int64_t digest_bytes_per_s = 4'096;
  std::int64_t digest_burst_bytes = 262'144;
  /// Estimated bytes that gRPC and TCP add to a message.
  std::int64_t framing_bytes = 100;
  /// How long a silent agent stays known after it is dead.
  std::int64_t forget_after_ms = 60'000;

  /// Returns what is wrong with the settings, if anything.
  std::optional<std::string> Fault() const;
};

}  // namespace carobrill::membership

#endif  // PACKAGES_MEMBERSHIP_DIRECTORY_SETTINGS_H_
