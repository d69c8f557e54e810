#include "tests/soak/job_book.h"

#include <cstdio>
#include <nlohmann/json.hpp>

#include "review/standin/record.h"
#include "tests/soak/site.h"

namespace carobrill::soak {

JobEntry JobBook::Create(std::mt19937_64& random) {
  const auto below = [&](int limit) {
    return std::uniform_int_distribution<int>(0, limit - 1)(random);
  };
  JobEntry job;
  char id[17];
  std::snprintf(id, sizeof(id), "%016llx",
                static_cast<unsigned long long>(random()));
  job.id = id;
  job.prefix = kQueues[static_cast<std::size_t>(below(kQueues.size()))].prefix;
  const int steps = below(3) == 0 ? 2 : 1;
  for (int i = 0; i < steps; ++i) {
    JobStep step;
    step.gang = below(3) == 0;
    step.tasks =
        static_cast<std::size_t>(step.gang ? 2 + below(3) : 1 + below(4));
    step.accelerators = 1 << below(3);
    step.after_previous = i > 0;
    if (this->wide_percent > 0 && below(100) < this->wide_percent) {
      step.gang = false;
      step.tasks = 200 + static_cast<std::size_t>(below(400));
      step.accelerators = 0;
      step.cpu_millis = 25;
    }
    job.steps.push_back(step);
  }
  const std::lock_guard lock(this->mutex);
  this->jobs[job.id] = job;
  return job;
}

void JobBook::OnSubmitted(const std::string& id, int status) {
  const std::lock_guard lock(this->mutex);
  JobEntry& job = this->jobs[id];
  if (status >= 200 && status < 300 && job.accepted_ms == 0) {
    job.accepted_ms = standin::NowMs();
  }
  job.maybe_accepted |= status == 0 || status == 502 || status == 504;
}

void JobBook::OnCancelSent(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  this->jobs[id].cancelled_ms = standin::NowMs();
}

void JobBook::OnState(const std::string& id,
                      std::size_t gateway,
                      int status,
                      const std::string& state) {
  const std::lock_guard lock(this->mutex);
  if (status == 410) {
    this->unknown.push_back({id, gateway, standin::NowMs()});
  } else if (status == 200) {
    this->jobs[id].shown_ms.try_emplace(state, standin::NowMs());
  }
}

std::map<std::string, JobEntry> JobBook::Jobs() {
  const std::lock_guard lock(this->mutex);
  return this->jobs;
}

std::vector<UnknownAnswer> JobBook::UnknownAnswers() {
  const std::lock_guard lock(this->mutex);
  return this->unknown;
}

std::string SubmissionBody(const JobEntry& job) {
  nlohmann::json steps = nlohmann::json::array();
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    const JobStep& step = job.steps[i];
    nlohmann::json wire = {{"count", step.tasks},
                           {"cpu", step.cpu_millis},
                           {"mem_mb", 100},
                           {"gpu", step.accelerators},
                           {"estimate_ms", 5000}};
    if (step.gang) {
      wire["gang"] = true;
    }
    if (step.after_previous) {
      wire["depends_on"] = {i - 1};
    }
    steps.push_back(wire);
  }
  return nlohmann::json{{"task_spec", "work"}, {"steps", steps}}.dump();
}

std::string ScheduleBody() {
  constexpr std::int64_t kMinuteMs = 60'000;
  return nlohmann::json{
      {"task_spec", "work"},
      {"steps", {{{"count", 78}, {"cpu", 500}, {"mem_mb", 100}}}},
      {"repeat_count", 8'640},
      {"first_ms", standin::UnixMs() + 60 * kMinuteMs},
      {"interval_ms", 5 * kMinuteMs}}
      .dump();
}

}  // namespace carobrill::soak
