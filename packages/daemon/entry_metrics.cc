#include "packages/daemon/entry_metrics.h"

#include <string>

namespace carobrill::daemon {
namespace {

// The components keep their own totals. Raises the metric to such a total.
void RaiseTo(Counter& counter, std::uint64_t total) {
  counter.Increment(total - counter.Value());
}

}  // namespace

EntryMetrics::EntryMetrics(MetricsRegistry& registry)
    : registry(registry),
      applied_offset(registry.GetGauge("carobrill_log_applied_offset",
                                       "Offset after the last folded record")),
      rules_version(registry.GetGauge("carobrill_rules_version",
                                      "Version of the rules in force")),
      log_available(registry.GetGauge("carobrill_log_available",
                                      "1 while the log service answers")),
      is_planning(registry.GetGauge("carobrill_planning",
                                    "1 while this entry plans placements")),
      plan_proposals(
          registry.GetCounter("carobrill_plan_proposals_total",
                              "Records that this entry's planner proposed")),
      plan_rejected(
          registry.GetCounter("carobrill_plan_rejected_total",
                              "Records of this entry's planner that the fold "
                              "rejected")),
      announcing_agents(
          registry.GetGauge("carobrill_agents_heard",
                            "Agents that announce themselves here")),
      control_bytes(
          registry.GetGauge("carobrill_control_bytes_per_second",
                            "Announcements and digests, both directions")),
      queued_requests(registry.GetGauge("carobrill_requests_queued",
                                        "Requests that wait for a slot")),
      attempts_in_flight(registry.GetGauge("carobrill_attempts_in_flight",
                                           "Attempts sent and not answered")),
      requests_shed(registry.GetCounter("carobrill_requests_shed_total",
                                        "Requests refused under load")),
      requests_retried(registry.GetCounter("carobrill_requests_retried_total",
                                           "Attempts that were repeated")),
      requests_hedged(registry.GetCounter("carobrill_requests_hedged_total",
                                          "Second attempts of slow requests")),
      jobs_waiting(
          registry.GetGauge("carobrill_jobs_waiting", "Jobs that wait")),
      guarantee_at_risk(registry.GetGauge(
          "carobrill_guarantee_at_risk_accelerators",
          "Guaranteed accelerators that the hardware cannot hold")) {}

void EntryMetrics::CountRecord(records::Verdict verdict) {
  Counter*& counter = this->records_by_verdict[verdict];
  if (counter == nullptr) {
    counter = &this->registry.GetCounter(
        "carobrill_records_folded_total", "Folded records by verdict",
        {{"verdict", std::string(NameOf(verdict))}});
  }
  counter->Increment();
}

void EntryMetrics::Refresh(const EntrySession& session,
                           const membership::Directory& directory,
                           const RequestExecutor& requests,
                           const PlanningLoop& planning,
                           Instant now) {
  this->applied_offset.Set(static_cast<double>(session.AppliedOffset()));
  this->rules_version.Set(
      static_cast<double>(session.State().Rules().Version()));
  this->log_available.Set(session.InOutage() ? 0 : 1);
  this->is_planning.Set(planning.IsPlanning() ? 1 : 0);
  RaiseTo(this->plan_proposals, planning.Counters().proposals);
  RaiseTo(this->plan_rejected, planning.Counters().rejected);
  this->announcing_agents.Set(
      static_cast<double>(directory.DirectAgentCount()));
  this->control_bytes.Set(
      static_cast<double>(directory.Traffic().BytesPerSecond(now)));
  const auto& dispatcher = requests.Dispatcher();
  this->queued_requests.Set(static_cast<double>(dispatcher.QueueSize()));
  this->attempts_in_flight.Set(static_cast<double>(dispatcher.InFlight()));
  RaiseTo(this->requests_shed, dispatcher.Counters().shed);
  RaiseTo(this->requests_retried, dispatcher.Counters().retries);
  RaiseTo(this->requests_hedged, dispatcher.Counters().hedges);
  double waiting = 0;
  double at_risk = 0;
  for (const auto& account : session.State().GetCluster().Accounts()) {
    waiting += account.waiting_jobs;
    at_risk += account.at_risk;
  }
  this->jobs_waiting.Set(waiting);
  this->guarantee_at_risk.Set(at_risk);
}

}  // namespace carobrill::daemon
