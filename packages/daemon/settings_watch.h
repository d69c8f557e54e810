#ifndef PACKAGES_DAEMON_SETTINGS_WATCH_H_
#define PACKAGES_DAEMON_SETTINGS_WATCH_H_

#include <glib.h>

#include <cstdint>
#include <string>

namespace carobrill::daemon {

/// Reads the settings file again on SIGHUP, and when the file has changed.
/// Settings that are valid bring a new log level and format into force; faulty
/// ones are reported, and those in force stay. Runs on the main loop.
class SettingsWatch {
 public:
  explicit SettingsWatch(std::string path);
  ~SettingsWatch();

  SettingsWatch(const SettingsWatch&) = delete;
  SettingsWatch& operator=(const SettingsWatch&) = delete;

 private:
  static gboolean OnSignal(gpointer data);
  static gboolean OnTimer(gpointer data);
  void Reload(const char* reason);
  std::int64_t ModifiedAt() const;

  std::string path;
  std::int64_t modified_at;
  guint signal_source = 0;
  guint timer_source = 0;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_SETTINGS_WATCH_H_
