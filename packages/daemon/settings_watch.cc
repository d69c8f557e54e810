#include "packages/daemon/settings_watch.h"

#include <glib-unix.h>
#include <sys/stat.h>

#include <csignal>
#include <utility>

#include "packages/core/log.h"
#include "packages/daemon/settings.h"

namespace carobrill::daemon {
namespace {

/// Interval between checks of the file; each check costs one system call.
constexpr guint kPollIntervalMs = 1'000;

constexpr std::int64_t kNanosPerSecond = 1'000'000'000;

}  // namespace

SettingsWatcher::SettingsWatcher(std::string path)
    : path(std::move(path)), last_modified_ns(this->ReadModificationTime()) {
  this->signal_source = g_unix_signal_add(SIGHUP, OnSignal, this);
  this->timer_source = g_timeout_add(kPollIntervalMs, OnTimer, this);
}

SettingsWatcher::~SettingsWatcher() {
  g_source_remove(this->signal_source);
  g_source_remove(this->timer_source);
}

gboolean SettingsWatcher::OnSignal(gpointer data) {
  static_cast<SettingsWatcher*>(data)->Reload("signal");
  return G_SOURCE_CONTINUE;
}

gboolean SettingsWatcher::OnTimer(gpointer data) {
  auto* self = static_cast<SettingsWatcher*>(data);
  const std::int64_t now = self->ReadModificationTime();
  if (std::exchange(self->last_modified_ns, now) != now) {
    self->Reload("the file has changed");
  }
  return G_SOURCE_CONTINUE;
}

void SettingsWatcher::Reload(const char* reason) {
  const auto settings = ValueOr<SettingsErrors>(
      [&] { return LoadSettings(this->path); },
      [](const SettingsErrors& errors) {
        for (const auto& error : errors.faults) {
          Log(LogLevel::kError,
              "a setting is not valid; the current values remain in effect",
              {{"fault", Describe(error)}});
        }
      });
  if (!settings.has_value()) {
    return;
  }
  ConfigureLog({settings->instance.log_level, settings->instance.log_format,
                settings->instance.id});
  Log(LogLevel::kInfo, "settings_reloaded", {{"reason", reason}});
}

std::int64_t SettingsWatcher::ReadModificationTime() const {
  struct stat status {};
  if (stat(this->path.c_str(), &status) != 0) {
    return 0;
  }
  return status.st_mtim.tv_sec * kNanosPerSecond + status.st_mtim.tv_nsec;
}

}  // namespace carobrill::daemon
