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

/// Number of tasks that have run above which the completed ones are stored as
/// ranges. Versions that know no ranges would run those tasks again; listed one
/// by one, some 20,000 tasks exceed the longest record of the log.
constexpr std::size_t kMaxListedTasks = 10'000;

bool HasNeverRun(const TaskState& task) {
  return task.phase == TaskPhase::kWaiting && task.run == 0;
}

std::size_t CountTasksThatRan(const Job& job) {
  std::size_t count = 0;
  for (const Occurrence& occurrence : job.occurrences) {
    for (const StepState& step : occurrence.steps) {
      count +=
          step.tasks.size() - static_cast<std::size_t>(std::ranges::count_if(
                                  step.tasks, HasNeverRun));
    }
  }
  return count;
}

/// Adds a task to the ranges of completed tasks. Numbers must increase.
void AddToRanges(std::uint64_t number, records::JobRecord& record) {
  auto& ranges = *record.mutable_done_ranges();
  const int size = ranges.size();
  if (size > 0 && ranges[size - 2] + ranges[size - 1] == number) {
    ranges[size - 1] += 1;
    return;
  }
  ranges.Add(number);
  ranges.Add(1);
}

/// Returns whether the ranges lie within the tasks of the job.
bool ApplyRanges(const records::JobRecord& record, Job& job) {
  const auto& ranges = record.done_ranges();
  if (ranges.empty()) {
    return true;
  }
  std::vector<TaskState*> tasks;
  for (Occurrence& occurrence : job.occurrences) {
    for (StepState& step : occurrence.steps) {
      for (TaskState& task : step.tasks) {
        tasks.push_back(&task);
      }
    }
  }
  if (ranges.size() % 2 != 0) {
    return false;
  }
  for (int i = 0; i < ranges.size(); i += 2) {
    if (ranges[i] > tasks.size() || ranges[i + 1] > tasks.size() - ranges[i]) {
      return false;
    }
    for (std::uint64_t n = 0; n < ranges[i + 1]; ++n) {
      tasks[ranges[i] + n]->phase = TaskPhase::kDone;
    }
  }
  return true;
}

// An older version counted the failure of a run once for each member that
// reported it. A member without a worker tells that the latest run has ended
// for it, probably because that run failed.
void CorrectMemberCount(StepState& step) {
  const std::uint32_t latest =
      std::ranges::max(step.tasks, {}, &TaskState::run).run;
  const bool latest_has_failed = std::ranges::any_of(
      step.tasks, [](const TaskState& task) { return !task.HoldsResources(); });
  step.last_failed_run = latest_has_failed || latest == 0 ? latest : latest - 1;
  step.gang_failures = std::min(step.gang_failures, step.last_failed_run);
}

bool DecodeTask(const records::JobRecord& record,
                const records::TaskRecord& stored,
                Job& job) {
  TaskState* task = job.Find(
      {job.submission.id, stored.occurrence(), stored.step(), stored.index()});
  if (task == nullptr ||
      stored.phase() > static_cast<std::uint32_t>(TaskPhase::kDone) ||
      stored.worker() > static_cast<std::uint32_t>(record.workers_size())) {
    return false;
  }
  task->phase = static_cast<TaskPhase>(stored.phase());
  task->run = stored.run();
  task->failures = stored.failures();
  task->worker_crashes = stored.worker_crashes();
  task->checkpoint = stored.checkpoint();
  if (stored.worker() > 0) {
    const auto& worker = record.workers(static_cast<int>(stored.worker()) - 1);
    task->worker = {InstanceId(worker.agent()), WorkerId(worker.id()),
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

std::string EncodeProgress(const Job& job) {
  records::JobRecord record;
  record.set_phase(static_cast<std::uint32_t>(job.phase));
  record.set_cancel_requested(job.cancel_requested);
  record.set_ended_at_unix_ms(job.ended_at.ms);
  // The tasks of a final job are stored only while some still have to be
  // stopped.
  if (IsFinal(job.phase) && !job.AnyTaskHoldsResources()) {
    return record.SerializeAsString();
  }
  const bool use_ranges = CountTasksThatRan(job) > kMaxListedTasks;
  std::uint64_t number = 0;
  WorkerTable workers(record);
  for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
    const auto& steps = job.occurrences[k].steps;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
      if (steps[s].gang_failures > 0 && !steps[s].IsDone()) {
        auto* failures = record.add_gang_failures();
        failures->set_occurrence(k);
        failures->set_step(s);
        failures->set_failures(steps[s].gang_failures);
        failures->set_last_failed_run(steps[s].last_failed_run);
      }
      for (std::uint32_t i = 0; i < steps[s].tasks.size(); ++i, ++number) {
        const TaskState& task = steps[s].tasks[i];
        if (HasNeverRun(task)) {
          continue;
        }
        if (use_ranges && task.phase == TaskPhase::kDone) {
          AddToRanges(number, record);
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
        if (task.phase != TaskPhase::kDone) {
          stored->set_checkpoint(task.checkpoint);
        }
        if (task.HoldsResources()) {
          stored->set_worker(workers.NumberOf(task.worker));
        }
      }
    }
  }
  return record.SerializeAsString();
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
    if (decoded.Find({job.submission.id, stored.occurrence(), stored.step(),
                      0}) == nullptr) {
      return Fail(RecordError{job.submission.id.value});
    }
    StepState& step =
        decoded.occurrences[stored.occurrence()].steps[stored.step()];
    step.gang_failures = stored.failures();
    step.last_failed_run = stored.last_failed_run();
    if (step.gang_failures > 0 && step.last_failed_run == 0) {
      CorrectMemberCount(step);
    }
  }
  job = std::move(decoded);
  return {};
}

}  // namespace carobrill::workload
