#ifndef PACKAGES_CORE_TASK_SCHEDULER_H_
#define PACKAGES_CORE_TASK_SCHEDULER_H_

#include <functional>
#include <utility>

#include "packages/core/task.h"

namespace carobrill {

/// Implements the concept `Scheduler` with a task and the boot clock.
class TaskScheduler {
 public:
  /// `task` must outlive the scheduler.
  explicit TaskScheduler(Task& task) : task(&task) {}

  /// Returns the boot clock time.
  Instant Now() const { return BootClock{}.Now(); }

  /// Runs `message` on the task once when `deadline` is reached.
  void PostAt(Instant deadline, std::function<void()> message) {
    this->task->PostAt(deadline, std::move(message));
  }

 private:
  Task* task;
};

}  // namespace carobrill

#endif  // PACKAGES_CORE_TASK_SCHEDULER_H_
