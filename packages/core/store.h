#ifndef PACKAGES_CORE_STORE_H_
#define PACKAGES_CORE_STORE_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/time.h"

namespace carobrill {

/// Why a call to the log service failed.
enum class StoreFailure {
  kNone,
  /// The service refused the call; nothing was written.
  kUnavailable,
  /// No complete response arrived; an append may have taken effect.
  kNoAnswer,
  /// The requested offset is no longer retained.
  kExpired,
  /// The response does not follow the protocol; an append may have taken
  /// effect.
  kMalformed,
};

constexpr auto NamesOf(StoreFailure) {
  return MakeNameTable<StoreFailure>({
      {StoreFailure::kNone, "none"},
      {StoreFailure::kUnavailable, "unavailable"},
      {StoreFailure::kNoAnswer, "no_answer"},
      {StoreFailure::kExpired, "expired"},
      {StoreFailure::kMalformed, "malformed"},
  });
}

/// A record stored by the log service.
struct StoreRecord {
  Offset offset = 0;
  Instant appended_at;
  std::string data;

  bool operator==(const StoreRecord&) const = default;
};

/// Response to an append; `lineage` and `first_offset` are valid only on
/// success.
struct AppendReply {
  StoreFailure failure = StoreFailure::kNone;
  std::string lineage;
  Offset first_offset = 0;
};

/// A read of at most `max` records from offset `from`; the service waits up to
/// `wait_ms` when there are none yet.
struct ReadQuery {
  std::string stream;
  Offset from = 0;
  std::uint32_t max = 0;
  std::int64_t wait_ms = 0;
};

/// Response to a read. With kExpired, only `oldest_offset` is valid, and
/// `lineage` if the service sent it.
struct ReadReply {
  StoreFailure failure = StoreFailure::kNone;
  std::string lineage;
  Offset oldest_offset = 0;
  /// The offset after the last record of the stream.
  Offset next_offset = 0;
  std::vector<StoreRecord> records;
};

using AppendCallback = std::function<void(AppendReply)>;
using ReadCallback = std::function<void(ReadReply)>;

/// Client of a log service. Each callback runs once, asynchronously, on the
/// caller's task, and no later than `deadline`.
template <typename T>
concept Store = requires(T& store,
                         const std::string& stream,
                         std::vector<std::string> records,
                         ReadQuery query,
                         Instant deadline,
                         AppendCallback on_append,
                         ReadCallback on_read) {
  store.Append(stream, records, deadline, on_append);
  store.Read(query, deadline, on_read);
};

/// Provides the time and delayed calls on one task.
template <typename T>
concept Scheduler = requires(T& scheduler,
                             Instant deadline,
                             std::function<void()> message) {
  { scheduler.Now() } -> std::same_as<Instant>;
  scheduler.PostAt(deadline, message);
};

}  // namespace carobrill

#endif  // PACKAGES_CORE_STORE_H_
