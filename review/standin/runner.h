// Stand-in of a runner, as PROTOCOL.md describes it. It carries out what it is
// told and notes each start and end in the record.
#ifndef REVIEW_STANDIN_RUNNER_H_
#define REVIEW_STANDIN_RUNNER_H_

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "record.h"

namespace standin {

struct RunnerSettings {
  std::string id;
  std::string service = "svc";
  std::string zone = "zone-a";
  std::string rack = "r1-1";
  std::int64_t cpu = 16'000;
  std::int64_t mem_mb = 32'768;
  std::int64_t gpu = 8;
  std::int64_t heartbeat_ms = 1'500;
  std::int64_t hold_max_ms = 6'000;
  std::int64_t stop_ms = 200;
};

// One run of a task, from its start to its end.
struct RunSpan {
  std::string task;
  std::uint32_t run = 0;
  std::string runner;
  std::int64_t began_ms = 0;
  // 0 while it runs.
  std::int64_t ended_ms = 0;
  std::string how;
  // last_seen has reached its end.
  bool noted = false;
};

// All runs of a case, by all runners.
class RunLog {
 public:
  std::size_t Begin(const std::string& task,
                    std::uint32_t run,
                    const std::string& runner) {
    const std::lock_guard lock(this->mutex);
    this->spans.push_back({task, run, runner, NowMs(), 0, ""});
    return this->spans.size() - 1;
  }
  void End(std::size_t span, const std::string& how) {
    const std::lock_guard lock(this->mutex);
    this->spans[span].ended_ms = NowMs();
    this->spans[span].how = how;
  }
  void Note(std::size_t span) {
    const std::lock_guard lock(this->mutex);
    this->spans[span].noted = true;
  }
  std::vector<RunSpan> Spans() {
    const std::lock_guard lock(this->mutex);
    return this->spans;
  }

 private:
  std::mutex mutex;
  std::vector<RunSpan> spans;
};

class Runner {
 public:
  // How long a task works, and how it ends.
  struct Work {
    std::int64_t ms = 5'000;
    std::string how = "done";
  };
  using WorkOf = std::function<Work(const std::string& task)>;

  Runner(RunnerSettings settings,
         std::uint16_t control_port,
         Record& record,
         RunLog& log,
         WorkOf work_of)
      : settings(std::move(settings)),
        control_port(control_port),
        record(record),
        log(log),
        work_of(std::move(work_of)),
        born(UnixMs()),
        clock_base(NowMs() - 1'000),
        server([this](const Request& r) { return this->Handle(r); }) {
    this->clock = std::thread([this] { this->RunClock(); });
  }

  ~Runner() {
    this->closing = true;
    this->changed.notify_all();
    this->clock.join();
    if (this->heart.joinable()) {
      this->heart.join();
    }
    this->server.Stop();
  }

  std::string Address() const { return this->server.Address(); }
  std::uint16_t Port() const { return this->server.Port(); }
  const std::string& Id() const { return this->settings.id; }

  void StartHeartbeats() {
    this->heart = std::thread([this] {
      while (!this->closing) {
        if (!this->silent && !this->down && NowMs() >= this->next_beat) {
          this->next_beat = NowMs() + this->settings.heartbeat_ms;
          this->Beat();
        }
        SleepMs(10);
      }
    });
  }

  // The runner crashes: all that it runs ends. Silent: its machine is gone, so
  // connections get no answer. Otherwise they are refused.
  void Crash(bool silently) {
    {
      const std::lock_guard lock(this->mutex);
      this->record.Line("runner " + this->settings.id + " crashes" +
                        (silently ? ", silently" : ""));
      for (auto& [task, run] : this->running) {
        this->EndRun(task, run, "crashed", false);
      }
      this->running.clear();
      this->ended.clear();
      (silently ? this->silent : this->down) = true;
    }
    this->changed.notify_all();
    if (!silently) {
      this->server.Stop();
    }
  }

  // A new incarnation under the same id: it knows nothing of before. Its first
  // heartbeat follows after the given time.
  void Restart(std::int64_t first_beat_ms = 0) {
    {
      const std::lock_guard lock(this->mutex);
      this->tombstones.clear();
      this->fence = 0;
      this->next_end = 1;
      this->lease_until = 0;
      this->sequence = 0;
      this->born = UnixMs();
      this->clock_base = NowMs() - 1'000;
      this->next_beat = NowMs() + first_beat_ms;
      this->silent = false;
      this->down = false;
      this->record.Line("runner " + this->settings.id + " starts again, born " +
                        std::to_string(this->born));
    }
    this->server.Start();
  }

  std::size_t RunningCount() {
    const std::lock_guard lock(this->mutex);
    return this->running.size();
  }

  // The runner carries out what it is told and answers nothing.
  std::atomic<bool> mute = false;

 private:
  struct Run {
    std::uint32_t number = 0;
    std::int64_t began_ms = 0;
    Work work;
    std::int64_t stops_at_ms = 0;
    std::size_t span = 0;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
    std::size_t span = 0;
    // The lease of the runner lapsed since.
    bool lapsed = false;
  };

  std::int64_t ClockMs() const { return NowMs() - this->clock_base; }

  nlohmann::json Body() const { return {{"clock_ms", this->ClockMs()}}; }

  Response Handle(const Request& request) {
    if (this->silent) {
      return {0, "", "", Action::kSilence};
    }
    const bool answer_lost = this->mute;
    Response response = this->Order(request);
    if (answer_lost || this->mute) {
      response.action = Action::kSilence;
    }
    return response;
  }

  Response Order(const Request& request) {
    const auto expected = request.headers.find("expect-instance");
    if (expected != request.headers.end() &&
        expected->second != this->settings.id) {
      return {421, "{}"};
    }
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      return {400, "{}"};
    }
    std::unique_lock lock(this->mutex);
    const std::uint64_t fence = body.value("fence", std::uint64_t{0});
    if (fence < this->fence) {
      return this->Refuse("fence");
    }
    this->fence = fence;
    if (request.path == "/run-start") {
      return this->StartRun(body);
    }
    if (request.path == "/run-stop") {
      return this->StopRun(body);
    }
    if (request.path == "/hold") {
      return this->Hold(body, lock);
    }
    return {404, "{}"};
  }

