#include <getopt.h>
#include <glib-unix.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "packages/testing/fake_log.h"

namespace carobrill::testing {
namespace {

struct Options {
  std::string listen = "127.0.0.1";
  std::uint16_t port = 0;
};

Options ParseOptions(int argc, char** argv) {
  const option long_options[] = {{"listen", required_argument, nullptr, 'l'},
                                 {"port", required_argument, nullptr, 'p'},
                                 {nullptr, 0, nullptr, 0}};
  Options options;
  for (int name = 0;
       (name = getopt_long(argc, argv, "", long_options, nullptr)) != -1;) {
    if (name == 'l') {
      options.listen = optarg;
    } else if (name == 'p') {
      options.port =
          static_cast<std::uint16_t>(std::strtoul(optarg, nullptr, 10));
    } else {
      std::fprintf(stderr, "usage: %s [--listen IP] [--port N]\n", argv[0]);
      std::exit(EXIT_FAILURE);
    }
  }
  return options;
}

gboolean QuitLoop(gpointer loop) {
  g_main_loop_quit(static_cast<GMainLoop*>(loop));
  return G_SOURCE_CONTINUE;
}

int Run(const Options& options) {
  Task task("fake_log");
  FakeLog log(task);
  const auto port = ValueOr<http::HttpListenError>(
      [&] { return log.Listen(options.listen, options.port); },
      [](const http::HttpListenError& error) {
        std::fprintf(stderr, "cannot listen on %s:%u: %s\n",
                     error.address.c_str(), unsigned{error.port},
                     error.reason.c_str());
      });
  if (!port.has_value()) {
    return EXIT_FAILURE;
  }
  std::printf("listening on %u\n", unsigned{*port});
  std::fflush(stdout);
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  g_unix_signal_add(SIGTERM, QuitLoop, loop);
  g_unix_signal_add(SIGINT, QuitLoop, loop);
  g_main_loop_run(loop);
  g_main_loop_unref(loop);
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace carobrill::testing

int main(int argc, char** argv) {
  return carobrill::testing::Run(carobrill::testing::ParseOptions(argc, argv));
}
