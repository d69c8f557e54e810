#ifndef PACKAGES_WORKER_AGENT_WORKER_LOG_H_
#define PACKAGES_WORKER_AGENT_WORKER_LOG_H_

#include <cstdint>
#include <string_view>

#include "packages/worker_agent/run_table.h"
#include "packages/workload/worker.h"

// Log lines of what an agent believes about its worker.

namespace carobrill::worker_agent {

void LogWorkerState(const workload::WorkerDescription& description);

void LogWorkerGone(const workload::WorkerIncarnation& life,
                   std::string_view reason,
                   WorkerExit exit);

/// `born_ms` is the start time of the worker's new process.
void LogWorkerRestarted(const workload::WorkerIncarnation& life,
                        std::int64_t born_ms);

/// The worker does not answer after it has announced its shutdown.
void LogShutdownUnanswered(const workload::WorkerIncarnation& life);

/// The worker is at work, although it has announced its shutdown.
void LogShutdownRefuted(const workload::WorkerIncarnation& life);

/// The worker has not returned its lists for `silent_ms`.
void LogWorkerUnresponsive(const workload::WorkerIncarnation& life,
                           std::int64_t silent_ms);

/// The worker has returned its lists again.
void LogWorkerResponds(const workload::WorkerIncarnation& life,
                       std::int64_t silent_ms);

void LogStartWithdrawn(const RunKey& run);

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_WORKER_LOG_H_
