#ifndef PACKAGES_WORKER_AGENT_LEASE_TIMER_H_
#define PACKAGES_WORKER_AGENT_LEASE_TIMER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "packages/core/task.h"

namespace carobrill::worker_agent {

/// Schedules the calls that renew the worker's leases, one at a time.
class LeaseTimer {
 public:
  LeaseTimer(Task& task, std::function<void()> send)
      : task(task), send(std::move(send)) {}
  ~LeaseTimer() { *this->alive = false; }

  LeaseTimer(const LeaseTimer&) = delete;
  LeaseTimer& operator=(const LeaseTimer&) = delete;

  /// Schedules the next call instead of any that is scheduled or in flight.
  void Schedule(std::int64_t delay_ms) {
    this->delayed = delay_ms > 0;
    this->task.PostAt(BootClock{}.Now().After(delay_ms),
                      [this, alive = this->alive, call = ++this->current_call] {
                        if (*alive && call == this->current_call) {
                          this->delayed = false;
                          this->send();
                        }
                      });
  }

  /// Number of the call that is scheduled or in flight. The answers to earlier
  /// ones are outdated.
  std::uint64_t CurrentCall() const { return this->current_call; }

  /// Returns whether the next call waits for its time.
  bool Delayed() const { return this->delayed; }

 private:
  Task& task;
  std::function<void()> send;
  std::uint64_t current_call = 0;
  bool delayed = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_LEASE_TIMER_H_