  Response Refuse(const std::string& reason) {
    auto body = this->Body();
    body["reason"] = reason;
    return {409, body.dump()};
  }

  void Extend(const nlohmann::json& body) {
    const std::int64_t until = body.value("until_ms", std::int64_t{0});
    this->lease_until = std::max(
        this->lease_until,
        std::min(until, this->ClockMs() + this->settings.hold_max_ms));
  }

  Response StartRun(const nlohmann::json& body) {
    const std::string task = body.at("task");
    const std::uint32_t run = body.at("run");
    const auto known = this->running.find(task);
    if (known != this->running.end() && known->second.number == run) {
      this->Extend(body);
      return {200, this->Body().dump()};
    }
    const auto stone = this->tombstones.find(task);
    if (stone != this->tombstones.end() && run <= stone->second) {
      this->Extend(body);
      return this->Refuse("old");
    }
    if (body.value("until_ms", std::int64_t{0}) <= this->ClockMs()) {
      return this->Refuse("late");
    }
    this->Extend(body);
    Run started;
    started.number = run;
    started.began_ms = NowMs();
    started.work = this->work_of(task);
    started.span = this->log.Begin(task, run, this->settings.id);
    this->running[task] = started;
    this->record.Line("runner " + this->settings.id + " starts " + task +
                      " run " + std::to_string(run));
    return {200, this->Body().dump()};
  }

  Response StopRun(const nlohmann::json& body) {
    const std::string task = body.at("task");
    const std::uint32_t run = body.at("run");
    auto& stone = this->tombstones[task];
    stone = std::max(stone, run);
    const auto known = this->running.find(task);
    if (known != this->running.end() && known->second.number == run &&
        known->second.stops_at_ms == 0) {
      known->second.stops_at_ms = NowMs() + this->settings.stop_ms;
      this->record.Line("runner " + this->settings.id + " is told to stop " +
                        task + " run " + std::to_string(run));
    }
    return {200, this->Body().dump()};
  }

