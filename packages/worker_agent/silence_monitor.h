#ifndef PACKAGES_WORKER_AGENT_SILENCE_MONITOR_H_
#define PACKAGES_WORKER_AGENT_SILENCE_MONITOR_H_

#include <cstdint>

#include "packages/core/time.h"
#include "packages/workload/job.h"

namespace carobrill::worker_agent {

/// Tells whether the worker returns its lists. A worker that does not may
/// execute calls without answering them, so renewing its leases would keep runs
/// whose state nobody knows.
class SilenceMonitor {
 public:
  /// `max_silence_ms` is how long the worker may be silent.
  explicit SilenceMonitor(std::int64_t max_silence_ms)
      : max_silence_ms(max_silence_ms) {}

  /// The worker has returned its lists. Returns true if it was unresponsive.
  bool OnAnswer(const workload::WorkerIncarnation& worker);

  /// The worker has not returned its lists. Returns true if it is unresponsive
  /// from now on.
  bool OnFailure(const workload::WorkerIncarnation& worker);

  /// The worker's process has ended.
  void OnEnd() { this->unresponsive = false; }

  /// True while the worker has been silent for too long.
  bool Unresponsive() const { return this->unresponsive; }

 private:
  std::int64_t max_silence_ms;
  /// Boot clock: when the worker last returned its lists.
  Instant answered_at = Instant::Never();
  /// Number of requests without an answer since then.
  std::uint32_t failures = 0;
  bool unresponsive = false;
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_SILENCE_MONITOR_H_
