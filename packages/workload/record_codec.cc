#include "packages/workload/record_codec.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "packages/workload/workload.pb.h"

namespace carobrill::workload {
namespace {

records::StepRecord ToRecord(const StepSpec& step) {
  records::StepRecord record;
  record.set_tasks(step.tasks);
  record.set_cpu_millis(step.demand.cpu_millis);
  record.set_memory_mb(step.demand.memory_mb);
  record.set_accelerators(step.demand.accelerators);
  record.set_estimate_ms(step.estimate_ms);
  record.mutable_depends_on()->Assign(step.depends_on.begin(),
                                      step.depends_on.end());
  record.set_checkpointable(step.checkpointable);
  record.set_gang(step.gang);
  record.set_one_rack(step.one_rack);
  record.set_copies_allowed(step.copies_allowed);
  record.set_long_running(step.long_running);
  record.set_filler(step.filler);
  record.set_worker_label(step.worker_label);
  record.set_data_rack(step.data_rack);
  record.set_max_per_worker(step.max_per_worker);
  record.set_max_unavailable(step.max_unavailable);
  record.set_latency_target_ms(step.latency_target_ms);
  record.set_image(step.image);
  return record;
}

StepSpec FromRecord(const records::StepRecord& record) {
  StepSpec step;
  step.tasks = record.tasks();
  step.demand = {record.cpu_millis(), record.memory_mb(),
                 record.accelerators()};
  step.estimate_ms = record.estimate_ms();
  step.depends_on.assign(record.depends_on().begin(),
                         record.depends_on().end());
  step.checkpointable = record.checkpointable();
  step.gang = record.gang();
  step.one_rack = record.one_rack();
  step.copies_allowed = record.copies_allowed();
  step.long_running = record.long_running();
  step.filler = record.filler();
  step.worker_label = record.worker_label();
  step.data_rack = record.data_rack();
  step.max_per_worker = record.max_per_worker();
  step.max_unavailable = record.max_unavailable();
  step.latency_target_ms = record.latency_target_ms();
  step.image = record.image();
  return step;
}

/// Assigns 1-based numbers to the workers that a record refers to, and adds
/// each to the record once.
class WorkerTable {
 public:
  explicit WorkerTable(records::JobRecord& record) : record(record) {}

  std::uint32_t NumberOf(const WorkerIncarnation& incarnation) {
    const auto [found, added] = this->numbers.try_emplace(
        incarnation, static_cast<std::uint32_t>(this->numbers.size()) + 1);
    if (added) {
      auto* worker = this->record.add_workers();
      worker->set_id(incarnation.id.value);
      worker->set_born_unix_ms(incarnation.born_ms);
      worker->set_agent(incarnation.agent.value);
    }
    return found->second;
  }

 private:
  records::JobRecord& record;
  std::map<WorkerIncarnation, std::uint32_t> numbers;
};

/// The tasks of a job, numbered through all occurrences and steps.
class TaskNumbers {
 public:
  explicit TaskNumbers(const JobSpec& spec) : spec(spec) {
    for (const StepSpec& step : spec.steps) {
      this->first_of_step.push_back(this->per_occurrence);
      this->per_occurrence += step.tasks;
    }
  }

  std::uint64_t PerOccurrence() const { return this->per_occurrence; }

  std::uint64_t Total() const {
    return this->per_occurrence * this->spec.Occurrences();
  }

  std::uint64_t NumberOf(std::uint32_t occurrence,
                         std::uint32_t step,
                         std::uint32_t index) const {
    return occurrence * this->per_occurrence + this->first_of_step[step] +
           index;
  }

  /// Returns the step of a task with this number within its occurrence.
  std::uint32_t StepOf(std::uint64_t number) const {
    const auto step = std::ranges::upper_bound(this->first_of_step, number) - 1;
    return static_cast<std::uint32_t>(step - this->first_of_step.begin());
  }

  /// Returns the number of a step's first task within its occurrence.
  std::uint64_t FirstOfStep(std::uint32_t step) const {
    return this->first_of_step[step];
  }

