#include "packages/worker_agent/worker_log.h"

#include <string>

#include "packages/core/log.h"

namespace carobrill::worker_agent {

void LogWorkerState(const workload::WorkerDescription& description) {
  Log(LogLevel::kInfo, "worker_state",
      {{"worker", description.incarnation.id.value},
       {"born_ms", std::to_string(description.incarnation.born_ms)},
       {"state", std::string(NameOf(description.availability))},
       {"cpu_millis", std::to_string(description.capacity.cpu_millis)},
       {"memory_mb", std::to_string(description.capacity.memory_mb)},
       {"accelerators", std::to_string(description.capacity.accelerators)}});
}

void LogWorkerGone(const workload::WorkerIncarnation& life,
                   std::string_view reason,
                   WorkerExit exit) {
  Log(LogLevel::kWarning, "worker_gone",
      {{"worker", life.id.value},
       {"born_ms", std::to_string(life.born_ms)},
       {"reason", std::string(reason)},
       {"exit", std::string(NameOf(exit))}});
}

void LogWorkerRestarted(const workload::WorkerIncarnation& life,
                        std::int64_t born_ms) {
  Log(LogLevel::kWarning, "worker_restarted",
      {{"worker", life.id.value},
       {"earlier_born_ms", std::to_string(life.born_ms)},
       {"born_ms", std::to_string(born_ms)}});
}

void LogShutdownUnanswered(const workload::WorkerIncarnation& life) {
  Log(LogLevel::kWarning, "shutdown_unanswered", {{"worker", life.id.value}});
}

void LogShutdownRefuted(const workload::WorkerIncarnation& life) {
  Log(LogLevel::kWarning, "shutdown_refuted", {{"worker", life.id.value}});
}

void LogWorkerUnresponsive(const workload::WorkerIncarnation& life,
                           std::int64_t silent_ms) {
  Log(LogLevel::kWarning, "worker_unresponsive",
      {{"worker", life.id.value}, {"silent_ms", std::to_string(silent_ms)}});
}

void LogWorkerResponds(const workload::WorkerIncarnation& life,
                       std::int64_t silent_ms) {
  Log(LogLevel::kInfo, "worker_responds",
      {{"worker", life.id.value}, {"silent_ms", std::to_string(silent_ms)}});
}

void LogStartWithdrawn(const RunKey& run) {
  Log(LogLevel::kInfo, "start_withdrawn",
      {{"job", run.first.job.value},
       {"task", run.first.Position()},
       {"run", std::to_string(run.second)},
       {"reason", "exceeds the worker's capacity"}});
}

}  // namespace carobrill::worker_agent
