#ifndef PACKAGES_GATEWAY_COMMIT_PIPELINE_H_
#define PACKAGES_GATEWAY_COMMIT_PIPELINE_H_

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
};

/// Appends the planner's entries to the log, one append at a time. An append
/// that fails or is not answered is retried with the same sequence number,
/// which takes effect only once.
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

  /// Stores the entries. `on_stored(sent)` runs once they are durable, with the
  /// boot-clock time at which the successful append was sent. `on_superseded`
  /// runs instead if another planner has taken over.
  void Store(std::vector<KeyedEntry> entries,
             std::function<void(Instant)> on_stored,
             std::function<void(KeyedLogFailure)> on_superseded) {
    this->busy = true;
    ++this->writer.sequence;
    this->entries = std::move(entries);
    this->on_stored = std::move(on_stored);
    this->on_superseded = std::move(on_superseded);
    this->Send();
  }

 private:
  void Send() {
    const Instant sent = BootClock{}.Now();
    KeyedAppend append;
    append.topic = this->topic;
    append.entries = this->entries;
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
  std::function<void(Instant)> on_stored;
  std::function<void(KeyedLogFailure)> on_superseded;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_COMMIT_PIPELINE_H_
