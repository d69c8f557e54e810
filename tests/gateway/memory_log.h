#ifndef TESTS_GATEWAY_MEMORY_LOG_H_
#define TESTS_GATEWAY_MEMORY_LOG_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "packages/core/keyed_log.h"
#include "packages/core/task.h"

namespace carobrill::gateway {

/// A keyed log in memory that follows the store's published rules: appends are
/// refused below the highest epoch of the topic's writer, a repeated sequence
/// receives its first answer before any other check, and a condition on the
/// end is checked last. All calls run on one task.
class MemoryLog {
 public:
  explicit MemoryLog(Task& task) : task(task) {}

  void Append(const KeyedAppend& append,
              std::function<void(KeyedAppendReply)> callback);
  void Read(const KeyedRead& read,
            std::function<void(KeyedReadReply)> callback);
  void ReadSnapshot(const KeyedSnapshotRead& read,
                    std::function<void(KeyedSnapshotReply)> callback);

  /// What the next appends answer instead of their result: kNoAnswer takes
  /// effect all the same, kRefused does not.
  std::vector<KeyedLogFailure> append_faults;
  /// False makes appends that get no answer have no effect.
  bool unanswered_take_effect = true;

  /// While true, reads get no answer; those that wait end at once.
  void FailReads(bool fail);

  /// Entries of a topic in the order of the log.
  const std::vector<KeyedEntry>& Entries(const std::string& topic) {
    return this->topics[topic].entries;
  }

 private:
  struct Topic {
    std::vector<KeyedEntry> entries;
    std::uint64_t epoch = 0;
    std::map<std::uint64_t, KeyedAppendReply> answers;
    std::vector<std::function<void()>> readers;
  };

  KeyedAppendReply Apply(const KeyedAppend& append, Topic& topic);

  Task& task;
  bool reads_fail = false;
  std::map<std::string, Topic> topics;
};

}  // namespace carobrill::gateway

#endif  // TESTS_GATEWAY_MEMORY_LOG_H_
