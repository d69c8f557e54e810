#include "packages/worker_agent/silence_monitor.h"

#include <utility>

#include "packages/worker_agent/worker_log.h"

namespace carobrill::worker_agent {
namespace {

/// After a pause of the agent itself, the request in flight fails although the
/// worker is well.
constexpr std::uint32_t kMinFailures = 2;

}  // namespace

bool SilenceMonitor::OnAnswer(const workload::WorkerIncarnation& worker) {
  const Instant now = BootClock{}.Now();
  const Instant before = std::exchange(this->answered_at, now);
  this->failures = 0;
  if (!std::exchange(this->unresponsive, false)) {
    return false;
  }
  LogWorkerResponds(worker, now.ms - before.ms);
  return true;
}

bool SilenceMonitor::OnFailure(const workload::WorkerIncarnation& worker) {
  const std::int64_t silent_ms = BootClock{}.Now().ms - this->answered_at.ms;
  ++this->failures;
  if (this->answered_at == Instant::Never() || this->failures < kMinFailures ||
      silent_ms < this->max_silence_ms ||
      std::exchange(this->unresponsive, true)) {
    return false;
  }
  LogWorkerUnresponsive(worker, silent_ms);
  return true;
}

}  // namespace carobrill::worker_agent
