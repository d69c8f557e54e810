#ifndef PACKAGES_DAEMON_SHUTDOWN_CONTROL_H_
#define PACKAGES_DAEMON_SHUTDOWN_CONTROL_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <memory>

#include "packages/daemon/daemon_options.h"

namespace carobrill::daemon {

/// Runs the main loop until shutdown. SIGTERM and SIGINT start a graceful
/// shutdown; a second signal or the time limit ends the loop immediately.
class ShutdownControl {
 public:
  /// Starts the shutdown. `drained` may be called from any thread when the
  /// shutdown is complete.
  using BeginShutdown = std::function<void(std::function<void()> drained)>;

  ShutdownControl(std::int64_t limit_ms, BeginShutdown begin_shutdown);
  ~ShutdownControl();

  ShutdownControl(const ShutdownControl&) = delete;
  ShutdownControl& operator=(const ShutdownControl&) = delete;

  /// Runs the main loop until shutdown. Returns kOk or kShutdownForced.
  ExitCode Wait();

 private:
  struct MainLoop;

  static gboolean OnSignal(gpointer data);
  static gboolean OnLimit(gpointer data);
  void StartShutdown();
  void ForceQuit(ExitCode code);

  std::int64_t limit_ms;
  BeginShutdown begin_shutdown;
  bool shutting_down = false;
  // Shared with the `drained` callback, which may outlive this object.
  std::shared_ptr<MainLoop> main_loop;
  guint term_source = 0;
  guint interrupt_source = 0;
  guint limit_source = 0;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_SHUTDOWN_CONTROL_H_
