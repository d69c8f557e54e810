#ifndef PACKAGES_DAEMON_ENTRY_METRICS_H_
#define PACKAGES_DAEMON_ENTRY_METRICS_H_

#include <map>

#include "packages/core/metrics.h"
#include "packages/daemon/entry_session.h"
#include "packages/daemon/planning_loop.h"
#include "packages/daemon/request_path.h"
#include "packages/membership/directory.h"
#include "packages/records/verdict.h"

namespace carobrill::daemon {

/// The metrics of an entry; refreshed on its task.
class EntryMetrics {
 public:
  explicit EntryMetrics(MetricsRegistry& registry);

  /// Counts a folded record by its verdict.
  void OnFolded(records::Verdict verdict);

  /// Takes the present state.
  void Refresh(const EntrySession& session,
               const membership::Directory& directory,
               const RequestPath& requests,
               const PlanningLoop& planning,
               Instant now);

 private:
  MetricsRegistry& registry;
  std::map<records::Verdict, Counter*> folded;
  Gauge& applied_offset;
  Gauge& rules_version;
  Gauge& log_available;
  Gauge& planning_now;
  Counter& plan_proposals;
  Counter& plan_rejected;
  Gauge& agents_heard;
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
