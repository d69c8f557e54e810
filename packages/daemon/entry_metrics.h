#ifndef PACKAGES_DAEMON_ENTRY_METRICS_H_
#define PACKAGES_DAEMON_ENTRY_METRICS_H_

#include <map>

#include "packages/core/metrics.h"
#include "packages/daemon/entry_session.h"
#include "packages/daemon/planning_loop.h"
#include "packages/daemon/request_executor.h"
#include "packages/membership/directory.h"
#include "packages/records/verdict.h"

namespace carobrill::daemon {

/// The metrics of an entry. Updated on the entry's task only.
class EntryMetrics {
 public:
  explicit EntryMetrics(MetricsRegistry& registry);

  /// Counts a record of the log by its verdict.
  void CountRecord(records::Verdict verdict);

  /// Updates the metrics from the current state of the components.
  void Refresh(const EntrySession& session,
               const membership::Directory& directory,
               const RequestExecutor& requests,
               const PlanningLoop& planning,
               Instant now);

 private:
  MetricsRegistry& registry;
  std::map<records::Verdict, Counter*> records_by_verdict;
  Gauge& applied_offset;
  Gauge& rules_version;
  Gauge& log_available;
  Gauge& is_planning;
  Counter& plan_proposals;
  Counter& plan_rejected;
  Gauge& announcing_agents;
  Gauge& control_bytes;
  Gauge& queued_requests;
  Gauge& attempts_in_flight;
  Counter& requests_shed;
  Counter& requests_retried;
  Counter& requests_hedged;
  Gauge& jobs_waiting;
  Gauge& guarantee_at_risk;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_ENTRY_METRICS_H_
