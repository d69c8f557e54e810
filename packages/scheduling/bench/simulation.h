#ifndef PACKAGES_SCHEDULING_BENCH_SIMULATION_H_
#define PACKAGES_SCHEDULING_BENCH_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/scheduling/bench/load.h"
#include "packages/scheduling/bench/policies.h"

namespace carobrill::scheduling::bench {

/// Metrics of one run; times are in seconds.
struct RunResult {
  std::map<std::string, double> values;
};

inline double Quantile(std::vector<double> values, double q) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const double at = q * static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(at))];
}

/// Runs the scheduler against a generated load on a virtual clock. A simple
/// model of the agents prepares, starts and ends gangs.
template <PlanningPolicy Policy>
class Simulation {
 public:
  Simulation(const Deployment& wanted,
             std::vector<LoadJob> jobs,
             const Charts& charts)
      : deployment(wanted), load(std::move(jobs)), cluster(charts) {
    for (std::uint32_t i = 0; i < wanted.workers; ++i) {
      this->Register(i);
    }
    this->cluster.SetPolicy(wanted.policy, Instant{0});
    for (std::size_t i = 0; i < this->load.size(); ++i) {
      this->index[this->load[i].id] = i;
      this->Schedule(this->load[i].submitted_at, EventType::kSubmit, i, 0);
      if (this->load[i].cancelled_at < Instant::Never()) {
        this->Schedule(this->load[i].cancelled_at, EventType::kCancel, i, 0);
      }
    }
    this->states.resize(this->load.size());
  }

  RunResult Run() {
    const std::int64_t horizon = 2 * this->deployment.length_ms;
    while (!this->events.empty() && this->events.top().at.ms <= horizon) {
      const Instant at = this->events.top().at;
      this->MeasureUntil(at);
      this->now = at;
      while (!this->events.empty() && this->events.top().at == at) {
        const Event event = this->events.top();
        this->events.pop();
        this->Handle(event);
      }
      this->PlanOnce();
    }
    return this->Summarise(horizon);
  }

 private:
  static constexpr std::int64_t kPrepareMs = 20;
  static constexpr std::int64_t kStartMs = 30;
  static constexpr std::int64_t kStopMs = 300;
  static constexpr std::int64_t kCheckpointMs = 2'000;
  /// Interval of plans while no event occurs, because aging and backoff depend
  /// on time alone.
  static constexpr std::int64_t kTickMs = 1'000;
  static constexpr std::int64_t kLogLatencyMs = 5;

  enum class EventType {
    kSubmit,
    kCancel,
    kPrepared,
    kStarted,
    kDone,
    kStopped,
    kTick
  };
  struct Event {
    Instant at;
    std::uint64_t order = 0;
    EventType type = EventType::kTick;
    std::size_t job = 0;
    std::uint32_t attempt = 0;

    bool operator>(const Event& other) const {
      return std::pair(this->at, this->order) >
             std::pair(other.at, other.order);
    }
  };
  struct SimulatedJob {
    std::int64_t progress_ms = 0;
    Instant started_at = Instant::Never();
    Instant first_start = Instant::Never();
    Instant ended_at = Instant::Never();
    std::uint32_t prepared_attempt = 0;
    std::uint32_t stopped_attempt = 0;
  };

  void Register(std::uint32_t number) {
    records::Record record;
    auto& body = *record.mutable_worker_registered();
    body.set_worker("worker-" + std::to_string(1000 + number));
    body.set_incarnation(1);
    const std::uint32_t rack = number / this->deployment.workers_per_rack;
    body.set_rack("rack-" + std::to_string(rack));
    body.set_failure_domain("domain-" +
                            std::to_string(rack % this->deployment.domains));
    body.set_region("region");
    body.mutable_capacity()->set_accelerators(8);
    body.mutable_capacity()->set_cores_milli(this->deployment.cores_milli);
    body.mutable_capacity()->set_memory_mb(this->deployment.memory_mb);
    this->Apply(record);
  }

  void Schedule(Instant at,
                EventType type,
                std::size_t job,
                std::uint32_t attempt) {
    this->events.push(Event{at, this->order++, type, job, attempt});
  }

  records::Verdict Apply(const records::Record& record) {
    const auto verdict = this->cluster.Apply(record, this->offset++, this->now);
    if (record.has_gang_placed()) {
      ++(verdict == records::Verdict::kAccepted ? this->placements
                                                : this->rejected);
      this->preempted +=
          static_cast<std::uint64_t>(record.gang_placed().victims_size());
    }
    return verdict;
  }

