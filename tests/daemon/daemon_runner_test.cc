#include "packages/daemon/daemon_runner.h"

#include <doctest/doctest.h>
#include <signal.h>

#include <thread>

#include "packages/core/time.h"

namespace carobrill::daemon {
namespace {

/// A role that shuts down when told to and then drains after a while.
struct FakeRole {
  static inline std::int64_t drain_after_ms = 0;
  static inline int shutdowns = 0;

  explicit FakeRole(const Settings&) {}
  ~FakeRole() {
    if (this->drainer.joinable()) {
      this->drainer.join();
    }
  }

  Result<void> Start() { return {}; }
  void BeginShutdown(std::function<void()> drained) {
    ++shutdowns;
    this->drainer = std::thread([drained = std::move(drained)] {
      std::this_thread::sleep_for(std::chrono::milliseconds(drain_after_ms));
      drained();
    });
  }
  std::uint16_t RpcPort() const { return 1; }
  std::uint16_t HttpPort() const { return 2; }

  std::thread drainer;
};

std::variant<DaemonOptions, UsageError> Parse(std::vector<std::string> rest) {
  rest.insert(rest.begin(), "carobrilld");
  return ParseDaemonOptions(rest);
}

TEST_CASE("a signal starts a graceful shutdown and the process ends after it") {
  // Guards against an end that does not wait for running work.
  FakeRole::drain_after_ms = 100;
  FakeRole::shutdowns = 0;
  const auto before = BootClock{}.Now();
  const ExitCode code = RunRole<FakeRole>(Settings{}, [](FakeRole&) {
    raise(SIGTERM);
    return std::optional<StartFailure>();
  });
  CHECK(code == ExitCode::kOk);
  CHECK(FakeRole::shutdowns == 1);
  CHECK(BootClock{}.Now() >= before.After(100));
}

TEST_CASE("a second signal and the limit cut a shutdown short") {
  // Guards against a process that cannot be ended while its work hangs.
  int begun = 0;
  {
    ShutdownControl control(60'000, [&](const auto&) {
      ++begun;
      raise(SIGINT);
    });
    raise(SIGTERM);
    CHECK(control.Wait() == ExitCode::kShutdownCutShort);
  }
  ShutdownControl control(10, [&](const auto&) { ++begun; });
  raise(SIGTERM);
  CHECK(control.Wait() == ExitCode::kShutdownCutShort);
  CHECK(begun == 2);
}

TEST_CASE("a role that cannot start ends with its exit code") {
  // Guards against a supervisor that restarts a process with a wrong address
  // for ever because the exit code does not tell.
  const ExitCode code = RunRole<FakeRole>(Settings{}, [](FakeRole&) {
    return std::optional(StartFailure{ExitCode::kCannotListen, "in use"});
  });
  CHECK(code == ExitCode::kCannotListen);
}

TEST_CASE("the command line of the daemon") {
  // Guards against options that are accepted and not followed.
  const auto run = Parse({"--settings", "f"});
  CHECK(std::get<DaemonOptions>(run).settings_path == "f");
  CHECK(std::get<DaemonOptions>(run).action == DaemonAction::kRun);
  CHECK(std::get<DaemonOptions>(Parse({"--check", "-s", "f"})).action ==
        DaemonAction::kCheck);
  CHECK(std::get<DaemonOptions>(Parse({"--help"})).action ==
        DaemonAction::kHelp);
  CHECK(std::get<DaemonOptions>(Parse({"-V"})).action ==
        DaemonAction::kVersion);
  CHECK(std::get<UsageError>(Parse({})).message ==
        "--settings FILE is missing");
  CHECK(std::get<UsageError>(Parse({"--settings"})).message ==
        "the option --settings needs a value");
  CHECK(std::get<UsageError>(Parse({"--setings", "f"})).message ==
        "the option --setings is not known");
  CHECK(std::get<UsageError>(Parse({"-s", "f", "g"})).message ==
        "unexpected argument g");
}

}  // namespace
}  // namespace carobrill::daemon
