#include "packages/daemon/settings_watch.h"

#include <glib-unix.h>
#include <sys/stat.h>

#include <csignal>
#include <utility>

#include "packages/core/log.h"
#include "packages/daemon/settings.h"

namespace carobrill::daemon {
namespace {

/// Time between two looks at the file; a look costs one system call.
constexpr guint kLookEveryMs = 1'000;

constexpr std::int64_t kNanosPerSecond = 1'000'000'000;

}  // namespace

SettingsWatch::SettingsWatch(std::string path)
    : path(std::move(path)), modified_at(this->ModifiedAt()) {
  this->signal_source = g_unix_signal_add(SIGHUP, OnSignal, this);
  this->timer_source = g_timeout_add(kLookEveryMs, OnTimer, this);
}

SettingsWatch::~SettingsWatch() {
  g_source_remove(this->signal_source);
  g_source_remove(this->timer_source);
}

gboolean SettingsWatch::OnSignal(gpointer data) {
  static_cast<SettingsWatch*>(data)->Reload("signal");
  return G_SOURCE_CONTINUE;
}

gboolean SettingsWatch::OnTimer(gpointer data) {
  auto* self = static_cast<SettingsWatch*>(data);
  const std::int64_t now = self->ModifiedAt();
  if (std::exchange(self->modified_at, now) != now) {
    self->Reload("the file has changed");
  }
  return G_SOURCE_CONTINUE;
}

void SettingsWatch::Reload(const char* reason) {
  const auto settings = ValueOr<SettingsFaults>(
      [&] { return LoadSettings(this->path); },
      [](const SettingsFaults& error) {
        for (const auto& fault : error.faults) {
          Log(LogLevel::kError, "a setting is faulty; the old ones stay",
              {{"fault", Describe(fault)}});
        }
      });
  if (!settings.has_value()) {
    return;
  }
  ConfigureLog({settings->instance.log_level, settings->instance.log_format,
                settings->instance.id});
  Log(LogLevel::kInfo, "settings_reloaded", {{"reason", reason}});
}

std::int64_t SettingsWatch::ModifiedAt() const {
  struct stat status {};
  if (stat(this->path.c_str(), &status) != 0) {
    return 0;
  }
  return status.st_mtim.tv_sec * kNanosPerSecond + status.st_mtim.tv_nsec;
}

}  // namespace carobrill::daemon
