// A machine loses its runner for good while its agent restarts. The accepted
// job that ran there must be run elsewhere.
#include "case.h"

using namespace standin;

namespace {

// As many workers as the site has.
constexpr int kMachines = 11;
constexpr std::int64_t kWorkMs = 4'000;
// Delay after which an ended process is started again.
constexpr std::int64_t kRestartMs = 500;
// hold_max_ms, finish_s and the 3 s of the rule, and ample time for a run.
constexpr std::int64_t kPatienceMs = 40'000;
constexpr std::int64_t kIdleMs = 3'000;

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
  if (!deployment.WaitReady()) {
    return kCannotRun;
  }
  SleepMs(3'000);
  const std::string job = JobName(1);
  if (deployment.CallGateway(gateway, "POST", job, JobBody(1, kWorkMs))
          .status != 200) {
    return kCannotRun;
  }
  SleepMs(1'500);
  Machine* busy = nullptr;
  for (Machine& machine : deployment.machines) {
    if (machine.runner->RunningCount() > 0) {
      busy = &machine;
    }
  }
  if (busy == nullptr) {
    return kCannotRun;
  }
  if (trouble) {
    busy->process->End(SIGKILL);
    busy->runner->Crash(/*silently=*/false);
    SleepMs(kRestartMs);
    busy->process->Start();
  }
  SleepMs(kPatienceMs);
  const std::string before = deployment.State(gateway, job);
  std::size_t running = 0;
  for (std::int64_t until = NowMs() + kIdleMs; NowMs() < until; SleepMs(100)) {
    for (Machine& machine : deployment.machines) {
      running += machine.runner->RunningCount();
    }
  }
  const std::string after = deployment.State(gateway, job);
  record.Line("the job is " + before + ", then " + after + "; in between " +
              (running > 0 ? "a task ran" : "nothing ran anywhere"));
  const bool ended = before == "completed" || after == "completed";
  return ended || running > 0 ? kHeld : kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  return RunCase(argc, argv, Play);
}
