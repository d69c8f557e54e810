// A runner crashes silently and starts again under its id. Orders meant for the
// life before reach the new one, before its first heartbeat. No task may then
// run twice at the same time.
#include "case.h"

using namespace standin;

namespace {

// As many workers as the site has; one of them is disrupted.
constexpr int kMachines = 11;
constexpr int kJobs = 8;
constexpr std::int64_t kWorkMs = 6'000;
// The new life sends its first heartbeat so long after it began to listen.
constexpr std::int64_t kFirstBeatMs = 300;

Verdict Play(Deployment& deployment, Record& record, bool trouble) {
  deployment.Configure(1);
  Gateway& gateway = deployment.AddGateway("gateway-a");
  deployment.AddGateway("gateway-b");
  const auto work = [](const std::string&) {
    return Runner::Work{kWorkMs, "done"};
  };
  for (int i = 1; i <= kMachines; ++i) {
    deployment.AddMachine("side-" + std::to_string(i), {}, work);
  }
  // The planner fills this worker first.
  Machine& machine = deployment.machines.front();
  if (!deployment.WaitReady()) {
    return kCannotRun;
  }
  SleepMs(3'000);
  if (trouble) {
    machine.runner->Crash(/*silently=*/true);
  }
  for (int i = 0; i < kJobs; ++i) {
    if (deployment
            .CallGateway(gateway, "POST", JobName(i), JobBody(2, kWorkMs))
            .status != 200) {
      return kCannotRun;
    }
    SleepMs(230);
  }
  SleepMs(1'000);
  if (trouble) {
    machine.runner->Restart(kFirstBeatMs);
  }
  SleepMs(14'000);
  bool broken = false;
  const auto spans = deployment.runs.Spans();
  for (const RunSpan& first : spans) {
    for (const RunSpan& later : spans) {
      const bool other = &first != &later && first.task == later.task &&
                         first.began_ms <= later.began_ms;
      if (other &&
          (first.ended_ms == 0 || first.ended_ms > later.began_ms)) {
        broken = true;
        record.Line("two runs of " + first.task + " at the same time: run " +
                    std::to_string(first.run) + " on " + first.runner +
                    " and run " + std::to_string(later.run) + " on " +
                    later.runner + ", for " +
                    std::to_string((first.ended_ms == 0 ? NowMs()
                                                        : first.ended_ms) -
                                   later.began_ms) +
                    " ms");
      }
    }
  }
  return broken ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return RunCase(argc, argv, Play);
}