 private:
  const JobSpec& spec;
  std::vector<std::uint64_t> first_of_step;
  std::uint64_t per_occurrence = 0;
};

/// Collects the numbers of completed tasks as ranges.
class DoneRanges {
 public:
  explicit DoneRanges(const Job& job) : numbers(job.submission.spec) {
    for (const auto& [begin, end] : job.done_occurrences.Intervals()) {
      this->Add(begin * this->numbers.PerOccurrence(),
                end * this->numbers.PerOccurrence());
    }
    for (const auto& [k, occurrence] : job.occurrences) {
      if (!job.done_occurrences.Contains(k)) {
        this->AddOccurrence(job.submission.spec, k, occurrence);
      }
    }
  }

  /// Writes pairs of a first number and a count. Ranges that touch are merged.
  void Write(records::JobRecord& record) {
    std::ranges::sort(this->ranges);
    auto& written = *record.mutable_done_ranges();
    for (const auto& [begin, end] : this->ranges) {
      const int size = written.size();
      if (size > 0 && written[size - 2] + written[size - 1] == begin) {
        written[size - 1] += end - begin;
      } else {
        written.Add(begin);
        written.Add(end - begin);
      }
    }
  }

 private:
  void AddOccurrence(const JobSpec& spec,
                     std::uint32_t k,
                     const Occurrence& occurrence) {
    for (const auto& [begin, end] : occurrence.done_steps.Intervals()) {
      this->Add(this->numbers.NumberOf(k, begin, 0),
                this->numbers.NumberOf(k, end - 1, spec.steps[end - 1].tasks));
    }
    for (const auto& [s, step] : occurrence.steps) {
      if (occurrence.done_steps.Contains(s)) {
        continue;
      }
      for (const auto& [begin, end] : step.done.Intervals()) {
        this->Add(this->numbers.NumberOf(k, s, begin),
                  this->numbers.NumberOf(k, s, end));
      }
    }
  }

  void Add(std::uint64_t begin, std::uint64_t end) {
    this->ranges.emplace_back(begin, end);
  }

