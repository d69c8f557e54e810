#ifndef PACKAGES_GATEWAY_CONFIGURATION_H_
#define PACKAGES_GATEWAY_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "packages/core/ids.h"
#include "packages/workload/job_spec.h"

namespace carobrill::gateway {

/// A job queue: selects the client calls that belong to it and sets how its
/// jobs run.
struct Queue {
  std::string name;
  std::string host;
  std::string path_prefix;
  ServiceId service;
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 1;
  /// Completion time objective of a job, as a percentage of the duration of its
  /// longest dependency chain.
  std::uint32_t stretch_percent = 100;
  std::int64_t objective_slack_ms = 0;
  /// Accepts calls without an API key.
  bool anonymous = false;
  /// External policy that selects the workers for each step.
  std::optional<workload::AdvicePolicy> advice;
};

/// One version of the operator's configuration.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::map<std::string, AccountId, std::less<>> account_by_key;
  /// Number of accelerators that each account is guaranteed to get back for
  /// urgent jobs.
  std::map<AccountId, std::int64_t> guaranteed_accelerators;
  std::int64_t max_body_bytes = 256 * 1024;

  /// Returns the queue on `host` with the longest prefix of `path`, or null if
  /// none matches.
  const Queue* FindQueue(std::string_view host, std::string_view path) const;
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_CONFIGURATION_H_
