#ifndef PACKAGES_DAEMON_DAEMON_RUNNER_H_
#define PACKAGES_DAEMON_DAEMON_RUNNER_H_

#include <concepts>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "packages/core/log.h"
#include "packages/core/result.h"
#include "packages/daemon/daemon_options.h"
#include "packages/daemon/settings.h"
#include "packages/daemon/shutdown_control.h"

namespace carobrill::daemon {

/// Why a role could not start.
struct StartFailure {
  ExitCode code = ExitCode::kInternal;
  std::string message;
};

/// A role of the daemon.
template <typename R>
concept DaemonRole = std::constructible_from<R, const Settings&> &&
    requires(R& role, std::function<void()> drained) {
  { role.Start() } -> std::same_as<Result<void>>;
  // `drained` runs once, on any thread, when nothing runs any more.
  role.BeginShutdown(drained);
  { role.RpcPort() } -> std::convertible_to<std::uint16_t>;
  { role.HttpPort() } -> std::convertible_to<std::uint16_t>;
};

/// Runs a role until it has shut down. `start` starts it and turns its typed
/// errors into a StartFailure.
template <DaemonRole Role>
ExitCode RunRole(
    const Settings& settings,
    const std::function<std::optional<StartFailure>(Role&)>& start) {
  Role role(settings);
  // Signals during the start are kept for the loop below.
  ShutdownControl control(
      settings.instance.shutdown_limit_ms,
      [&](auto drained) { role.BeginShutdown(std::move(drained)); });
  if (const auto failure = start(role)) {
    Log(LogLevel::kError, "cannot start", {{"reason", failure->message}});
    return failure->code;
  }
  Log(LogLevel::kInfo, "ready",
      {{"role", std::string(NameOf(settings.role))},
       {"version", CAROBRILL_VERSION},
       {"http_port", std::to_string(role.HttpPort())},
       {"rpc_port", std::to_string(role.RpcPort())}});
  const ExitCode code = control.Wait();
  if (code == ExitCode::kShutdownCutShort) {
    // Destructors of the role could wait for what is being cut short.
    std::_Exit(static_cast<int>(code));
  }
  Log(LogLevel::kInfo, "shutdown complete");
  return code;
}

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_DAEMON_RUNNER_H_
