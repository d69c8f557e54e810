// A runner starts again under its id and carries out a start that its agent
// repeats; the agent's process ends before it has learned of the new one. The
// planner gives the run up, although the next agent lists it, and starts the
// task elsewhere.
#include "standin.h"

using namespace standin;

namespace {

constexpr int kRunners = 7;
constexpr std::int64_t kSilentMs = 2'900;
constexpr std::int64_t kRestartMs = 500;
constexpr std::int64_t kTaskMs = 6'000;

}  // namespace

int main(int, char** argv) {
  Record record(argv[1]);
  const std::string first_service = JobId(1'001);
  const std::string second_service = JobId(1'002);
  Site::Options options;
  options.runners = kRunners;
  options.gateways = 3;
  Site site(options, record, [&](const std::string& task) {
    return task.starts_with(first_service) || task.starts_with(second_service)
               ? -1
               : kTaskMs;
  });
  site.store->Put(
      "keyed.op", "config",
      Config(1, {{"plain", 1, 3}}, {{"tenant-a", "key-a", 0}}).dump());
  site.Start();
  // Services that last on one runner of each of two racks.
  for (const auto& [job, rack, cores] :
       {std::tuple{first_service, "r1-1", 16},
        std::tuple{second_service, "r1-2", 8}}) {
    const Json step = {{"count", 1},
                       {"cpu", cores * 1'000},
                       {"mem_mb", 1'000},
                       {"persistent", true},
                       {"required_label", rack}};
    if (!site.Submit("/plain/" + job, "key-a",
                     {{"task_spec", "serving"}, {"steps", {step}}})) {
      return 2;
    }
    SleepMs(500);
  }
  std::atomic<bool> ending = false;
  std::thread traffic([&] {
    for (std::uint64_t i = 1; !ending; ++i) {
      const Json step = {{"count", 3},
                         {"cpu", 1'000},
                         {"mem_mb", 1'000},
                         {"estimate_ms", kTaskMs}};
      site.Ask(static_cast<int>(i % 3), "POST", "/plain/" + JobId(i), "key-a",
               {{"task_spec", "cut"}, {"steps", {step}}});
      SleepMs(1'300);
    }
  });
  SleepMs(4'500);
  // The runner that gets most work.
  std::size_t index = 0;
  for (std::size_t i = 1; i < kRunners; ++i) {
    index = site.runners[i]->Running().size() >
                    site.runners[index]->Running().size()
                ? i
                : index;
  }
  Runner& runner = *site.runners[index];
  Child& agent =
      *site.children[static_cast<std::size_t>(options.gateways) + index];
  std::atomic<bool> armed = false;
  std::atomic<bool> carried_out = false;
  runner.on_start = [&] { carried_out = carried_out || armed; };
  if (Trouble()) {
    runner.GoDark();
    SleepMs(kSilentMs);
    armed = true;
    runner.ReturnUnderId();
    for (const std::int64_t until = NowMs() + 1'000;
         !carried_out && NowMs() < until;) {
      SleepMs(1);
    }
    if (!carried_out) {
      record.Line("the agent has repeated no start");
    }
    agent.Signal(SIGKILL);
    agent.Kill();
    SleepMs(kRestartMs);
    agent.Start();
  }
  SleepMs(10'000);
  ending = true;
  traffic.join();
  SleepMs(kTaskMs + 2'000);

  struct Span {
    std::int64_t run;
    std::int64_t began_ms;
    std::int64_t ended_ms;
    std::size_t runner;
  };
  std::map<std::string, std::vector<Span>> spans;
  for (std::size_t i = 0; i < kRunners; ++i) {
    for (const Runner::Run& run : site.runners[i]->Ended()) {
      spans[run.task].push_back({run.run, run.began_ms, run.ended_ms, i});
    }
    for (const Runner::Run& run : site.runners[i]->Running()) {
      spans[run.task].push_back({run.run, run.began_ms, NowMs(), i});
    }
  }
  int twice = 0;
  for (const auto& [task, runs] : spans) {
    for (const Span& a : runs) {
      for (const Span& b : runs) {
        const std::int64_t both_ms =
            std::min(a.ended_ms, b.ended_ms) - std::max(a.began_ms, b.began_ms);
        if (a.run < b.run && both_ms > 0) {
          ++twice;
          record.Line(
              "task %s: run %ld on runner-%zu and run %ld on runner-%zu at the "
              "same time for %ld ms",
              task.c_str(), static_cast<long>(a.run), a.runner,
              static_cast<long>(b.run), b.runner, static_cast<long>(both_ms));
        }
      }
    }
  }
  record.Line("%d tasks ran twice at the same time; %s", twice,
              twice > 0 ? "TWICE broken" : "TWICE held");
  return twice > 0 ? 1 : 0;
}
