#ifndef PACKAGES_DAEMON_SHUTDOWN_CONTROL_H_
#define PACKAGES_DAEMON_SHUTDOWN_CONTROL_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <memory>

#include "packages/daemon/daemon_options.h"

namespace carobrill::daemon {

/// Keeps the main thread until the process is to end. SIGTERM and SIGINT start
/// a graceful shutdown; a second signal or the limit ends it at once.
class ShutdownControl {
 public:
  /// Starts a shutdown and reports its end, from any thread.
  using BeginShutdown = std::function<void(std::function<void()> drained)>;

  ShutdownControl(std::int64_t limit_ms, BeginShutdown begin_shutdown);
  ~ShutdownControl();

  ShutdownControl(const ShutdownControl&) = delete;
  ShutdownControl& operator=(const ShutdownControl&) = delete;

  /// Waits for the end. Returns kOk or kShutdownCutShort.
  ExitCode Wait();

 private:
  struct End;

  static gboolean OnSignal(gpointer data);
  static gboolean OnLimit(gpointer data);
  void Begin();
  void EndNow(ExitCode code);

  std::int64_t limit_ms;
  BeginShutdown begin_shutdown;
  bool shutting_down = false;
  // Shared with the callback of the role, which may outlive this object.
  std::shared_ptr<End> end;
  guint term_source = 0;
  guint interrupt_source = 0;
  guint limit_source = 0;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_SHUTDOWN_CONTROL_H_
