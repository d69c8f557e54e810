#ifndef PACKAGES_GATEWAY_COMMIT_PIPELINE_H_
#define PACKAGES_GATEWAY_COMMIT_PIPELINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "packages/core/keyed_log.h"
#include "packages/core/log.h"
#include "packages/core/task.h"

namespace carobrill::gateway {

/// Append timing, in ms.
struct CommitSettings {
  /// Timeout of one append. The slowest supported stores answer after about 350
  /// ms.
  std::int64_t answer_timeout_ms = 1'000;
  std::int64_t retry_delay_ms = 60;
  /// Largest size of the entries of one append, in bytes; a single entry may be
  /// larger. The platform's log takes 2 MiB in one call.
  std::size_t max_append_bytes = 1'000'000;
};

/// Appends the planner's entries to the log, one append at a time, large sets
/// of entries in several. An append that fails or is not answered is retried
/// with the same sequence number, which takes effect only once.
template <KeyedLog LogStore>
class CommitPipeline {
 public:
  /// `claim` is the writer identity with which the planner's term was claimed.
  CommitPipeline(Task& task,
                 LogStore& log,
                 std::string topic,
                 WriterIdentity claim,
                 CommitSettings settings = {})
      : task(task),
        log(log),
        topic(std::move(topic)),
        writer(claim),
        settings(settings) {}

  ~CommitPipeline() { *this->alive = false; }

  CommitPipeline(const CommitPipeline&) = delete;
  CommitPipeline& operator=(const CommitPipeline&) = delete;

  /// True while an append is in progress.
  bool Busy() const { return this->busy; }

  /// Stores the entries in order. `on_stored(sent)` runs once all are durable,
  /// with the boot-clock time at which the last successful append was sent.
  /// `on_superseded` runs instead if another planner has taken over; it may
  /// find the first ones stored.
  void Store(std::vector<KeyedEntry> entries,
             std::function<void(Instant)> on_stored,
             std::function<void(KeyedLogFailure)> on_superseded) {
    this->busy = true;
    this->entries = std::move(entries);
    this->next_entry = 0;
    this->on_stored = std::move(on_stored);
    this->on_superseded = std::move(on_superseded);
    this->SendNext();
  }

 private:
  /// Sends the next entries that fit into one append.
  void SendNext() {
    ++this->writer.sequence;
    this->batch.clear();
    std::size_t bytes = 0;
    while (this->next_entry < this->entries.size()) {
      KeyedEntry& entry = this->entries[this->next_entry];
      bytes += entry.key.size() + entry.value.size();
      if (!this->batch.empty() && bytes > this->settings.max_append_bytes) {
        break;
      }
      this->batch.push_back(std::move(entry));
      ++this->next_entry;
    }
    this->Send();
  }

  void Send() {
    const Instant sent = BootClock{}.Now();
    KeyedAppend append;
    append.topic = this->topic;
    append.entries = this->batch;
    append.writer = this->writer;
    append.deadline = sent.After(this->settings.answer_timeout_ms);
    this->log.Append(append, [this, alive = this->alive,
                              sent](const KeyedAppendReply& reply) {
      if (*alive) {
        this->OnReply(reply.failure, sent);
      }
    });
  }

  void OnReply(KeyedLogFailure failure, Instant sent) {
    if (failure == KeyedLogFailure::kNone &&
        this->next_entry < this->entries.size()) {
      this->SendNext();
      return;
    }
    if (failure == KeyedLogFailure::kNone) {
      this->busy = false;
      this->failing = false;
      std::exchange(this->on_stored, {})(sent);
      return;
    }
    if (failure == KeyedLogFailure::kFenced ||
        failure == KeyedLogFailure::kEndMismatch) {
      std::exchange(this->on_superseded, {})(failure);
      return;
    }
    if (!std::exchange(this->failing, true)) {
      Log(LogLevel::kWarning, "planner append failed; retrying",
          {{"reason", std::string(NameOf(failure))},
           {"sequence", std::to_string(this->writer.sequence)}});
    }
    this->task.PostAt(BootClock{}.Now().After(this->settings.retry_delay_ms),
                      [this, alive = this->alive] {
                        if (*alive) {
                          this->Send();
                        }
                      });
  }

  Task& task;
  LogStore& log;
  std::string topic;
  WriterIdentity writer;
  CommitSettings settings;
  bool busy = false;
  bool failing = false;
  std::vector<KeyedEntry> entries;
  /// Index of the first entry that has not been sent.
  std::size_t next_entry = 0;
  /// The entries of the append in progress.
  std::vector<KeyedEntry> batch;
  std::function<void(Instant)> on_stored;
  std::function<void(KeyedLogFailure)> on_superseded;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_COMMIT_PIPELINE_H_
