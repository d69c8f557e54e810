#include "packages/daemon/daemon_runner.h"

#include <doctest/doctest.h>
#include <signal.h>

#include <thread>

#include "packages/core/time.h"

namespace carobrill::daemon {
namespace {

/// A role that reports the end of its shutdown after `drain_after_ms`.
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

TEST_CASE(
    "a signal starts a graceful shutdown, after which the process exits") {
  // Guards against exiting before running work has finished.
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

TEST_CASE("a second signal or the time limit forces the shutdown") {
  // Guards against a process that cannot be stopped because its work hangs.
  int shutdowns_started = 0;
  {
    ShutdownControl control(60'000, [&](const auto&) {
      ++shutdowns_started;
      raise(SIGINT);
    });
    raise(SIGTERM);
    CHECK(control.Wait() == ExitCode::kShutdownForced);
  }
  ShutdownControl control(10, [&](const auto&) { ++shutdowns_started; });
  raise(SIGTERM);
  CHECK(control.Wait() == ExitCode::kShutdownForced);
  CHECK(shutdowns_started == 2);
}

TEST_CASE("a role that fails to start returns the exit code of the failure") {
  // Guards against a supervisor that restarts a process with an unusable
  // address forever, because the exit code does not identify the cause.
  const ExitCode code = RunRole<FakeRole>(Settings{}, [](FakeRole&) {
    return std::optional(StartFailure{ExitCode::kCannotListen, "in use"});
  });
  CHECK(code == ExitCode::kCannotListen);
}

TEST_CASE("the command line of the daemon is parsed") {
  // Guards against options that are accepted but ignored.
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
        "required option --settings FILE is missing");
  CHECK(std::get<UsageError>(Parse({"--settings"})).message ==
        "option --settings requires a value");
  CHECK(std::get<UsageError>(Parse({"--setings", "f"})).message ==
        "option --setings is not recognized");
  CHECK(std::get<UsageError>(Parse({"-s", "f", "g"})).message ==
        "unexpected argument g");
}

}  // namespace
}  // namespace carobrill::daemon
