#include "packages/gateway/topic_follower.h"

#include <doctest/doctest.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "packages/core/task.h"

namespace carobrill::gateway {
namespace {

/// Log whose snapshot has two pages, with one record each. The first one
/// arrives without its record as often as the test says.
class PagedLog {
 public:
  PagedLog(Task& task, int empty_pages)
      : task(task), empty_pages(empty_pages) {}

  void Append(const KeyedAppend&,
              const std::function<void(KeyedAppendReply)>&) {}
  void Read(const KeyedRead&, const std::function<void(KeyedReadReply)>&) {}
  void ReadSnapshot(const KeyedSnapshotRead& read,
                    std::function<void(KeyedSnapshotReply)> callback) {
    KeyedSnapshotReply reply;
    reply.end = 2;
    reply.more = read.after_key.empty();
    if (!reply.more) {
      reply.records = {{1, {"b", "2"}}};
    } else if (this->empty_pages-- <= 0) {
      reply.records = {{0, {"a", "1"}}};
    }
    this->task.Post(
        [reply, callback = std::move(callback)] { callback(reply); });
  }

 private:
  Task& task;
  int empty_pages;
};

TEST_CASE("a snapshot is not complete while a page without records has more") {
  // Guards against jobs or progress that a restarted gateway takes for removed.
  constexpr std::int64_t kWaitLimitMs = 3'000;
  Task task("test");
  PagedLog log(task, 2);
  std::set<std::string> keys;
  std::vector<std::string> seen;
  TopicFollower<PagedLog> follower(
      task, log, "t", {},
      {[&](const KeyedRecord& record) { seen.push_back(record.entry.key); },
       [&](const std::set<std::string>& complete) { keys = complete; }});
  task.Run([&] { follower.Start(); });
  bool loaded = false;
  const Instant end = BootClock{}.Now().After(kWaitLimitMs);
  while (!loaded && BootClock{}.Now() < end) {
    g_usleep(5'000);
    task.Run([&] { loaded = follower.Loaded(); });
  }
  CHECK(loaded);
  task.Run([&] {
    CHECK(keys == std::set<std::string>{"a", "b"});
    CHECK(seen == std::vector<std::string>{"a", "b"});
  });
}

}  // namespace
}  // namespace carobrill::gateway
