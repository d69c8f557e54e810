#include <glib.h>

#include <cstdio>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "packages/core/log.h"
#include "packages/core/state_chart.h"
#include "packages/core/termination_log.h"
#include "packages/daemon/agent_role.h"
#include "packages/daemon/daemon_options.h"
#include "packages/daemon/daemon_runner.h"
#include "packages/daemon/entry_role.h"
#include "packages/daemon/settings.h"
#include "packages/daemon/settings_watch.h"
#include "packages/http/http_server.h"
#include "packages/rpc/rpc_types.h"
#include "platform/gateway_role.h"
#include "platform/worker_agent_role.h"

namespace carobrill::daemon {
namespace {

StartFailure ListenFailure(const std::string& address,
                           std::uint16_t port,
                           const std::string& reason) {
  return {ExitCode::kCannotListen, "cannot listen on " + address + " port " +
                                       std::to_string(port) + ": " + reason};
}

template <DaemonRole Role>
std::optional<StartFailure> StartRole(Role& role) {
  using Failure = std::optional<StartFailure>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Failure> {
        BOOST_LEAF_CHECK(role.Start());
        return Failure();
      },
      [](const http::HttpListenError& error) -> Failure {
        return ListenFailure(error.address, error.port, error.reason);
      },
      [](const rpc::RpcListenError& error) -> Failure {
        return ListenFailure(error.address, error.port, error.reason);
      },
      [](const ChartError& error) -> Failure {
        return StartFailure{ExitCode::kCharts,
                            "state chart " + error.chart + ": " +
                                std::string(NameOf(error.kind)) + " (" +
                                error.name + ")"};
      },
      []() -> Failure {
        return StartFailure{ExitCode::kInternal,
                            "unhandled error of unknown type"};
      });
}

ExitCode Run(const Settings& settings) {
  ConfigureLog({settings.instance.log_level, settings.instance.log_format,
                settings.instance.id});
  LogTermination();
  switch (settings.role) {
    case Role::kEntry:
      return RunRole<EntryRole>(settings, StartRole<EntryRole>);
    case Role::kAgent:
      return RunRole<AgentRole>(settings, StartRole<AgentRole>);
    case Role::kGateway:
      return RunRole<adapter::GatewayRole>(settings,
                                           StartRole<adapter::GatewayRole>);
    case Role::kWorkerAgent:
      return RunRole<adapter::WorkerAgentRole>(
          settings, StartRole<adapter::WorkerAgentRole>);
  }
  return ExitCode::kInternal;
}

ExitCode LoadAndRun(const DaemonOptions& options) {
  const auto settings = ValueOr<SettingsErrors>(
      [&] { return LoadSettings(options.settings_path); },
      [](const SettingsErrors& errors) {
        for (const auto& error : errors.faults) {
          std::fprintf(stderr, "%s\n", Describe(error).c_str());
        }
      });
  if (!settings.has_value()) {
    return ExitCode::kSettings;
  }
  if (options.action == DaemonAction::kCheck) {
    std::puts("the settings are valid");
    return ExitCode::kOk;
  }
  const SettingsWatcher watcher(options.settings_path);
  return Run(*settings);
}

ExitCode Main(const std::vector<std::string>& arguments) {
  const auto parsed = ParseDaemonOptions(arguments);
  if (const auto* error = std::get_if<UsageError>(&parsed)) {
    std::fprintf(stderr, "carobrilld: %s\nTry carobrilld --help.\n",
                 error->message.c_str());
    return ExitCode::kUsage;
  }
  const auto& options = std::get<DaemonOptions>(parsed);
  switch (options.action) {
    case DaemonAction::kVersion:
      std::puts("carobrilld " CAROBRILL_VERSION);
      return ExitCode::kOk;
    case DaemonAction::kHelp:
      std::fputs(DaemonHelp().c_str(), stdout);
      return ExitCode::kOk;
    default:
      return LoadAndRun(options);
  }
}

}  // namespace
}  // namespace carobrill::daemon

int main(int argc, char** argv) {
  // Keeps HTTP sessions from looking up proxy settings in the settings database
  // of a desktop.
  g_setenv("GSETTINGS_BACKEND", "memory", TRUE);
  return static_cast<int>(
      carobrill::daemon::Main(std::vector<std::string>(argv, argv + argc)));
}
