#ifndef PACKAGES_CORE_IDS_H_
#define PACKAGES_CORE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace carobrill {

/// A typed string identifier; ids with different tags are different types.
template <typename Tag>
struct Id {
  std::string value;

  Id() = default;
  explicit Id(std::string text) : value(std::move(text)) {}

  auto operator<=>(const Id&) const = default;
  bool empty() const { return this->value.empty(); }
};

using AccountId = Id<struct AccountTag>;
using JobId = Id<struct JobTag>;
using WorkerId = Id<struct WorkerTag>;
using RackId = Id<struct RackTag>;
using FailureDomainId = Id<struct FailureDomainTag>;
using RegionId = Id<struct RegionTag>;
using EndpointId = Id<struct EndpointTag>;
using ServiceId = Id<struct ServiceTag>;
using InstanceId = Id<struct InstanceTag>;
using AttemptId = Id<struct AttemptTag>;

/// Start time of a process in microseconds of wall-clock time. Of two processes
/// of the same instance, the later one has the higher value.
using Incarnation = std::uint64_t;

/// Position of a record in a stream of the log.
using Offset = std::uint64_t;

}  // namespace carobrill

template <typename Tag>
struct std::hash<carobrill::Id<Tag>> {
  std::size_t operator()(const carobrill::Id<Tag>& id) const {
    return std::hash<std::string>{}(id.value);
  }
};

#endif  // PACKAGES_CORE_IDS_H_
