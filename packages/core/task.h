#ifndef PACKAGES_CORE_TASK_H_
#define PACKAGES_CORE_TASK_H_

#include <glib.h>

#include <functional>
#include <string>
#include <thread>

#include "packages/core/time.h"

namespace carobrill {

/// A thread with its own GLib main context. A task owns its sockets and state;
/// other tasks reach it only by messages, which run on its thread in the order
/// of posting.
class Task {
 public:
  using Message = std::function<void()>;

  /// Starts the thread; `name` is shown in thread lists (15 characters).
  explicit Task(std::string name);

  /// Stops the loop after the message being run and joins the thread.
  ~Task();

  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  /// Runs `message` on the task's thread. Safe from any thread.
  void Post(Message message);

  /// Runs `message` once when `deadline` (boot clock) is reached.
  void PostAt(Instant deadline, Message message);

  /// Runs `message` every `interval_ms`, counted from the end of each run.
  void PostEvery(std::int64_t interval_ms, Message message);

  /// Runs `function` on the task's thread and waits for it; on that thread it
  /// runs at once.
  void Run(const Message& function);

  /// Stops the loop; messages posted later are dropped.
  void Stop();

  /// The context on which the task's GLib sources run.
  GMainContext* Context() const { return this->context; }

  /// True on the task's own thread.
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
