#ifndef PACKAGES_CORE_KEYED_LOG_H_
#define PACKAGES_CORE_KEYED_LOG_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/time.h"

namespace carobrill {

/// Why a call of the keyed log did not succeed.
enum class KeyedLogFailure {
  kNone,
  /// Nothing was done.
  kRefused,
  /// No whole answer came; an append may take effect, even later.
  kNoAnswer,
  /// The topic did not end where the append expected it to.
  kEndMoved,
  /// A writer with a higher epoch has taken over.
  kFenced,
  /// The records that were asked for are no longer kept.
  kExpired,
  /// The answer does not follow the protocol; an append may have taken effect.
  kMalformed,
};

constexpr auto NamesOf(KeyedLogFailure) {
  return MakeNameTable<KeyedLogFailure>({
      {KeyedLogFailure::kNone, "none"},
      {KeyedLogFailure::kRefused, "refused"},
      {KeyedLogFailure::kNoAnswer, "no_answer"},
      {KeyedLogFailure::kEndMoved, "end_moved"},
      {KeyedLogFailure::kFenced, "fenced"},
      {KeyedLogFailure::kExpired, "expired"},
      {KeyedLogFailure::kMalformed, "malformed"},
  });
}

/// A key and its value; an empty value removes the key.
struct KeyedEntry {
  std::string key;
  std::string value;

  bool operator==(const KeyedEntry&) const = default;
};

/// A stored entry.
struct KeyedRecord {
  Offset offset = 0;
  KeyedEntry entry;
};

/// Identity of the only writer of a topic. A lower epoch is refused for good
/// once a higher one has been seen; a repeated sequence takes effect once.
struct WriterIdentity {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
};

/// Entries that are appended all or none.
struct KeyedAppend {
  std::string topic;
  std::vector<KeyedEntry> entries;
  /// The append takes effect only if the topic ends there.
  std::optional<Offset> expected_end;
  std::optional<WriterIdentity> writer;
  /// Boot clock.
  Instant deadline;
};

/// Answer to an append; `end` counts on success and with kEndMoved.
struct KeyedAppendReply {
  KeyedLogFailure failure = KeyedLogFailure::kNone;
  Offset first = 0;
  Offset end = 0;
};

/// A read of the records from an offset; the answer waits for one to come.
struct KeyedRead {
  std::string topic;
  Offset from = 0;
  std::int64_t wait_ms = 0;
  /// Boot clock.
  Instant deadline;
};

/// Answer to a read. `end` is the offset after the newest record.
struct KeyedReadReply {
  KeyedLogFailure failure = KeyedLogFailure::kNone;
  std::vector<KeyedRecord> records;
  Offset next = 0;
  Offset end = 0;
};

/// A page of the newest entry of each key, after `after_key`.
struct KeyedSnapshotRead {
  std::string topic;
  std::string after_key;
  /// Boot clock.
  Instant deadline;
};

/// Answer to a snapshot read. Pages are not taken at one moment.
struct KeyedSnapshotReply {
  KeyedLogFailure failure = KeyedLogFailure::kNone;
  std::vector<KeyedRecord> records;
  bool more = false;
  Offset end = 0;
};

/// A log that keeps the newest entry of each key for good. Callbacks run on the
/// caller's task.
template <typename T>
concept KeyedLog = requires(T& log,
                            KeyedAppend append,
                            KeyedRead read,
                            KeyedSnapshotRead snapshot,
                            std::function<void(KeyedAppendReply)> appended,
                            std::function<void(KeyedReadReply)> got,
                            std::function<void(KeyedSnapshotReply)> page) {
  log.Append(append, appended);
  log.Read(read, got);
  log.ReadSnapshot(snapshot, page);
};

}  // namespace carobrill

#endif  // PACKAGES_CORE_KEYED_LOG_H_
