#ifndef PACKAGES_GATEWAY_PLANNER_LOG_H_
#define PACKAGES_GATEWAY_PLANNER_LOG_H_

#include <cstdint>
#include <map>
#include <vector>

#include "packages/core/metrics.h"
#include "packages/workload/planner_event.h"

namespace carobrill::gateway {

/// Writes the planner's decisions to the log and counts them.
class PlannerLog {
 public:
  explicit PlannerLog(MetricsRegistry& metrics);

  /// Logs and counts `events` of the term `epoch`.
  void Write(const std::vector<workload::PlannerEvent>& events,
             std::uint64_t epoch);

 private:
  std::map<workload::PlannerEventKind, Counter*> counters;
  Histogram& start_wait;
  Histogram& run_time;
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_PLANNER_LOG_H_
