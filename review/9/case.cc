// A job whose tasks last is given up after three runners have crashed under one
// of its tasks, although it must be started again however its tasks end.
#include "standin.h"

using namespace standin;

namespace {

// One of seven runners: a share of 0.143.
constexpr int kRunners = 7;
constexpr int kCrashes = 3;
constexpr std::int64_t kDownMs = 4'500;
constexpr std::int64_t kBetweenMs = 18'000;
constexpr std::int64_t kWatchMs = 20'000;

Runner* RunnerOf(Site& site, const std::string& job) {
  for (auto& runner : site.runners) {
    for (const Runner::Run& run : runner->Running()) {
      if (run.task.starts_with(job + ".")) {
        return runner.get();
      }
    }
  }
  return nullptr;
}

}  // namespace

int main(int, char** argv) {
  Record record(argv[1]);
  const std::string job = JobId(1);
  const std::string path = "/plain/" + job;
  Site::Options options;
  options.runners = kRunners;
  Site site(options, record, [](const std::string&) { return -1; });
  site.store->Put("keyed.op", "config",
                  Config(1, {{"plain", 1, 3}}, {{"tenant-a", "key-a", 0}}).dump());
  site.Start();
  Json step = {{"count", 1}, {"cpu", 1'000}, {"mem_mb", 1'000}, {"gpu", 1}, {"persistent", true}};
  if (!site.Submit(path, "key-a", {{"task_spec", "serving"}, {"steps", {step}}})) {
    return 2;
  }
  const auto wait_for_run = [&](std::int64_t limit_ms) {
    for (const std::int64_t until = NowMs() + limit_ms; NowMs() < until; SleepMs(20)) {
      if (Runner* runner = RunnerOf(site, job)) {
        return runner;
      }
    }
    return static_cast<Runner*>(nullptr);
  };
  Runner* runner = wait_for_run(10'000);
  if (runner == nullptr) {
    return 2;
  }
  for (int i = 0; i < kCrashes; ++i) {
    // The task is at work for most of this time.
    SleepMs(kBetweenMs - kDownMs);
    runner = wait_for_run(2'000);
    if (runner == nullptr) {
      record.Line("no run of the job before crash %d", i + 1);
      break;
    }
    if (!Trouble()) {
      SleepMs(kDownMs);
      continue;
    }
    runner->Crash();
    SleepMs(kDownMs);
    runner->Restart();
    record.Line("the job is shown as %s", site.State(path, "key-a", i % 3).c_str());
  }
  // Calm: 6 s after its last run, and 3 s more, a task that lasts has to run.
  std::string state;
  bool runs = false;
  for (const std::int64_t until = NowMs() + kWatchMs; NowMs() < until && !runs; SleepMs(100)) {
    runs = RunnerOf(site, job) != nullptr;
  }
  for (int gateway = 0; gateway < 3; ++gateway) {
    state = site.State(path, "key-a", gateway);
  }
  const bool held = runs && state != "failed";
  record.Line("%s; the job is shown as %s; %s", runs ? "a task of the job runs" : "no task of the job has run for 20 s",
              state.c_str(), held ? "LOST held" : "LOST broken");
  return held ? 0 : 1;
}
