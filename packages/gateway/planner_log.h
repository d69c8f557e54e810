#ifndef PACKAGES_GATEWAY_PLANNER_LOG_H_
#define PACKAGES_GATEWAY_PLANNER_LOG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "packages/core/metrics.h"
#include "packages/workload/planner_event.h"

namespace carobrill::gateway {

/// Logs the planner's decisions and counts them in metrics.
class PlannerLog {
 public:
  explicit PlannerLog(MetricsRegistry& metrics);

  /// Logs and counts `events` of the planner term `epoch`.
  void Write(const std::vector<workload::PlannerEvent>& events,
             std::uint64_t epoch);

  /// Records that a planning pass took `duration_ms`, including the encoding of
  /// what it changed. A pass of `slow_ms` or more is logged.
  void ObservePass(std::int64_t duration_ms,
                   std::int64_t slow_ms,
                   std::uint64_t epoch);

  /// Sets the number of workers that are known to be slow.
  void SetSlowWorkers(std::size_t count) {
    this->slow_workers.Set(static_cast<double>(count));
  }

 private:
  std::map<workload::PlannerEventKind, Counter*> counters;
  Histogram& start_wait;
  Histogram& run_time;
  Histogram& pass_time;
  Gauge& slow_workers;
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_PLANNER_LOG_H_
