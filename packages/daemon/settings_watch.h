#ifndef PACKAGES_DAEMON_SETTINGS_WATCH_H_
#define PACKAGES_DAEMON_SETTINGS_WATCH_H_

#include <glib.h>

#include <cstdint>
#include <string>

namespace carobrill::daemon {

/// Reloads the settings file on SIGHUP and when the file has changed. If the
/// new settings are valid, applies their log level and format; otherwise logs
/// the errors and keeps the current settings. Runs on the main loop.
class SettingsWatcher {
 public:
  explicit SettingsWatcher(std::string path);
  ~SettingsWatcher();

  SettingsWatcher(const SettingsWatcher&) = delete;
  SettingsWatcher& operator=(const SettingsWatcher&) = delete;

 private:
  static gboolean OnSignal(gpointer data);
  static gboolean OnTimer(gpointer data);
  void Reload(const char* reason);
  std::int64_t ReadModificationTime() const;

  std::string path;
  std::int64_t last_modified_ns;
  guint signal_source = 0;
  guint timer_source = 0;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_SETTINGS_WATCH_H_
