#include "packages/gateway/commit_pipeline.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/gateway/memory_log.h"

namespace carobrill::gateway {
namespace {

constexpr std::size_t kMaxAppendBytes = 100;
constexpr std::size_t kValueBytes = 30;

/// Records the size of each append.
class MeasuredLog : public MemoryLog {
 public:
  using MemoryLog::MemoryLog;

  void Append(const KeyedAppend& append,
              std::function<void(KeyedAppendReply)> callback) {
    std::size_t bytes = 0;
    for (const KeyedEntry& entry : append.entries) {
      bytes += entry.key.size() + entry.value.size();
    }
    this->append_bytes.push_back(bytes);
    MemoryLog::Append(append, std::move(callback));
  }

  std::vector<std::size_t> append_bytes;
};

class PipelineFixture {
 public:
  PipelineFixture() : task("test"), log(this->task) {
    CommitSettings settings;
    settings.max_append_bytes = kMaxAppendBytes;
    settings.retry_delay_ms = 1;
    this->task.Run([&] {
      this->pipeline = std::make_unique<CommitPipeline<MeasuredLog>>(
          this->task, this->log, "topic", WriterIdentity{1, 1}, settings);
    });
  }
  ~PipelineFixture() {
    this->task.Run([this] { this->pipeline.reset(); });
  }

  /// Stores the entries, and returns whether they were reported as stored.
  bool Store(const std::vector<KeyedEntry>& entries) {
    bool stored = false;
    this->task.Run([&] {
      this->pipeline->Store(
          entries, [&](Instant) { stored = true; },
          [](KeyedLogFailure) { FAIL("superseded"); });
    });
    for (int i = 0; i < 1'000; ++i) {
      bool done = false;
      this->task.Run([&] { done = stored; });
      if (done) {
        return true;
      }
      g_usleep(1'000);
    }
    return false;
  }

  Task task;
  MeasuredLog log;
  std::unique_ptr<CommitPipeline<MeasuredLog>> pipeline;
};

std::vector<KeyedEntry> MakeEntries(std::size_t count) {
  std::vector<KeyedEntry> entries;
  for (std::size_t i = 0; i < count; ++i) {
    entries.push_back({std::to_string(i), std::string(kValueBytes, 'x')});
  }
  return entries;
}

TEST_CASE("a commit that exceeds one append is stored in several") {
  // Guards against an append that the log refuses for its size, so that no job
  // goes on.
  PipelineFixture fixture;
  const auto entries = MakeEntries(8);
  SUBCASE("all appends are answered") {}
  SUBCASE("some answers are lost") {
    fixture.log.append_faults = {
        KeyedLogFailure::kNone, KeyedLogFailure::kNoAnswer,
        KeyedLogFailure::kRefused, KeyedLogFailure::kNoAnswer};
  }
  REQUIRE(fixture.Store(entries));
  CHECK(fixture.log.Entries("topic") == entries);
  CHECK(fixture.log.append_bytes.size() > 2);
  CHECK(std::ranges::max(fixture.log.append_bytes) <= kMaxAppendBytes);
  // The next commit follows the sequence.
  REQUIRE(fixture.Store(MakeEntries(1)));
  CHECK(fixture.log.Entries("topic").size() == entries.size() + 1);
}

TEST_CASE("an entry that exceeds the size of an append is stored by itself") {
  PipelineFixture fixture;
  auto entries = MakeEntries(3);
  entries[1].value = std::string(2 * kMaxAppendBytes, 'x');
  REQUIRE(fixture.Store(entries));
  CHECK(fixture.log.Entries("topic") == entries);
  CHECK(fixture.log.append_bytes.size() == 3);
}

}  // namespace
}  // namespace carobrill::gateway