  Response Hold(const nlohmann::json& body, std::unique_lock<std::mutex>& lock) {
    const std::uint64_t seen = body.value("last_seen", std::uint64_t{0});
    for (const End& end : this->ended) {
      if (end.number <= seen) {
        if (!end.lapsed) {
          this->log.Note(end.span);
        }
        this->record.Line("runner " + this->settings.id + ": end of " +
                          end.task + " run " + std::to_string(end.run) +
                          " (" + end.how + ") is taken note of");
      }
    }
    std::erase_if(this->ended,
                  [&](const End& end) { return end.number <= seen; });
    this->Extend(body);
    const std::int64_t until =
        NowMs() + body.value("wait_ms", std::int64_t{0});
    const std::int64_t life = this->born;
    while (this->ended.empty() && NowMs() < until && !this->closing &&
           !this->silent && !this->down && life == this->born) {
      this->changed.wait_for(lock, std::chrono::milliseconds(
                                       std::max<std::int64_t>(
                                           1, until - NowMs())));
    }
    if (this->silent || life != this->born) {
      return {0, "", "", Action::kSilence};
    }
    auto answer = this->Body();
    answer["born"] = this->born.load();
    answer["running_tasks"] = nlohmann::json::array();
    answer["ended_tasks"] = nlohmann::json::array();
    for (const auto& [task, run] : this->running) {
      const std::int64_t percent = std::min<std::int64_t>(
          100, (NowMs() - run.began_ms) * 100 /
                   std::max<std::int64_t>(1, run.work.ms));
      answer["running_tasks"].push_back({task, run.number, "", percent, 0});
    }
    for (const End& end : this->ended) {
      answer["ended_tasks"].push_back(
          {end.number, end.task, end.run, end.how, ""});
    }
    return {200, answer.dump()};
  }

  void EndRun(const std::string& task,
              const Run& run,
              const std::string& how,
              bool listed) {
    this->log.End(run.span, how);
    this->record.Line("runner " + this->settings.id + " ends " + task +
                      " run " + std::to_string(run.number) + ": " + how);
    if (listed) {
      auto& stone = this->tombstones[task];
      stone = std::max(stone, run.number);
      this->ended.push_back(
          {this->next_end++, task, run.number, how, run.span, false});
    }
  }

  // Ends what has finished, was stopped or has no lease any more.
  void RunClock() {
    while (!this->closing) {
      SleepMs(5);
      const std::lock_guard lock(this->mutex);
      const std::int64_t now = NowMs();
      if (this->ClockMs() >= this->lease_until) {
        for (End& end : this->ended) {
          end.lapsed = true;
        }
      }
      bool any = false;
      for (auto at = this->running.begin(); at != this->running.end();) {
        const Run& run = at->second;
        std::string how;
        if (this->ClockMs() >= this->lease_until) {
          how = "lapsed";
        } else if (run.stops_at_ms != 0 && now >= run.stops_at_ms) {
          how = "stopped";
        } else if (run.stops_at_ms == 0 &&
                   now >= run.began_ms + run.work.ms) {
          how = run.work.how;
        }
        if (how.empty()) {
          ++at;
          continue;
        }
        this->EndRun(at->first, run, how, true);
        at = this->running.erase(at);
        any = true;
      }
      if (any) {
        this->changed.notify_all();
      }
    }
  }

  void Beat() {
    nlohmann::json body;
    {
      const std::lock_guard lock(this->mutex);
      body = {{"service", this->settings.service},
              {"address", this->Address()},
              {"zone", this->settings.zone},
              {"version", "v1"},
              {"slots", 8},
              {"state", "ready"},
              {"capacity",
               {{"cpu", this->settings.cpu},
                {"mem_mb", this->settings.mem_mb},
                {"gpu", this->settings.gpu}}},
              {"labels", {"a", this->settings.rack}},
              {"clock_ms", this->ClockMs()},
              {"born", this->born.load()},
              {"seq", ++this->sequence}};
    }
    Call(this->control_port, "PUT", "/instances/" + this->settings.id,
         {{"Host", "127.0.0.1"}, {"Content-Type", "application/json"}},
         body.dump(), 1'000);
  }

  RunnerSettings settings;
  std::uint16_t control_port;
  Record& record;
  RunLog& log;
  WorkOf work_of;
  std::mutex mutex;
  std::condition_variable changed;
  std::atomic<bool> closing = false;
  std::atomic<bool> silent = false;
  std::atomic<bool> down = false;
  std::atomic<std::int64_t> born;
  std::int64_t clock_base;
  std::atomic<std::int64_t> next_beat = 0;
  std::map<std::string, Run> running;
  std::map<std::string, std::uint32_t> tombstones;
  std::vector<End> ended;
  std::uint64_t next_end = 1;
  std::uint64_t fence = 0;
  std::int64_t lease_until = 0;
  std::uint64_t sequence = 0;
  std::thread clock;
  std::thread heart;
  Server server;
};

}  // namespace standin

#endif  // REVIEW_STANDIN_RUNNER_H_
