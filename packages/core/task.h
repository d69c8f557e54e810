#ifndef PACKAGES_CORE_TASK_H_
#define PACKAGES_CORE_TASK_H_

#include <glib.h>

#include <functional>
#include <string>
#include <thread>

#include "packages/core/time.h"

namespace carobrill {

/// A thread with its own event loop (GLib main context); not a task of a job. A
/// task owns its sockets and state; other tasks access them only through
/// messages, which run on the task's thread in the order in which they were
/// posted.
class Task {
 public:
  using Message = std::function<void()>;

  /// Starts the thread. The first 15 characters of `name` become the thread's
  /// name.
  explicit Task(std::string name);

  /// Stops the loop, as Stop does, and joins the thread.
  ~Task();

  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  /// Runs `message` on the task's thread. Thread-safe.
  void Post(Message message);

  /// Runs `message` once when the boot clock reaches `deadline`.
  void PostAt(Instant deadline, Message message);

  /// Runs `message` every `interval_ms`, counted from the end of each run.
  void PostEvery(std::int64_t interval_ms, Message message);

  /// Runs `function` on the task's thread and waits until it has finished. When
  /// called on that thread, calls it directly.
  void Run(const Message& function);

  /// Stops the loop; messages posted later are dropped.
  void Stop();

  /// Returns the main context of the task's GLib sources.
  GMainContext* Context() const { return this->context; }

  /// True when called on the task's own thread.
  bool OnOwnThread() const;

 private:
  void Loop();

  std::string name;
  GMainContext* context;
  GMainLoop* loop;
  std::thread thread;
};

}  // namespace carobrill

#endif  // PACKAGES_CORE_TASK_H_
