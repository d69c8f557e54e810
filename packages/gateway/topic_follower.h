#ifndef PACKAGES_GATEWAY_TOPIC_FOLLOWER_H_
#define PACKAGES_GATEWAY_TOPIC_FOLLOWER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "packages/core/keyed_log.h"
#include "packages/core/log.h"
#include "packages/core/task.h"
#include "packages/core/time.h"

namespace carobrill::gateway {

/// Timing of a follower's calls, in ms.
struct FollowerSettings {
  /// How long one read waits for new records. The view is never older than this
  /// plus a round trip, which bounds how long a removed key is accepted.
  std::int64_t wait_ms = 1'000;
  /// Timeout of a read, in addition to its wait for new records. The
  /// slowest supported stores answer after about 350 ms.
  std::int64_t answer_timeout_ms = 900;
  std::int64_t retry_delay_ms = 100;
  /// Pause after a read that returned records, so that one read returns the
  /// records of several appends. Otherwise the number of reads is that of the
  /// appends times that of the gateways.
  std::int64_t gather_ms = 0;
  /// Deliver only the newest record of each key in one read.
  bool newest_only = false;
};

/// Callbacks of a follower. All run on the owner's task.
struct FollowerCallbacks {
  /// Called for each new or removed entry, in log order.
  std::function<void(const KeyedRecord&)> on_record;
  /// Called after a complete snapshot has been read. Keys that are not in it
  /// have been removed.
  std::function<void(const std::set<std::string>&)> on_snapshot;
};

/// Follows one topic of the keyed log: reads a snapshot with the newest entry
/// of each key, then tails the topic.
template <KeyedLog LogStore>
class TopicFollower {
 public:
  TopicFollower(Task& task,
                LogStore& log,
                std::string topic,
                FollowerSettings settings,
                FollowerCallbacks callbacks)
      : task(task),
        log(log),
        topic(std::move(topic)),
        settings(settings),
        callbacks(std::move(callbacks)) {}

  ~TopicFollower() { *this->alive = false; }

  TopicFollower(const TopicFollower&) = delete;
  TopicFollower& operator=(const TopicFollower&) = delete;

  /// Starts or restarts from a new snapshot.
  void Start() {
    ++this->generation;
    this->gathering = false;
    this->loaded = false;
    this->tail_from = 0;
    this->keys.clear();
    this->ReadPage("");
  }

  /// Sets the pause after a read that returned records, and ends a pause in
  /// progress.
  void SetGatherMs(std::int64_t gather_ms) {
    this->settings.gather_ms = gather_ms;
    if (std::exchange(this->gathering, false)) {
      this->ReadTail();
    }
  }

  /// True once a complete snapshot has been delivered.
  bool Loaded() const { return this->loaded; }

  /// Boot clock. The view contains everything stored before this time.
  Instant FreshAt() const { return this->fresh_at; }

  /// True during the pause after a read that returned records. The view then
  /// lacks records that were stored since.
  bool Gathering() const { return this->gathering; }

  /// Offset after the newest delivered record.
  Offset Next() const { return this->next; }

  /// True if the last read failed.
  bool Failing() const { return this->failing; }

  /// Runs `done(true)` once everything stored before this call has been
  /// delivered, or `done(false)` if no snapshot is loaded or the log does not
  /// answer.
  void Barrier(std::function<void(bool)> done) {
    if (!this->loaded) {
      done(false);
      return;
    }
    const Instant sent = BootClock{}.Now();
    this->log.Read(
        {this->topic, this->next, 0,
         sent.After(this->settings.answer_timeout_ms)},
        [this, alive = this->alive, sent, generation = this->generation,
         done = std::move(done)](KeyedReadReply reply) {
          if (!*alive) {
            return;
          }
          const bool read = reply.failure == KeyedLogFailure::kNone &&
                            generation == this->generation;
          if (read) {
            this->Deliver(reply, sent);
          }
          done(read && this->next >= reply.end);
        });
  }

 private:
  void ReadPage(const std::string& after_key) {
    const Instant sent = BootClock{}.Now();
    this->log.ReadSnapshot(
        {this->topic, after_key, sent.After(this->settings.answer_timeout_ms)},
        [this, alive = this->alive, generation = this->generation, sent,
         after_key](KeyedSnapshotReply reply) {
          if (*alive && generation == this->generation) {
            this->OnPage(reply, sent, after_key);
          }
        });
  }

