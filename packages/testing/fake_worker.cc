#include "packages/testing/fake_worker.h"

#include <algorithm>

namespace carobrill::testing {
namespace {

constexpr std::int64_t kTickMs = 10;
constexpr std::int64_t kEndedTaskRetentionMs = 60'000;

http::HttpResponse Reply(int status, const nlohmann::json& body) {
  return {status, body.dump(), "application/json", {}};
}

}  // namespace

FakeWorker::FakeWorker(FakeWorkerCapacity size)
    : size(std::move(size)),
      control({{"fail_start", false},
               {"fail_after_ms", -1},
               {"delay_ms", 0},
               {"hang", false},
               {"freeze_usage", false},
               {"usage_lag_ms", 2'000},
               {"usage_percent", 100}}),
      last_tick(BootClock{}.Now()) {
  this->task.PostEvery(kTickMs, [this] { this->Tick(); });
}

void FakeWorker::Handle(const http::HttpRequest& request,
                        const http::HttpResponder& respond) {
  this->task.Post([this, request, respond] {
    const bool is_test_call =
        request.path == "/control" || request.path == "/stats";
    if (is_test_call) {
      respond(this->Respond(request));
    } else if (this->control["hang"].get<bool>()) {
      this->held_requests.emplace_back(request, respond);
    } else {
      this->HandleAfterDelay(request, respond);
    }
  });
}

void FakeWorker::HandleAfterDelay(const http::HttpRequest& request,
                                  const http::HttpResponder& respond) {
  const auto delay_ms = this->control["delay_ms"].get<std::int64_t>();
  auto response = this->Respond(request);
  this->task.PostAt(BootClock{}.Now().After(delay_ms),
                    [respond, response] { respond(response); });
}

http::HttpResponse FakeWorker::Respond(const http::HttpRequest& request) {
  this->Tick();
  const Json body = Json::parse(request.body, nullptr, false);
  const bool post = request.method == "POST";
  if (request.path == "/v1/worker") {
    return Reply(200, {{"worker", this->size.worker},
                       {"cores", this->size.cores},
                       {"memory_mb", this->size.memory_mb},
                       {"accelerators", this->size.accelerators}});
  }
  if (request.path == "/v1/tasks") {
    return post ? this->Start(body) : Reply(200, this->List());
  }
  if (request.path == "/stats") {
    return Reply(200, this->Stats());
  }
  if (request.path == "/control" && post) {
    return this->Control(body);
  }
  return this->HandleTaskCall(request.path, body);
}

http::HttpResponse FakeWorker::Start(const Json& body) {
  if (!body.is_object() || !body.contains("task")) {
    return Reply(400, {});
  }
  if (this->control["fail_start"].get<bool>()) {
    return Reply(500, {});
  }
  const auto name = body["task"].get<std::string>();
  if (this->starts.contains(name)) {
    return Reply(200, {});
  }
  ++this->starts[name];
  const Instant now = BootClock{}.Now();
  RunningTask& added = this->tasks[name];
  added.cores = body.value("cores", 0.0);
  added.memory_mb = body.value("memory_mb", 0);
  added.accelerators = body.value("accelerators", std::set<std::int64_t>{});
  // A checkpoint has the form "NAME@MS"; the run resumes after MS of work.
  const auto checkpoint = body.value("checkpoint", std::string());
  const auto separator = checkpoint.rfind('@');
  if (separator != std::string::npos) {
    added.completed_ms = std::stod(checkpoint.substr(separator + 1));
  }
  added.remaining_ms = body.value("run_ms", 0.0) - added.completed_ms;
  added.lease_until = now.After(body.value("lease_ms", std::int64_t{0}));
  added.started_at = now;
  added.sampled_at = now;
  this->UpdatePeaks();
  return Reply(201, {});
}

http::HttpResponse FakeWorker::HandleTaskCall(const std::string& path,
                                              const Json& body) {
  const auto slash = path.rfind('/');
  const std::string prefix = "/v1/tasks/";
  if (!path.starts_with(prefix) || slash < prefix.size()) {
    return Reply(404, {});
  }
  const auto found =
      this->tasks.find(path.substr(prefix.size(), slash - prefix.size()));
  if (found == this->tasks.end()) {
    return Reply(404, {});
  }
  const std::string action = path.substr(slash + 1);
  RunningTask& target = found->second;
  if (target.state != "running") {
    return Reply(action == "stop" ? 200 : 409, {});
  }
  if (action == "lease") {
    target.lease_until =
        BootClock{}.Now().After(body.value("lease_ms", std::int64_t{0}));
  } else if (action == "stop") {
    this->EndTask(target, "stopped");
  } else if (action == "checkpoint") {
    target.checkpoint =
        found->first + "@" +
        std::to_string(static_cast<std::int64_t>(target.completed_ms));
  } else if (action == "throttle") {
    target.share = body.value("share", 1.0);
  } else {
    return Reply(404, {});
  }
  return Reply(200, {});
}

// A worker that stops hanging handles the requests that it received meanwhile.
http::HttpResponse FakeWorker::Control(const Json& body) {
  if (!body.is_object()) {
    return Reply(400, {});
  }
  this->control.update(body);
  if (!this->control["hang"].get<bool>()) {
    auto released = std::move(this->held_requests);
    this->held_requests.clear();
    for (const auto& [request, respond] : released) {
      this->HandleAfterDelay(request, respond);
    }
  }
  return Reply(200, this->control);
}

nlohmann::json FakeWorker::List() {
  const Instant now = BootClock{}.Now();
  const auto lag_ms = this->control["usage_lag_ms"].get<std::int64_t>();
  const double share = this->control["usage_percent"].get<double>() / 100;
  Json list = Json::array();
  for (auto& [name, entry] : this->tasks) {
    if (!this->control["freeze_usage"].get<bool>()) {
      entry.sampled_at = std::max(entry.started_at, now.After(-lag_ms));
    }
    list.push_back(
        {{"task", name},
         {"state", entry.state},
         {"checkpoint", entry.checkpoint},
         {"usage",
          {{"cores", entry.cores * share},
           {"memory_mb", static_cast<std::int64_t>(
                             static_cast<double>(entry.memory_mb) * share)},
           {"age_ms", now.RemainingMs(entry.sampled_at)}}}});
  }
  return list;
}

nlohmann::json FakeWorker::Stats() const {
  std::int64_t running = 0;
  std::int64_t started = 0;
  for (const auto& [name, entry] : this->tasks) {
    running += entry.state == "running" ? 1 : 0;
  }
  for (const auto& [name, count] : this->starts) {
    started += count;
  }
  return {{"started", started},
          {"running", running},
          {"ended", this->ends},
          {"tasks", this->starts},
          {"peak",
           {{"accelerators", this->peak_accelerators},
            {"cores", this->peak_cores},
            {"memory_mb", this->peak_memory_mb},
            {"tasks_per_accelerator", this->peak_sharing}}}};
}

void FakeWorker::Tick() {
  const Instant now = BootClock{}.Now();
  const auto elapsed_ms = static_cast<double>(now.ms - this->last_tick.ms);
  const auto fail_after = this->control["fail_after_ms"].get<std::int64_t>();
  this->last_tick = now;
  for (auto& [name, entry] : this->tasks) {
    if (entry.state != "running") {
      continue;
    }
    entry.remaining_ms -= elapsed_ms * entry.share;
    entry.completed_ms += elapsed_ms * entry.share;
    if (now >= entry.lease_until) {
      this->EndTask(entry, "lapsed");
    } else if (fail_after >= 0 && now >= entry.started_at.After(fail_after)) {
      this->EndTask(entry, "failed");
    } else if (entry.remaining_ms <= 0) {
      this->EndTask(entry, "succeeded");
    }
  }
  std::erase_if(this->tasks, [now](const auto& item) {
    return item.second.state != "running" &&
           now >= item.second.ended_at.After(kEndedTaskRetentionMs);
  });
}

void FakeWorker::UpdatePeaks() {
  std::int64_t accelerators = 0;
  std::int64_t memory_mb = 0;
  double cores = 0;
  std::map<std::int64_t, std::int64_t> sharing;
  for (const auto& [name, entry] : this->tasks) {
    if (entry.state != "running") {
      continue;
    }
    cores += entry.cores;
    memory_mb += entry.memory_mb;
    accelerators += static_cast<std::int64_t>(entry.accelerators.size());
    for (const auto number : entry.accelerators) {
      this->peak_sharing = std::max(this->peak_sharing, ++sharing[number]);
    }
  }
  this->peak_cores = std::max(this->peak_cores, cores);
  this->peak_memory_mb = std::max(this->peak_memory_mb, memory_mb);
  this->peak_accelerators = std::max(this->peak_accelerators, accelerators);
}

void FakeWorker::EndTask(RunningTask& target, const std::string& state) {
  target.state = state;
  target.ended_at = BootClock{}.Now();
  ++this->ends[state];
}

}  // namespace carobrill::testing
