#include "packages/daemon/shutdown_control.h"

#include <glib-unix.h>

#include <csignal>
#include <string>
#include <utility>

#include "packages/core/log.h"

namespace carobrill::daemon {
namespace {

// The role ends what still runs at the limit itself; the process gives it this
// time to do so before it ends without it.
constexpr std::int64_t kLimitMarginMs = 1'000;

}  // namespace

struct ShutdownControl::End {
  End() : loop(g_main_loop_new(nullptr, FALSE)) {}
  ~End() { g_main_loop_unref(this->loop); }
  End(const End&) = delete;
  End& operator=(const End&) = delete;

  GMainLoop* loop;
  ExitCode code = ExitCode::kOk;
};

// Writing to a closed connection must be an error of that connection only.
ShutdownControl::ShutdownControl(std::int64_t limit_ms,
                                 BeginShutdown begin_shutdown)
    : limit_ms(limit_ms),
      begin_shutdown(std::move(begin_shutdown)),
      end(std::make_shared<End>()) {
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
  g_main_loop_run(this->end->loop);
  return this->end->code;
}

gboolean ShutdownControl::OnSignal(gpointer data) {
  auto* self = static_cast<ShutdownControl*>(data);
  if (!self->shutting_down) {
    self->Begin();
    return G_SOURCE_CONTINUE;
  }
  Log(LogLevel::kWarning, "second signal: ending without waiting");
  self->EndNow(ExitCode::kShutdownCutShort);
  return G_SOURCE_CONTINUE;
}

gboolean ShutdownControl::OnLimit(gpointer data) {
  auto* self = static_cast<ShutdownControl*>(data);
  self->limit_source = 0;
  Log(LogLevel::kWarning, "the shutdown limit has passed: ending now");
  self->EndNow(ExitCode::kShutdownCutShort);
  return G_SOURCE_REMOVE;
}

// g_main_loop_quit may be called from any thread; a quit before the loop runs
// would be lost, so it is sent through the main context.
void ShutdownControl::Begin() {
  this->shutting_down = true;
  Log(LogLevel::kInfo, "shutdown started",
      {{"limit_ms", std::to_string(this->limit_ms)}});
  this->limit_source = g_timeout_add(
      static_cast<guint>(this->limit_ms + kLimitMarginMs), OnLimit, this);
  this->begin_shutdown([end = this->end] {
    auto* reference = new std::shared_ptr<End>(end);
    g_main_context_invoke_full(
        nullptr, G_PRIORITY_DEFAULT,
        [](gpointer data) -> gboolean {
          g_main_loop_quit((*static_cast<std::shared_ptr<End>*>(data))->loop);
          return G_SOURCE_REMOVE;
        },
        reference,
        [](gpointer data) { delete static_cast<std::shared_ptr<End>*>(data); });
  });
}

void ShutdownControl::EndNow(ExitCode code) {
  this->end->code = code;
  g_main_loop_quit(this->end->loop);
}

}  // namespace carobrill::daemon
