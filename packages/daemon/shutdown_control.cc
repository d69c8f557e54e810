#include "packages/daemon/shutdown_control.h"

#include <glib-unix.h>

#include <csignal>
#include <string>
#include <utility>

#include "packages/core/log.h"

namespace carobrill::daemon {
namespace {

// The role itself terminates remaining work at the limit. This is the extra
// time that it gets to do so before the process exits without it.
constexpr std::int64_t kLimitMarginMs = 1'000;

}  // namespace

struct ShutdownControl::MainLoop {
  MainLoop() : loop(g_main_loop_new(nullptr, FALSE)) {}
  ~MainLoop() { g_main_loop_unref(this->loop); }
  MainLoop(const MainLoop&) = delete;
  MainLoop& operator=(const MainLoop&) = delete;

  GMainLoop* loop;
  ExitCode code = ExitCode::kOk;
};

// Ignores SIGPIPE, so that writing to a closed connection fails only that
// connection and does not kill the process.
ShutdownControl::ShutdownControl(std::int64_t limit_ms,
                                 BeginShutdown begin_shutdown)
    : limit_ms(limit_ms),
      begin_shutdown(std::move(begin_shutdown)),
      main_loop(std::make_shared<MainLoop>()) {
  std::signal(SIGPIPE, SIG_IGN);
  this->term_source = g_unix_signal_add(SIGTERM, OnSignal, this);
  this->interrupt_source = g_unix_signal_add(SIGINT, OnSignal, this);
}

ShutdownControl::~ShutdownControl() {
  g_source_remove(this->term_source);
  g_source_remove(this->interrupt_source);
  if (this->limit_source != 0) {
    g_source_remove(this->limit_source);
  }
}

ExitCode ShutdownControl::Wait() {
  g_main_loop_run(this->main_loop->loop);
  return this->main_loop->code;
}

gboolean ShutdownControl::OnSignal(gpointer data) {
  auto* self = static_cast<ShutdownControl*>(data);
  if (!self->shutting_down) {
    self->StartShutdown();
    return G_SOURCE_CONTINUE;
  }
  Log(LogLevel::kWarning, "second signal received; exiting without waiting");
  self->ForceQuit(ExitCode::kShutdownForced);
  return G_SOURCE_CONTINUE;
}

gboolean ShutdownControl::OnLimit(gpointer data) {
  auto* self = static_cast<ShutdownControl*>(data);
  self->limit_source = 0;
  Log(LogLevel::kWarning, "shutdown limit exceeded; exiting now");
  self->ForceQuit(ExitCode::kShutdownForced);
  return G_SOURCE_REMOVE;
}

// g_main_loop_quit may be called from any thread, but has no effect before the
// loop runs. It is therefore called from the main context.
void ShutdownControl::StartShutdown() {
  this->shutting_down = true;
  Log(LogLevel::kInfo, "shutdown started",
      {{"limit_ms", std::to_string(this->limit_ms)}});
  this->limit_source = g_timeout_add(
      static_cast<guint>(this->limit_ms + kLimitMarginMs), OnLimit, this);
  this->begin_shutdown([main_loop = this->main_loop] {
    auto* reference = new std::shared_ptr<MainLoop>(main_loop);
    g_main_context_invoke_full(
        nullptr, G_PRIORITY_DEFAULT,
        [](gpointer data) -> gboolean {
          g_main_loop_quit(
              (*static_cast<std::shared_ptr<MainLoop>*>(data))->loop);
          return G_SOURCE_REMOVE;
        },
        reference,
        [](gpointer data) {
          delete static_cast<std::shared_ptr<MainLoop>*>(data);
        });
  });
}

void ShutdownControl::ForceQuit(ExitCode code) {
  this->main_loop->code = code;
  g_main_loop_quit(this->main_loop->loop);
}

}  // namespace carobrill::daemon
