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

/// A queue of jobs: which calls belong to it, and how its jobs are run.
struct Queue {
  std::string name;
  std::string host;
  std::string path_prefix;
  ServiceId service;
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 1;
  /// Objective of a job as a percentage of its longest chain of work.
  std::uint32_t stretch_percent = 100;
  std::int64_t objective_slack_ms = 0;
  /// Calls need no key.
  bool anonymous = false;
  /// A policy outside of carobrill that names the workers for each step.
  std::optional<workload::AdvicePolicy> advice;
};

/// One version of what the operator configures.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::map<std::string, AccountId, std::less<>> account_of_key;
  /// Accelerators that each account can have back for urgent jobs.
  std::map<AccountId, std::int64_t> guaranteed_accelerators;
  std::int64_t max_body_bytes = 256 * 1024;

  /// The queue of the longest prefix that `path` begins with on `host`; null
  /// when there is none.
  const Queue* FindQueue(std::string_view host, std::string_view path) const;
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_CONFIGURATION_H_
