#ifndef PACKAGES_DAEMON_SETTINGS_SOURCE_H_
#define PACKAGES_DAEMON_SETTINGS_SOURCE_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "packages/daemon/settings.h"

namespace carobrill::daemon {

/// A value of a settings file with its place.
struct SettingsEntry {
  /// Names from the root, joined by dots.
  std::string key;
  std::uint32_t line = 0;
  /// A scalar or an array; an object is null and `is_object` is true.
  nlohmann::json value;
  bool is_object = false;
};

/// A settings file as read, before its values are checked.
struct SettingsSource {
  std::vector<SettingsEntry> entries;
  /// Faults of the syntax, and repeated names.
  std::vector<SettingsFault> faults;
};

/// Reads JSON with comments and keeps the line of every key.
SettingsSource ReadSettingsSource(const std::string& text,
                                  const std::string& file);

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_SETTINGS_SOURCE_H_
