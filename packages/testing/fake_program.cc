#include "packages/testing/fake_program.h"

#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <string_view>
#include <utility>

#include "packages/core/task.h"
#include "packages/http/http_server.h"

namespace carobrill::testing {
namespace {

sigset_t TerminationSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

std::int64_t FakeOptions::Number(const std::string& name,
                                 std::int64_t fallback) const {
  const auto found = this->values.find(name);
  return found == this->values.end() ? fallback : std::stoll(found->second);
}

FakeOptions PrepareFake(int argc, char** argv) {
  const sigset_t signals = TerminationSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  FakeOptions options;
  for (int i = 1; i + 1 < argc; i += 2) {
    std::string_view name(argv[i]);
    name.remove_prefix(std::min<std::size_t>(2, name.size()));
    options.values[std::string(name)] = argv[i + 1];
  }
  if (options.values.contains("listen")) {
    options.address = options.values["listen"];
  }
  options.port = static_cast<std::uint16_t>(options.Number("port", 0));
  return options;
}

int ServeFake(const FakeOptions& options, http::HttpHandler handler) {
  Task task("server");
  http::HttpServer server(task, std::move(handler));
  const auto port = server.Listen(options.address, options.port);
  if (!port.has_value()) {
    std::fprintf(stderr, "cannot listen on port %d\n", options.port);
    return 1;
  }
  std::printf("listening on %d\n", *port);
  std::fflush(stdout);
  const sigset_t signals = TerminationSignals();
  int received = 0;
  sigwait(&signals, &received);
  return 0;
}

}  // namespace carobrill::testing