  // The pages are not read at one point in time, so tailing starts at the end
  // offset that the first page reported. Deliver skips records below the next
  // offset.
  void OnPage(const KeyedSnapshotReply& reply,
              Instant sent,
              const std::string& after_key) {
    // Without a record there is no key to continue after.
    const bool cut = reply.more && reply.records.empty();
    if (reply.failure != KeyedLogFailure::kNone || cut) {
      this->RecordFailure(cut ? KeyedLogFailure::kMalformed : reply.failure);
      this->RetryLater([this, after_key] { this->ReadPage(after_key); });
      return;
    }
    if (after_key.empty()) {
      this->tail_from = reply.end;
      this->snapshot_sent = sent;
    }
    for (const KeyedRecord& record : reply.records) {
      this->keys.insert(record.entry.key);
      this->callbacks.on_record(record);
    }
    if (reply.more) {
      this->ReadPage(reply.records.back().entry.key);
      return;
    }
    this->next = this->tail_from;
    this->loaded = true;
    this->fresh_at = this->snapshot_sent;
    this->RecordSuccess();
    this->callbacks.on_snapshot(std::exchange(this->keys, {}));
    this->ReadTail();
  }

  // After a failure the read does not wait for new records. The view is then up
  // to date as soon as the log answers again, rather than after a full wait.
  void ReadTail() {
    const Instant sent = BootClock{}.Now();
    const std::int64_t wait_ms = this->failing ? 0 : this->settings.wait_ms;
    this->log.Read({this->topic, this->next, wait_ms,
                    sent.After(wait_ms + this->settings.answer_timeout_ms)},
                   [this, alive = this->alive, generation = this->generation,
                    sent, wait_ms](KeyedReadReply reply) {
                     if (*alive && generation == this->generation) {
                       this->OnTail(reply, sent, wait_ms);
                     }
                   });
  }

  // The log returns no records only after the full wait, so nothing was stored
  // up to the end of the wait.
  void OnTail(const KeyedReadReply& reply, Instant sent, std::int64_t wait_ms) {
    if (reply.failure == KeyedLogFailure::kExpired) {
      Log(LogLevel::kWarning, "records expired; reloading from a snapshot",
          {{"topic", this->topic}, {"next", std::to_string(this->next)}});
      this->Start();
      return;
    }
    if (reply.failure != KeyedLogFailure::kNone) {
      this->RecordFailure(reply.failure);
      this->RetryLater([this] { this->ReadTail(); });
      return;
    }
    this->RecordSuccess();
    this->Deliver(reply, reply.records.empty() ? sent.After(wait_ms) : sent);
    if (reply.records.empty() || this->settings.gather_ms == 0 ||
        this->next < reply.end) {
      this->ReadTail();
      return;
    }
    this->gathering = true;
    this->task.PostAt(BootClock{}.Now().After(this->settings.gather_ms),
                      [alive = this->alive, generation = this->generation, this,
                       pause = ++this->pauses] {
                        if (*alive && generation == this->generation &&
                            pause == this->pauses &&
                            std::exchange(this->gathering, false)) {
                          this->ReadTail();
                        }
                      });
  }

  /// Delivers the new records. The reply contains everything stored before
  /// `until`.
  void Deliver(const KeyedReadReply& reply, Instant until) {
    std::map<std::string, Offset> newest;
    if (this->settings.newest_only) {
      for (const KeyedRecord& record : reply.records) {
        newest[record.entry.key] = record.offset;
      }
    }
    for (const KeyedRecord& record : reply.records) {
      const bool superseded = this->settings.newest_only &&
                              newest[record.entry.key] != record.offset;
      if (record.offset >= this->next && !superseded) {
        this->callbacks.on_record(record);
      }
    }
    this->next = std::max(this->next, reply.next);
    if (this->next >= reply.end) {
      this->fresh_at = std::max(this->fresh_at, until);
    }
  }

  void RetryLater(std::function<void()> step) {
    this->task.PostAt(BootClock{}.Now().After(this->settings.retry_delay_ms),
                      [alive = this->alive, generation = this->generation, this,
                       step = std::move(step)] {
                        if (*alive && generation == this->generation) {
                          step();
                        }
                      });
  }

  void RecordFailure(KeyedLogFailure failure) {
    if (!std::exchange(this->failing, true)) {
      Log(LogLevel::kWarning, "dependency lost",
          {{"dependency", "log"},
           {"topic", this->topic},
           {"reason", std::string(NameOf(failure))}});
    }
  }

  void RecordSuccess() {
    if (std::exchange(this->failing, false)) {
      Log(LogLevel::kInfo, "dependency regained",
          {{"dependency", "log"}, {"topic", this->topic}});
    }
  }

  Task& task;
  LogStore& log;
  std::string topic;
  FollowerSettings settings;
  FollowerCallbacks callbacks;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  /// Incremented by each restart. Replies to calls from before the restart are
  /// dropped.
  std::uint64_t generation = 0;
  bool loaded = false;
  bool failing = false;
  bool gathering = false;
  std::uint64_t pauses = 0;
  Offset next = 0;
  Offset tail_from = 0;
  Instant fresh_at;
  Instant snapshot_sent;
  std::set<std::string> keys;
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_TOPIC_FOLLOWER_H_
