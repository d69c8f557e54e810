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

/// Why a role failed to start, with the exit code to return.
struct StartFailure {
  ExitCode code = ExitCode::kInternal;
  std::string message;
};

/// A role of the daemon.
template <typename R>
concept DaemonRole = std::constructible_from<R, const Settings&> &&
    requires(R& role, std::function<void()> drained) {
  { role.Start() } -> std::same_as<Result<void>>;
  // Calls `drained` once, on any thread, when no work is left.
  role.BeginShutdown(drained);
  { role.RpcPort() } -> std::convertible_to<std::uint16_t>;
  { role.HttpPort() } -> std::convertible_to<std::uint16_t>;
};

/// Runs a role until it has shut down. `start` starts the role and converts its
/// typed errors to a StartFailure.
template <DaemonRole Role>
ExitCode RunRole(
    const Settings& settings,
    const std::function<std::optional<StartFailure>(Role&)>& start) {
  Role role(settings);
  // Created before the start, so that signals received during the start are
  // handled by the loop in Wait().
  ShutdownControl control(
      settings.instance.shutdown_limit_ms,
      [&](auto drained) { role.BeginShutdown(std::move(drained)); });
  if (const auto failure = start(role)) {
    Log(LogLevel::kError, "failed to start", {{"reason", failure->message}});
    return failure->code;
  }
  Log(LogLevel::kInfo, "ready",
      {{"role", std::string(NameOf(settings.role))},
       {"version", CAROBRILL_VERSION},
       {"http_port", std::to_string(role.HttpPort())},
       {"rpc_port", std::to_string(role.RpcPort())}});
  const ExitCode code = control.Wait();
  if (code == ExitCode::kShutdownForced) {
    // Skips the destructors of the role, which could block on unfinished work.
    std::_Exit(static_cast<int>(code));
  }
  Log(LogLevel::kInfo, "shutdown complete");
  return code;
}

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_DAEMON_RUNNER_H_
