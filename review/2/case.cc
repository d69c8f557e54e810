// The answers of a runner are lost for a few seconds, while it carries out what
// it is told. A run that ends meanwhile must not be repeated once its end has
// been taken note of.
#include "case.h"

using namespace standin;

namespace {

// As many workers as the site has; one of them is disrupted.
constexpr int kMachines = 11;
constexpr int kJobs = 8;
constexpr std::int64_t kWorkMs = 1'500;
// Below the for_s of the site file.
constexpr std::int64_t kMuteMs = 5'000;

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
  const std::int64_t began_ms = NowMs();
  if (trouble) {
    record.Line("the answers of runner-side-1 are lost from now on");
    machine.runner->mute = true;
  }
  for (int i = 0; i < kJobs; ++i) {
    if (deployment
            .CallGateway(gateway, "POST", JobName(i), JobBody(1, kWorkMs))
            .status != 200) {
      return kCannotRun;
    }
    SleepMs(270);
  }
  SleepMs(began_ms + kMuteMs - NowMs());
  if (trouble) {
    record.Line("the answers of runner-side-1 arrive again");
    machine.runner->mute = false;
  }
  SleepMs(10'000);
  for (int i = 0; i < kJobs; ++i) {
    deployment.State(gateway, JobName(i));
  }
  // An end is taken note of when last_seen reaches it; the lease of the runner
  // did not lapse, or its runs would have ended so.
  bool broken = false;
  const auto spans = deployment.runs.Spans();
  for (const RunSpan& first : spans) {
    for (const RunSpan& later : spans) {
      if (first.task == later.task && first.how == "done" && first.noted &&
          later.began_ms > first.ended_ms) {
        broken = true;
        record.Line(first.task + " was started again, run " +
                    std::to_string(later.run) + " on " + later.runner +
                    ", after run " + std::to_string(first.run) +
                    " had ended done");
      }
    }
  }
  return broken ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return RunCase(argc, argv, Play);
}