  void Handle(const Event& event) {
    const LoadJob& job = this->load[event.job];
    SimulatedJob& state = this->states[event.job];
    records::Record record;
    GangReport report;
    report.job = JobId(job.id);
    report.attempt = event.attempt;
    switch (event.type) {
      case EventType::kSubmit:
        record.mutable_job_submitted()->set_job(job.id);
        *record.mutable_job_submitted()->mutable_spec() = job.spec;
        if (this->Apply(record) != records::Verdict::kAccepted) {
          ++this->refused;
        }
        break;
      case EventType::kCancel:
        record.mutable_job_cancelled()->set_job(job.id);
        this->Apply(record);
        break;
      case EventType::kPrepared:
        report.phase = GangPhase::kPrepared;
        this->view.reports.push_back(report);
        break;
      case EventType::kStarted:
        report.phase = GangPhase::kStarted;
        this->view.reports.push_back(report);
        break;
      case EventType::kDone:
        this->ReportEnd(event, report, records::GANG_OUTCOME_SUCCEEDED);
        break;
      case EventType::kStopped:
        this->ReportStop(event, report, state);
        break;
      case EventType::kTick:
        break;
    }
    if (event.type == EventType::kTick) {
      this->tick_pending = false;
    }
  }

  void ReportEnd(const Event& event,
                 GangReport& report,
                 records::GangOutcome outcome) {
    const Job* job = this->cluster.FindJob(report.job);
    const bool current = job != nullptr && job->attempt == event.attempt &&
                         job->state == scheduling::JobState::kRunning;
    if (!current) {
      return;
    }
    report.phase = GangPhase::kEnded;
    report.outcome = outcome;
    report.run_ms = this->now.ms - this->states[event.job].started_at.ms;
    this->view.reports.push_back(report);
  }

  void ReportStop(const Event& event, GangReport& report, SimulatedJob& state) {
    const LoadJob& job = this->load[event.job];
    const bool checkpoint =
        job.spec.preemption() == records::PREEMPTION_CHECKPOINT;
    const std::int64_t ran = state.started_at < Instant::Never()
                                 ? this->now.ms - state.started_at.ms
                                 : 0;
    state.progress_ms = checkpoint ? state.progress_ms + ran : 0;
    report.phase = GangPhase::kEnded;
    report.outcome = checkpoint ? records::GANG_OUTCOME_CHECKPOINTED
                                : records::GANG_OUTCOME_STOPPED;
    report.checkpoint = checkpoint ? "checkpoint" : "";
    report.run_ms = checkpoint ? ran : 0;
    this->view.reports.push_back(report);
  }

  void PlanOnce() {
    Plan plan = this->policy.Propose(this->cluster, this->now, this->view);
    this->view.reports.clear();
    for (const auto& record : plan.records) {
      if (this->Apply(record) == records::Verdict::kAccepted) {
        this->ScheduleFollowUp(record);
      }
    }
    this->ScheduleStateReports();
    // The next plan is made once the records of this one have been read back
    // from the log.
    const std::int64_t wait_ms = plan.records.empty() ? kTickMs : kLogLatencyMs;
    const bool jobs_left = !this->cluster.Queue().empty() ||
                           !this->view.reports.empty() || !plan.records.empty();
    if (jobs_left && !this->tick_pending) {
      this->tick_pending = true;
      this->Schedule(this->now.After(wait_ms), EventType::kTick, 0, 0);
    }
  }

  void ScheduleFollowUp(const records::Record& record) {
    if (record.has_gang_start_committed()) {
      const auto& body = record.gang_start_committed();
      this->Schedule(this->now.After(kStartMs), EventType::kStarted,
                     this->index.at(body.job()), body.attempt());
    } else if (record.has_gang_started()) {
      const auto& body = record.gang_started();
      const std::size_t job = this->index.at(body.job());
      SimulatedJob& state = this->states[job];
      state.started_at = this->now;
      state.first_start = std::min(state.first_start, this->now);
      const std::int64_t left =
          std::max<std::int64_t>(1, this->load[job].run_ms - state.progress_ms);
      this->Schedule(this->now.After(left), EventType::kDone, job,
                     body.attempt());
    } else if (record.has_gang_ended()) {
      const std::size_t job = this->index.at(record.gang_ended().job());
      this->states[job].started_at = Instant::Never();
      if (IsEnded(this->cluster.FindJob(JobId(this->load[job].id))->state)) {
        this->states[job].ended_at = this->now;
      }
    }
  }

