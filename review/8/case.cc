// Open connections between agents and runners go silent while new ones work: an
// agent tries its old connections one after the other, until the leases of all
// tasks have ended, and long after.
#include "standin.h"

using namespace standin;

namespace {

constexpr int kRunners = 3;
constexpr int kTasksPerRunner = 24;
constexpr int kTasks = kRunners * kTasksPerRunner;
/// Bounds of the rule: from 6 s after its last run, for 3 s, if these and the
/// 4 s before them are calm.
constexpr std::int64_t kAfterLastRunMs = 6'000;
constexpr std::int64_t kNothingRunsMs = 3'000;
constexpr std::int64_t kCalmMs = 4'000;
constexpr std::int64_t kWatchMs = 45'000;

}  // namespace

int main(int, char** argv) {
  Record record(argv[1]);
  const std::string job = JobId(1);
  Site::Options options;
  options.runners = kRunners;
  options.runner_proxies = true;
  Site site(options, record, [](const std::string&) { return -1; });
  for (auto& runner : site.runners) {
    runner->verbose = false;
  }
  site.store->Put("keyed.op", "config", Config(1, {{"plain", 1, 3}}, {{"tenant-a", "key-a", 0}}).dump());
  site.Start();
  const Json step = {{"count", kTasks}, {"cpu", 1'000}, {"mem_mb", 1'000}, {"persistent", true}};
  if (!site.Submit("/plain/" + job, "key-a", {{"task_spec", "serving"}, {"steps", {step}}})) {
    return 2;
  }
  const auto running = [&] {
    std::size_t count = 0;
    for (auto& runner : site.runners) {
      count += runner->Running().size();
    }
    return count;
  };
  for (const std::int64_t until = NowMs() + 10'000; running() < kTasks; SleepMs(20)) {
    if (NowMs() > until) {
      return 2;
    }
  }
  record.Line("%d tasks run on %d runners", kTasks, kRunners);
  SleepMs(8'000);

  const std::int64_t disturbed = NowMs();
  if (Trouble()) {
    int silent = 0;
    for (auto& proxy : site.runner_proxies) {
      silent += proxy->Silence();
    }
    record.Line("all %d open connections between agents and runners go silent; new ones work", silent);
  }
  std::size_t least = kTasks;
  for (std::int64_t note = NowMs(); NowMs() < disturbed + kWatchMs; SleepMs(10)) {
    const std::size_t count = running();
    least = std::min(least, count);
    if (NowMs() >= note) {
      int open = 0;
      for (auto& proxy : site.runner_proxies) {
        open += proxy->Open();
      }
      record.Line("%zu of %d tasks run; %d working connections between agents and runners", count, kTasks, open);
      note = NowMs() + 1'000;
    }
  }
  // Time without a run of each task, beyond the first seconds after its last
  // run and after the disturbance.
  std::map<std::string, std::vector<Runner::Run>> runs;
  for (auto& runner : site.runners) {
    for (const Runner::Run& run : runner->Ended()) {
      runs[run.task].push_back(run);
    }
    for (const Runner::Run& run : runner->Running()) {
      runs[run.task].push_back(run);
    }
  }
  const std::int64_t now = NowMs();
  std::int64_t idle_ms = 0;
  int broken = 0;
  for (auto& [task, list] : runs) {
    std::ranges::sort(list, {}, &Runner::Run::began_ms);
    std::int64_t longest = 0;
    for (std::size_t i = 0; i < list.size() && list[i].ended_ms != 0; ++i) {
      const std::int64_t next = i + 1 < list.size() ? list[i + 1].began_ms : now;
      longest = std::max(longest, next - std::max(list[i].ended_ms + kAfterLastRunMs, disturbed + kCalmMs));
    }
    idle_ms = std::max(idle_ms, longest);
    broken += longest > kNothingRunsMs ? 1 : 0;
  }
  site.State("/plain/" + job, "key-a", 1);
  const bool held = broken == 0;
  record.Line("fewest tasks at once %zu; longest time without a run, counted from 6 s after the task's last one: %ld ms (limit %ld)",
              least, static_cast<long>(idle_ms), static_cast<long>(kNothingRunsMs));
  record.Line("%d of %d tasks beyond it; %s", broken, kTasks, held ? "LOST held" : "LOST broken");
  return held ? 0 : 1;
}