  TaskNumbers numbers;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> ranges;
};

/// Marks the tasks from number `begin` up to, but not including, `end` as
/// completed, whole occurrences at once.
void CompleteRange(const TaskNumbers& numbers,
                   std::uint64_t begin,
                   std::uint64_t end,
                   Job& job) {
  const std::uint64_t per_occurrence = numbers.PerOccurrence();
  while (begin < end) {
    const auto k = static_cast<std::uint32_t>(begin / per_occurrence);
    const std::uint64_t offset = begin % per_occurrence;
    const std::uint64_t whole = (end - begin) / per_occurrence;
    if (offset == 0 && whole > 0) {
      job.CompleteOccurrences({k, k + static_cast<std::uint32_t>(whole)});
      begin += whole * per_occurrence;
      continue;
    }
    const std::uint32_t step = numbers.StepOf(offset);
    const auto first =
        static_cast<std::uint32_t>(offset - numbers.FirstOfStep(step));
    const auto count = static_cast<std::uint32_t>(std::min<std::uint64_t>(
        job.submission.spec.steps[step].tasks - first, end - begin));
    job.Complete(k, step, {first, first + count});
    job.Release({job.submission.id, k, step, first});
    begin += count;
  }
}

/// Returns whether the ranges lie within the tasks of the job.
bool ApplyRanges(const records::JobRecord& record, Job& job) {
  const auto& ranges = record.done_ranges();
  const TaskNumbers numbers(job.submission.spec);
  const std::uint64_t total = numbers.Total();
  if (ranges.size() % 2 != 0) {
    return false;
  }
  for (int i = 0; i < ranges.size(); i += 2) {
    if (ranges[i] > total || ranges[i + 1] > total - ranges[i]) {
      return false;
    }
    CompleteRange(numbers, ranges[i], ranges[i] + ranges[i + 1], job);
  }
  return true;
}

// An older version counted the failure of a run once for each member that
// reported it. A member without a worker tells that the latest run has ended
// for it, probably because that run failed.
void CorrectMemberCount(const StepSpec& spec, StepState& step) {
  std::uint32_t latest = 0;
  std::uint32_t holding = 0;
  for (const auto& [index, task] : step.tasks) {
    latest = std::max(latest, task.run);
    holding += task.HoldsResources() ? 1 : 0;
  }
  const bool latest_has_failed = holding < spec.tasks;
  step.last_failed_run = latest_has_failed || latest == 0 ? latest : latest - 1;
  step.gang_failures = std::min(step.gang_failures, step.last_failed_run);
}

bool DecodeTask(const records::JobRecord& record,
                const records::TaskRecord& stored,
                Job& job) {
  const TaskKey key{job.submission.id, stored.occurrence(), stored.step(),
                    stored.index()};
  if (!job.HasTask(key) ||
      stored.phase() > static_cast<std::uint32_t>(TaskPhase::kDone) ||
      stored.worker() > static_cast<std::uint32_t>(record.workers_size())) {
    return false;
  }
  const auto phase = static_cast<TaskPhase>(stored.phase());
  if (phase == TaskPhase::kDone) {
    job.Complete(key.occurrence, key.step, {key.index, key.index + 1});
    job.Release(key);
    return true;
  }
  const StepState* step = job.FindStep(key.occurrence, key.step);
  if (job.IsStepDone(key.occurrence, key.step) ||
      (step != nullptr && step->done.Contains(key.index))) {
    return true;
  }
  TaskState& task = job.Open(key);
  task.phase = phase;
  task.run = stored.run();
  task.failures = stored.failures();
  task.worker_crashes = stored.worker_crashes();
  task.checkpoint = stored.checkpoint();
  if (stored.worker() > 0) {
    const auto& worker = record.workers(static_cast<int>(stored.worker()) - 1);
    task.worker = {InstanceId(worker.agent()), WorkerId(worker.id()),
                   worker.born_unix_ms()};
  }
  return true;
}

}  // namespace

std::string EncodeSubmission(const Submission& submission) {
  records::SubmissionRecord record;
  record.set_account(submission.account.value);
  record.set_queue(submission.queue);
  record.set_service(submission.service.value);
  record.set_priority(submission.priority);
  record.set_max_attempts(submission.max_attempts);
  record.set_stretch_percent(submission.stretch_percent);
  record.set_objective_slack_ms(submission.objective_slack_ms);
  if (submission.advice.has_value()) {
    auto* advice = record.mutable_advice();
    advice->set_decide_ms(submission.advice->decide_ms);
    advice->set_each_ms(submission.advice->each_ms);
    advice->set_valid_ms(submission.advice->valid_ms);
  }
  record.set_accepted_at_unix_ms(submission.accepted_at.ms);
  record.set_payload(submission.spec.payload);
  for (const StepSpec& step : submission.spec.steps) {
    *record.add_steps() = ToRecord(step);
  }
  record.set_repeats(submission.spec.repeats);
  record.set_first_due_unix_ms(submission.spec.first_due.ms);
  record.set_interval_ms(submission.spec.interval_ms);
  return record.SerializeAsString();
}

Result<Submission> DecodeSubmission(const JobId& id, const std::string& bytes) {
  records::SubmissionRecord record;
  if (!record.ParseFromString(bytes) || record.steps_size() == 0) {
    return Fail(RecordError{id.value});
  }
  Submission submission;
  submission.id = id;
  submission.account = AccountId(record.account());
  submission.queue = record.queue();
  submission.service = ServiceId(record.service());
  submission.priority = record.priority();
  submission.max_attempts = record.max_attempts();
  submission.stretch_percent = record.stretch_percent();
  submission.objective_slack_ms = record.objective_slack_ms();
  if (record.has_advice()) {
    submission.advice = {record.advice().decide_ms(), record.advice().each_ms(),
                         record.advice().valid_ms()};
  }
  submission.accepted_at.ms = record.accepted_at_unix_ms();
  submission.spec.payload = record.payload();
  for (const auto& step : record.steps()) {
    submission.spec.steps.push_back(FromRecord(step));
  }
  submission.spec.repeats = record.repeats();
  submission.spec.first_due.ms = record.first_due_unix_ms();
  submission.spec.interval_ms = record.interval_ms();
  return submission;
}

namespace {

/// Which checkpoints a record contains.
enum class StoredCheckpoints { kAll, kWithoutRunning, kNone };

bool IsStored(StoredCheckpoints stored, TaskPhase phase) {
  switch (stored) {
    case StoredCheckpoints::kAll:
      return true;
    case StoredCheckpoints::kWithoutRunning:
      return phase != TaskPhase::kRunning && phase != TaskPhase::kStopping;
    case StoredCheckpoints::kNone:
      break;
  }
  return false;
}

std::string EncodeProgress(const Job& job, StoredCheckpoints checkpoints) {
  records::JobRecord record;
  record.set_phase(static_cast<std::uint32_t>(job.phase));
  record.set_cancel_requested(job.cancel_requested);
  record.set_ended_at_unix_ms(job.ended_at.ms);
  // The tasks of a final job are stored only while some still have to be
  // stopped.
  if (IsFinal(job.phase) && !job.AnyTaskHoldsResources()) {
    return record.SerializeAsString();
  }
  DoneRanges(job).Write(record);
  WorkerTable workers(record);
  for (const auto& [k, occurrence] : job.occurrences) {
    for (const auto& [s, step] : occurrence.steps) {
      if (step.gang_failures > 0 && !job.IsStepDone(k, s)) {
        auto* failures = record.add_gang_failures();
        failures->set_occurrence(k);
        failures->set_step(s);
        failures->set_failures(step.gang_failures);
        failures->set_last_failed_run(step.last_failed_run);
      }
      for (const auto& [i, task] : step.tasks) {
        if (task.phase == TaskPhase::kDone || task.HasNeverRun()) {
          continue;
        }
        auto* stored = record.add_tasks();
        stored->set_occurrence(k);
        stored->set_step(s);
        stored->set_index(i);
        stored->set_phase(static_cast<std::uint32_t>(task.phase));
        stored->set_run(task.run);
        stored->set_failures(task.failures);
        stored->set_worker_crashes(task.worker_crashes);
        if (IsStored(checkpoints, task.phase)) {
          stored->set_checkpoint(step.CheckpointOf(task));
        }
        if (task.HoldsResources()) {
          stored->set_worker(workers.NumberOf(task.worker));
        }
      }
    }
  }
  return record.SerializeAsString();
}

}  // namespace

// A job whose record the log refuses would stop the planner, and with it all
// other jobs.
std::string EncodeProgress(const Job& job) {
  for (const auto checkpoints :
       {StoredCheckpoints::kAll, StoredCheckpoints::kWithoutRunning}) {
    std::string record = EncodeProgress(job, checkpoints);
    if (record.size() <= kMaxProgressBytes) {
      return record;
    }
  }
  return EncodeProgress(job, StoredCheckpoints::kNone);
}

Result<void> DecodeProgress(const std::string& bytes, Job& job) {
  records::JobRecord record;
  if (!record.ParseFromString(bytes) ||
      record.phase() > static_cast<std::uint32_t>(JobPhase::kCancelled)) {
    return Fail(RecordError{job.submission.id.value});
  }
  Job decoded = Job::Of(job.submission);
  decoded.phase = static_cast<JobPhase>(record.phase());
  decoded.cancel_requested = record.cancel_requested() || job.cancel_requested;
  decoded.ended_at.ms = record.ended_at_unix_ms();
  for (const auto& stored : record.tasks()) {
    if (!DecodeTask(record, stored, decoded)) {
      return Fail(RecordError{job.submission.id.value});
    }
  }
  if (!ApplyRanges(record, decoded)) {
    return Fail(RecordError{job.submission.id.value});
  }
  for (const auto& stored : record.gang_failures()) {
    const TaskKey first{job.submission.id, stored.occurrence(), stored.step(),
                        0};
    if (!decoded.HasTask(first)) {
      return Fail(RecordError{job.submission.id.value});
    }
    if (decoded.IsStepDone(first.occurrence, first.step)) {
      continue;
    }
    StepState& step = decoded.occurrences[first.occurrence].steps[first.step];
    step.gang_failures = stored.failures();
    step.last_failed_run = stored.last_failed_run();
    if (step.gang_failures > 0 && step.last_failed_run == 0) {
      CorrectMemberCount(decoded.SpecOf(first), step);
    }
  }
  job = std::move(decoded);
  return {};
}

}  // namespace carobrill::workload