  void ScheduleStateReports() {
    using ClusterJobState = scheduling::JobState;
    for (const auto& [since, id] :
         this->cluster.JobsInState(ClusterJobState::kPlaced)) {
      const Job& job = *this->cluster.FindJob(id);
      const std::size_t at = this->index.at(id.value);
      if (job.pending_victims.empty() &&
          this->states[at].prepared_attempt != job.attempt) {
        this->states[at].prepared_attempt = job.attempt;
        this->Schedule(this->now.After(kPrepareMs), EventType::kPrepared, at,
                       job.attempt);
      }
    }
    for (const auto& [since, id] :
         this->cluster.JobsInState(ClusterJobState::kStopping)) {
      const Job& job = *this->cluster.FindJob(id);
      const std::size_t at = this->index.at(id.value);
      if (this->states[at].stopped_attempt != job.attempt) {
        this->states[at].stopped_attempt = job.attempt;
        const bool checkpoint =
            job.spec.preemption() == records::PREEMPTION_CHECKPOINT;
        this->Schedule(this->now.After(checkpoint ? kCheckpointMs : kStopMs),
                       EventType::kStopped, at, job.attempt);
      }
    }
  }

  /// Integrates fragmentation and utilization up to `until`.
  void MeasureUntil(Instant until) {
    const double duration_ms =
        static_cast<double>(std::min(until.ms, this->deployment.length_ms) -
                            std::min(this->now.ms, this->deployment.length_ms));
    const CellCounts& free = this->cluster.GetAllocator().Free().Total();
    const std::uint32_t total = SplitCount(free, 1);
    if (total > 0) {
      const std::uint32_t whole = 8 * SplitCount(free, 8);
      this->fragmented +=
          duration_ms * (1.0 - static_cast<double>(whole) / total);
      this->free_ms += duration_ms;
    }
    this->used += duration_ms * (8.0 * this->deployment.workers - total);
  }

  RunResult Summarise(std::int64_t horizon) {
    RunResult result;
    auto& values = result.values;
    std::map<std::string, std::vector<double>> completion;
    std::map<std::string, std::vector<double>> wait;
    std::vector<double> peak_wait;
    std::uint64_t unfinished = 0;
    for (std::size_t i = 0; i < this->load.size(); ++i) {
      const LoadJob& job = this->load[i];
      const SimulatedJob& state = this->states[i];
      if (job.cancelled_at < Instant::Never()) {
        continue;
      }
      const auto since_submit = [&](Instant at) {
        return static_cast<double>(std::min(at.ms, horizon) -
                                   job.submitted_at.ms) /
               1000.0;
      };
      unfinished += state.ended_at == Instant::Never() ? 1 : 0;
      const std::string kind(NameOf(job.kind));
      completion[kind].push_back(since_submit(state.ended_at));
      completion["all"].push_back(since_submit(state.ended_at));
      wait[kind].push_back(since_submit(state.first_start));
      if (job.spec.job_class() == records::JOB_CLASS_URGENT) {
        wait["urgent"].push_back(since_submit(state.first_start));
      }
      if (job.at_peak) {
        peak_wait.push_back(since_submit(state.first_start));
      }
    }
    for (const auto& [kind, times] : completion) {
      values["completion_" + kind + "_median_s"] = Quantile(times, 0.5);
      values["completion_" + kind + "_p99_s"] = Quantile(times, 0.99);
    }
    for (const auto& [kind, times] : wait) {
      values["wait_" + kind + "_median_s"] = Quantile(times, 0.5);
      values["wait_" + kind + "_p99_s"] = Quantile(times, 0.99);
    }
    values["wait_large_max_s"] = Quantile(wait["large"], 1.0);
    const auto started_in_time =
        std::count_if(peak_wait.begin(), peak_wait.end(),
                      [](double seconds) { return seconds <= 10.0; });
    values["peak_started_in_10s"] =
        static_cast<double>(started_in_time) /
        static_cast<double>(std::max<std::size_t>(1, peak_wait.size()));
    values["peak_wait_p99_s"] = Quantile(peak_wait, 0.99);
    values["fragmentation"] = this->fragmented / std::max(1.0, this->free_ms);
    values["utilisation"] =
        this->used / (8.0 * this->deployment.workers *
                      static_cast<double>(this->deployment.length_ms));
    values["jobs"] = static_cast<double>(this->load.size());
    values["unfinished"] = static_cast<double>(unfinished);
    values["refused"] = static_cast<double>(this->refused);
    values["preempted"] = static_cast<double>(this->preempted);
    values["placements"] = static_cast<double>(this->placements);
    values["rejected"] = static_cast<double>(this->rejected);
    return result;
  }

  const Deployment& deployment;
  std::vector<LoadJob> load;
  Cluster cluster;
  Policy policy;
  PlannerInput view;
  Instant now;
  Offset offset = 0;
  std::uint64_t order = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::map<std::string, std::size_t> index;
  std::vector<SimulatedJob> states;
  bool tick_pending = false;
  double fragmented = 0;
  double free_ms = 0;
  double used = 0;
  std::uint64_t refused = 0;
  std::uint64_t preempted = 0;
  std::uint64_t placements = 0;
  std::uint64_t rejected = 0;
};

}  // namespace carobrill::scheduling::bench

#endif  // PACKAGES_SCHEDULING_BENCH_SIMULATION_H_
