#ifndef PACKAGES_CORE_TASK_SCHEDULER_H_
#define PACKAGES_CORE_TASK_SCHEDULER_H_

#include <functional>
#include <utility>

#include "packages/core/task.h"

namespace carobrill {

/// The concept `Scheduler` on a task and the boot clock.
class TaskScheduler {
 public:
  /// `task` must outlive the scheduler.
  explicit TaskScheduler(Task& task) : task(&task) {}

  /// Time since boot.
  Instant Now() const { return BootClock{}.Now(); }

  /// Runs `message` on the task when `deadline` is reached.
  void PostAt(Instant deadline, std::function<void()> message) {
    this->task->PostAt(deadline, std::move(message));
  }

 private:
  Task* task;
};

}  // namespace carobrill

#endif  // PACKAGES_CORE_TASK_SCHEDULER_H_
