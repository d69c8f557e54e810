#ifndef PACKAGES_RECORDS_REPLICATED_COMPONENT_H_
#define PACKAGES_RECORDS_REPLICATED_COMPONENT_H_

#include <concepts>
#include <cstdint>

#include "packages/core/ids.h"
#include "packages/core/time.h"
#include "packages/records/records.pb.h"
#include "packages/records/verdict.h"

namespace carobrill::records {

/// A component of the replicated state. `Apply` must be deterministic: it uses
/// no clock, no random source and no input other than its arguments. It returns
/// the result of applying the record.
/// `appended_at` is the time the log service assigned to the record, the same
/// on every replica. `Load` returns false if the component's section of the
/// snapshot is malformed.
template <typename T>
concept ReplicatedComponent = requires(T& component,
                                       const T& constant,
                                       const Record& record,
                                       Offset offset,
                                       Instant appended_at,
                                       Snapshot& out,
                                       const Snapshot& in) {
  { component.Apply(record, offset, appended_at) } -> std::same_as<Verdict>;
  { constant.Save(out) } -> std::same_as<void>;
  { component.Load(in) } -> std::same_as<bool>;
  { constant.Hash() } -> std::same_as<std::uint64_t>;
};

}  // namespace carobrill::records

#endif  // PACKAGES_RECORDS_REPLICATED_COMPONENT_H_
