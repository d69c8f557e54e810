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

/// Why a call to the keyed log failed.
enum class KeyedLogFailure {
  kNone,
  /// The call was refused and had no effect.
  kRefused,
  /// No complete answer arrived; an append may still take effect, even later.
  kNoAnswer,
  /// The end of the topic was not at the offset that the append expected.
  kEndMismatch,
  /// A writer with a higher epoch has taken over.
  kFenced,
  /// The requested records are no longer retained.
  kExpired,
  /// The answer does not follow the protocol; an append may have taken effect.
  kMalformed,
};

constexpr auto NamesOf(KeyedLogFailure) {
  return MakeNameTable<KeyedLogFailure>({
      {KeyedLogFailure::kNone, "none"},
      {KeyedLogFailure::kRefused, "refused"},
      {KeyedLogFailure::kNoAnswer, "no_answer"},
      {KeyedLogFailure::kEndMismatch, "end_moved"},
      {KeyedLogFailure::kFenced, "fenced"},
      {KeyedLogFailure::kExpired, "expired"},
      {KeyedLogFailure::kMalformed, "malformed"},
  });
}

/// A key with its value; an empty value removes the key.
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

/// Identity of the single writer of a topic. Once a higher epoch has been seen,
/// all lower ones are refused; a repeated sequence number takes effect once.
struct WriterIdentity {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
};

/// Entries that are appended atomically.
struct KeyedAppend {
  std::string topic;
  std::vector<KeyedEntry> entries;
  /// The append takes effect only if the topic ends at this offset.
  std::optional<Offset> expected_end;
  std::optional<WriterIdentity> writer;
  /// Boot clock.
  Instant deadline;
};

/// Answer to an append; `end` is valid on success and with kEndMismatch.
struct KeyedAppendReply {
  KeyedLogFailure failure = KeyedLogFailure::kNone;
  Offset first = 0;
  Offset end = 0;
};

/// A read of the records from an offset; waits up to `wait_ms` for a record.
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

/// A read of one page of the newest entries of all keys after `after_key`.
struct KeyedSnapshotRead {
  std::string topic;
  std::string after_key;
  /// Boot clock.
  Instant deadline;
};

/// Answer to a snapshot read. Its pages are not from one point in time.
struct KeyedSnapshotReply {
  KeyedLogFailure failure = KeyedLogFailure::kNone;
  std::vector<KeyedRecord> records;
  bool more = false;
  Offset end = 0;
};

/// A log that retains the newest entry of each key without a time limit.
/// Callbacks run on the caller's task.
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
