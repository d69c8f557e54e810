// The part of JobPlanner that learns from runs and derives the speed that a
// waiting unit needs.

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <string>

#include "packages/workload/job_planner.h"

namespace carobrill::workload {
namespace {

/// Time from an assignment to the start of the work, and from its end to the
/// report: a stored append, an order and a list of the worker.
constexpr std::int64_t kStartAndReportMs = 300;

/// Margin for tasks that take longer than expected.
constexpr double kSpeedMargin = 1.15;

/// Speeds are compared in steps of this size, so that units with similar needs
/// share the searches of a pass that have failed.
constexpr double kSpeedStep = 0.1;

/// Share of a service's workers of known speed that must be slow, and their
/// least number, before work is placed by speed. Where few are, waiting for a
/// fast worker and packing by speed cost more than a late end now and then.
/// Above what faults and scatter show where workers are alike: 10 % and two
/// workers placed a quarter of the tasks by speed where speeds are 0.8 to 1.25.
constexpr std::size_t kMinSlowPercent = 25;
constexpr std::size_t kMinSlowWorkers = 4;

/// Share at which that ends. Placing by speed leaves slow workers idle, so that
/// fewer of them stay known.
constexpr std::size_t kEndSlowPercent = 10;
constexpr std::size_t kPercent = 100;

}  // namespace

bool JobPlanner::HasLearned() const {
  return this->settings.learn_run_times && this->estimator.ChangedSinceEncode();
}

ObservedRun JobPlanner::Observe(const Job& job,
                                const TaskKey& key,
                                const TaskState& task,
                                Instant read_at) const {
  ObservedRun seen;
  seen.submission = &job.submission;
  seen.step = key.step;
  seen.task = key;
  seen.run = task.run;
  seen.worker = task.worker;
  seen.far = !task.full_speed_rack;
  seen.worked_ms =
      task.listed_since == Instant::Never()
          ? 0
          : std::max<std::int64_t>(0, read_at.ms - task.listed_since.ms);
  seen.percent = task.percent;
  seen.now = read_at;
  return seen;
}

void JobPlanner::UpdateSpeeds() {
  if (!this->settings.learn_run_times) {
    return;
  }
  struct Count {
    std::size_t known = 0;
    std::size_t slow = 0;
  };
  std::map<ServiceId, Count> counts;
  for (auto& [agent, worker] : this->workers) {
    const WorkerIncarnation& incarnation = worker.description.incarnation;
    worker.speed = this->estimator.SpeedOf(incarnation);
    worker.speed_known = this->estimator.SpeedSamples(incarnation) > 0;
    Count& count = counts[worker.description.service];
    count.known += worker.speed_known ? 1 : 0;
    count.slow += worker.speed < kSlowWorkerSpeed ? 1 : 0;
  }
  for (const auto& [service, count] : counts) {
    const std::size_t min_percent = this->uneven_services.contains(service)
                                        ? kEndSlowPercent
                                        : kMinSlowPercent;
    if (count.slow >= kMinSlowWorkers &&
        count.slow * kPercent >= count.known * min_percent) {
      this->uneven_services.insert(service);
    } else {
      this->uneven_services.erase(service);
    }
  }
  for (auto& [agent, worker] : this->workers) {
    if (!this->uneven_services.contains(worker.description.service)) {
      worker.speed = 1;
      worker.speed_known = true;
    }
  }
}

// Answers loads on workers of unequal speed: a gang ends with its slowest
// member, and an urgent objective leaves no room for a slow one. Other work
// takes the slow workers first, so that the fast ones are free for it.
void JobPlanner::SetSpeedNeeds(WaitingUnit& waiting, Instant wall) const {
  const Job& job = *waiting.job;
  const std::uint32_t occurrence = waiting.unit.occurrence;
  if (waiting.unit.Spec().long_running ||
      !this->uneven_services.contains(job.submission.service)) {
    return;
  }
  waiting.unit.speed_preference = job.submission.priority == 0
                                      ? SpeedPreference::kFast
                                      : SpeedPreference::kSlow;
  const auto remaining_ms =
      static_cast<double>(this->objective.RemainingMs(job, occurrence));
  const auto left_ms =
      static_cast<double>(this->objective.DeadlineOf(job, occurrence).ms -
                          wall.ms - kStartAndReportMs);
  if (left_ms <= 0) {
    return;
  }
  const double required = kSpeedMargin * remaining_ms / left_ms;
  waiting.required_speed =
      kSpeedStep * static_cast<double>(static_cast<int>(required / kSpeedStep));
}

std::size_t JobPlanner::CountSlowWorkers() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->workers,
      [](const auto& entry) { return entry.second.speed < kSlowWorkerSpeed; }));
}

std::string JobPlanner::DescribeAssignment(
    const WaitingUnit& waiting,
    const std::vector<std::size_t>& workers,
    const Pass& pass) const {
  std::string text = waiting.unit.Spec().gang ? "gang" : "task";
  if (waiting.unit.speed_preference == SpeedPreference::kNone) {
    return text;
  }
  double slowest = std::numeric_limits<double>::infinity();
  for (const std::size_t worker : workers) {
    slowest = std::min(slowest, pass.map.Entries()[worker].worker->speed);
  }
  const auto percent = [](double speed) {
    return std::to_string(std::lround(speed * kPercent)) + " %";
  };
  return text + "; slowest worker at " + percent(slowest) + " speed, needed " +
         percent(waiting.required_speed);
}

bool JobPlanner::RunsAtFullSpeed(const WaitingUnit& waiting,
                                 const std::vector<std::size_t>& workers,
                                 const Pass& pass) const {
  const StepSpec& spec = waiting.unit.Spec();
  const auto rack_of = [&](std::size_t worker) -> const RackId& {
    return pass.map.Entries()[worker].worker->description.rack;
  };
  return std::ranges::all_of(workers, [&](std::size_t worker) {
    return (spec.data_rack.empty() ||
            rack_of(worker).value == spec.data_rack) &&
           (!spec.one_rack ||
            (spec.gang && rack_of(worker) == rack_of(workers.front())));
  });
}

}  // namespace carobrill::workload
