#include "packages/gateway/planner_log.h"

#include "packages/core/log.h"

namespace carobrill::gateway {
namespace {

using workload::PlannerEvent;
using workload::PlannerEventKind;

constexpr double kMsPerSecond = 1000;

}  // namespace

PlannerLog::PlannerLog(MetricsRegistry& metrics)
    : start_wait(metrics.GetHistogram(
          "carobrill_task_start_wait_seconds",
          "Time from when a task could run to its assignment.",
          LatencyBounds())),
      run_time(metrics.GetHistogram(
          "carobrill_task_run_seconds",
          "Time from the assignment of a run to the report of its end.",
          LatencyBounds())),
      pass_time(
          metrics.GetHistogram("carobrill_planning_pass_seconds",
                               "Time that a planning pass took, including the "
                               "encoding of what it changed.",
                               LatencyBounds())),
      slow_workers(metrics.GetGauge(
          "carobrill_slow_workers",
          "Workers that are slow by their runs, while work is placed by "
          "speed.")) {
  for (const auto& [kind, name] : NamesOf(PlannerEventKind{}).entries) {
    this->counters[kind] = &metrics.GetCounter(
        "carobrill_planner_events_total", "Decisions of the planner, by kind.",
        {{"kind", std::string(name)}});
  }
}

void PlannerLog::Write(const std::vector<PlannerEvent>& events,
                       std::uint64_t epoch) {
  for (const PlannerEvent& event : events) {
    this->counters.at(event.kind)->Increment();
    if (event.kind == PlannerEventKind::kAssigned) {
      this->start_wait.Observe(static_cast<double>(event.age_ms) /
                               kMsPerSecond);
    } else if (event.kind == PlannerEventKind::kRunEnded) {
      this->run_time.Observe(static_cast<double>(event.age_ms) / kMsPerSecond);
    }
    Log(LogLevel::kInfo, NameOf(event.kind),
        {{"job", event.task.job.value},
         {"task", event.task.job.empty() ? "" : event.task.Position()},
         {"run", std::to_string(event.run)},
         {"worker", event.worker.value},
         {"detail", event.detail},
         {"age_ms", std::to_string(event.age_ms)},
         {"slack_ms", event.slack_ms.has_value()
                          ? std::to_string(*event.slack_ms)
                          : std::string()},
         {"epoch", std::to_string(epoch)}});
  }
}

// During a pass, the instance does nothing else: no heartbeat, no answer.
void PlannerLog::ObservePass(std::int64_t duration_ms,
                             std::int64_t slow_ms,
                             std::uint64_t epoch) {
  this->pass_time.Observe(static_cast<double>(duration_ms) / kMsPerSecond);
  if (duration_ms >= slow_ms) {
    Log(LogLevel::kWarning, "slow_planning_pass",
        {{"duration_ms", std::to_string(duration_ms)},
         {"epoch", std::to_string(epoch)}});
  }
}

}  // namespace carobrill::gateway
