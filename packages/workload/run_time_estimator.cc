#include "packages/workload/run_time_estimator.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "packages/core/hash.h"
#include "packages/workload/workload.pb.h"

namespace carobrill::workload {
namespace {

/// Tasks of one occurrence of a step that count for the histograms. Estimates
/// err by job, so that a job of many tasks must not outvote the others.
constexpr std::uint32_t kCountedTasks = 4;

/// The end of a run is seen up to a second late, so that it shows the rate of
/// longer runs only.
constexpr std::int64_t kMinWholeRunMs = 4'000;

constexpr std::uint32_t kRecordVersion = 1;
constexpr std::size_t kMaxRecordBytes = 32 * 1'024;
constexpr int kMaxStoredSteps = 128;
constexpr std::int64_t kMaxStoredMs = 1'000'000'000;

std::uint64_t HashOfRun(const ObservedRun& seen, std::uint64_t job) {
  StableHash hash;
  hash.Add(job);
  hash.Add(seen.task.occurrence);
  hash.Add(seen.task.step);
  hash.Add(seen.task.index);
  hash.Add(seen.run);
  return hash.Value();
}

RunProgress::Context ContextOf(const ObservedRun& seen) {
  const StepSpec& step = seen.submission->spec.steps[seen.step];
  return {seen.run, step.checkpointable, step.estimate_ms};
}

/// Tells whether the tasks of the step have an amount of work to learn.
bool HasRunTime(const ObservedRun& seen) {
  return !seen.submission->spec.steps[seen.step].long_running;
}

}  // namespace

RunTimeEstimator::TaskHash RunTimeEstimator::HashOfTask(const TaskKey& task) {
  return {{HashOf(task.job.value), task.step}, task.occurrence, task.index};
}

/// Compares the rate with that of other runs of the step, which gives a sample
/// of the worker's speed.
void RunTimeEstimator::Learn(const ObservedRun& seen,
                             const TaskHash& task,
                             const RunRate& rate) {
  const WorkerHash worker = WorkerHash::Of(seen.worker);
  const std::uint64_t run = HashOfRun(seen, task.step.job);
  StepHistory& step = this->steps.Use(task.step);
  step.scheduled = seen.submission->spec.repeats > 1;
  step.rates.Observe(run, worker, rate);
  this->changed = true;
  const auto typical_log_rate = step.rates.LogRate(this->speeds);
  if (!typical_log_rate) {
    return;
  }
  this->speeds.Observe(
      {HashOf(seen.submission->service.value), worker, run, task.step,
       rate.log_rate, rate.log_rate - *typical_log_rate, rate.added,
       rate.changed, seen.submission->spec.steps[seen.step].gang});
  this->speeds.RefineNext([this](const StepHash& key) {
    const StepHistory* known = this->steps.Find(key);
    return known == nullptr ? std::nullopt : known->rates.LogRate(this->speeds);
  });
}

void RunTimeEstimator::ObserveProgress(const ObservedRun& seen) {
  // Distance to the data is a matter of placement, not of the worker.
  if (seen.far || !HasRunTime(seen) || seen.worked_ms < 0) {
    return;
  }
  const TaskHash task = HashOfTask(seen.task);
  const auto rate =
      this->runs.Use(task).Observe(ContextOf(seen), seen.worked_ms,
                                   std::min(seen.percent, kCompletePercent));
  if (rate) {
    this->Learn(seen, task, *rate);
  }
}

void RunTimeEstimator::ObserveDone(const ObservedRun& seen) {
  const TaskHash task = HashOfTask(seen.task);
  const StepSpec& step = seen.submission->spec.steps[seen.step];
  const RunProgress* known = this->runs.Find(task);
  const RunProgress progress = known == nullptr ? RunProgress() : *known;
  this->runs.Erase(task);
  if (seen.far || !HasRunTime(seen)) {
    return;
  }
  const auto full_ms =
      progress.FullMs(ContextOf(seen), seen.worked_ms, !step.gang);
  if (!full_ms || *full_ms <= 0) {
    return;
  }
  const bool counted =
      progress.Run() == seen.run && progress.Counted().percent > 0;
  if (!counted && *full_ms >= kMinWholeRunMs) {
    const WorkSeen whole{kCompletePercent, *full_ms};
    this->Learn(seen, task, {whole.LogRate(), whole, whole.percent});
  }
  const WorkerHash worker = WorkerHash::Of(seen.worker);
  StepHistory& history = this->steps.Use(task.step);
  history.scheduled = seen.submission->spec.repeats > 1;
  history.rates.Complete(HashOfRun(seen, task.step.job), worker, *full_ms);
  // Which tasks count depends on their number only, not on which end first.
  const std::uint32_t stride =
      std::max(1U, (step.tasks + kCountedTasks - 1) / kCountedTasks);
  if (seen.task.index % stride == 0) {
    this->ratios.Observe(
        *seen.submission, seen.step,
        std::llround(static_cast<double>(*full_ms) *
                     std::exp(this->speeds.CautiousLogSpeedOf(worker))));
  }
  this->changed = true;
}

void RunTimeEstimator::Forget(const JobId& job) {
  const StepHash first{HashOf(job.value), 0};
  this->steps.EraseWhile(
      first, [&](const StepHash& key) { return key.job == first.job; });
  this->runs.EraseWhile(TaskHash{first}, [&](const TaskHash& key) {
    return key.step.job == first.job;
  });
}

double RunTimeEstimator::SpeedOf(const WorkerIncarnation& worker) const {
  constexpr double kMinSpeed = 0.25;
  constexpr double kMaxSpeed = 4;
  return std::clamp(
      std::exp(this->speeds.CautiousLogSpeedOf(WorkerHash::Of(worker))),
      kMinSpeed, kMaxSpeed);
}

std::uint32_t RunTimeEstimator::SpeedSamples(
    const WorkerIncarnation& worker) const {
  return this->speeds.RunsOf(WorkerHash::Of(worker));
}

RunTimeForecast RunTimeEstimator::Forecast(const Submission& submission,
                                           std::uint32_t step) const {
  const StepHistory* history =
      this->steps.Find(StepHash{HashOf(submission.id.value), step});
  const auto same_step =
      history == nullptr ? std::nullopt : history->rates.RunTimes(this->speeds);
  if (same_step) {
    return {same_step->median_ms, same_step->high_ms, same_step->samples,
            ForecastSource::kStep};
  }
  return this->ratios.Forecast(submission, step);
}

void RunTimeEstimator::EncodeSteps(records::RunTimesRecord& record) const {
  for (const auto& [key, history] : this->steps) {
    const auto run_times =
        history.scheduled ? history.rates.RunTimes(this->speeds) : std::nullopt;
    if (!run_times) {
      continue;
    }
    records::StepRunTimeRecord& stored = *record.add_steps();
    stored.set_job(key.job);
    stored.set_step(key.step);
    stored.set_median_ms(
        std::clamp<std::int64_t>(run_times->median_ms, 1, kMaxStoredMs));
    stored.set_samples(run_times->samples);
    if (record.steps_size() >= kMaxStoredSteps) {
      return;
    }
  }
}

bool RunTimeEstimator::DecodeSteps(const records::RunTimesRecord& record) {
  for (int i = record.steps_size() - 1; i >= 0; --i) {
    const records::StepRunTimeRecord& stored = record.steps(i);
    if (stored.median_ms() <= 0 || stored.median_ms() > kMaxStoredMs) {
      return false;
    }
    StepHistory& history = this->steps.Use({stored.job(), stored.step()});
    history = StepHistory();
    history.scheduled = true;
    history.rates.Restore(stored.median_ms(), stored.samples());
  }
  return true;
}

std::string RunTimeEstimator::Encode() const {
  records::RunTimesRecord record;
  record.set_version(kRecordVersion);
  this->speeds.Encode(record);
  this->ratios.Encode(record);
  this->EncodeSteps(record);
  // The limits of the parts keep the record below this; a record that is too
  // long loses the histograms that were not used for the longest time.
  while (record.ByteSizeLong() > kMaxRecordBytes && record.ratios_size() > 0) {
    record.mutable_ratios()->RemoveLast();
  }
  this->changed = false;
  return record.SerializeAsString();
}

bool RunTimeEstimator::Decode(const std::string& bytes) {
  records::RunTimesRecord record;
  RunTimeEstimator decoded;
  if (bytes.size() > kMaxRecordBytes || !record.ParseFromString(bytes) ||
      record.version() != kRecordVersion || !decoded.speeds.Decode(record) ||
      !decoded.ratios.Decode(record) || !decoded.DecodeSteps(record)) {
    return false;
  }
  *this = std::move(decoded);
  return true;
}

}  // namespace carobrill::workload
