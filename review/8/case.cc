// After two crashes of a rack, each task under which two runners have crashed
// gets a runner to itself until its end. A few small tasks then keep the whole
// service from everybody, although almost all of it is idle.
#include "standin.h"

using namespace standin;

namespace {

constexpr int kRunners = 6;
constexpr int kPerRack = 3;
constexpr int kJobs = 6;
constexpr std::int64_t kDownMs = 4'500;
constexpr std::int64_t kSettleMs = 5'000;
/// A task works for an hour.
constexpr std::int64_t kLongMs = 3'600'000;
/// finish_s after the end of the traffic, and 3 s more.
constexpr std::int64_t kFinishMs = 14'000;
constexpr std::int64_t kNothingRunsMs = 3'000;

Json Step(std::int64_t estimate_ms) {
  return {{"count", 1},
          {"cpu", 1'000},
          {"mem_mb", 1'000},
          {"estimate_ms", estimate_ms}};
}

}  // namespace

int main(int, char** argv) {
  Record record(argv[1]);
  const std::string small = JobId(100);
  Site::Options options;
  options.runners = kRunners;
  Site site(options, record, [&](const std::string& task) -> std::int64_t {
    return task.starts_with(small) ? 2'000 : kLongMs;
  });
  site.store->Put("keyed.op", "config",
                  Config(1, {{"plain", 1, 3}},
                         {{"tenant-a", "key-a", 0}, {"tenant-b", "key-b", 0}})
                      .dump());
  site.Start();
  for (int i = 0; i < kJobs; ++i) {
    if (!site.Submit("/plain/" + JobId(static_cast<std::uint64_t>(i)), "key-a",
                     {{"task_spec", "long"}, {"steps", {Step(kLongMs)}}})) {
      return 2;
    }
  }
  const auto list = [&] {
    std::string text;
    for (std::size_t i = 0; i < kRunners; ++i) {
      text += " " + std::to_string(site.runners[i]->Running().size());
    }
    record.Line("tasks on each runner:%s", text.c_str());
  };
  SleepMs(kSettleMs);
  for (int crash = 0; crash < 2 && Trouble(); ++crash) {
    list();
    // The rack with most tasks loses power.
    std::vector<std::size_t> tasks(kRunners / kPerRack, 0);
    for (std::size_t i = 0; i < kRunners; ++i) {
      tasks[i / kPerRack] += site.runners[i]->Running().size();
    }
    const std::size_t rack = static_cast<std::size_t>(
        std::ranges::max_element(tasks) - tasks.begin());
    record.Line("rack %zu loses power with %zu tasks", rack, tasks[rack]);
    for (std::size_t i = rack * kPerRack; i < (rack + 1) * kPerRack; ++i) {
      site.runners[i]->Crash();
    }
    SleepMs(kDownMs);
    for (std::size_t i = rack * kPerRack; i < (rack + 1) * kPerRack; ++i) {
      site.runners[i]->Restart();
    }
    SleepMs(kSettleMs);
  }
  SleepMs(kSettleMs);
  list();
  if (!site.Submit("/plain/" + small, "key-b",
                   {{"task_spec", "small"}, {"steps", {Step(2'000)}}})) {
    return 2;
  }
  const std::int64_t accepted = NowMs();
  std::string state;
  while (state != "completed" &&
         NowMs() < accepted + kFinishMs + kNothingRunsMs) {
    SleepMs(500);
    state = site.State("/plain/" + small, "key-b", 1);
  }
  std::size_t used = 0;
  for (auto& runner : site.runners) {
    used += runner->Running().size();
  }
  list();
  const bool held = state == "completed";
  record.Line(
      "the small job is shown as %s after %ld ms, while %zu of %d cores are in "
      "use; %s",
      state.c_str(), static_cast<long>(NowMs() - accepted), used, 32 * kRunners,
      held ? "LOST held" : "LOST broken");
  return held ? 0 : 1;
}
