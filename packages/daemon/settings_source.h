#ifndef PACKAGES_DAEMON_SETTINGS_SOURCE_H_
#define PACKAGES_DAEMON_SETTINGS_SOURCE_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "packages/daemon/settings.h"

namespace carobrill::daemon {

/// A value or section of a settings file with its line.
struct SettingsEntry {
  /// Path of the key from the root, joined by dots.
  std::string key;
  std::uint32_t line = 0;
  /// A scalar or an array; null for an object, for which `is_object` is true.
  nlohmann::json value;
  bool is_object = false;
};

/// The content of a settings file before its values are checked.
struct SettingsSource {
  std::vector<SettingsEntry> entries;
  /// Syntax errors and repeated keys.
  std::vector<SettingsError> errors;
};

/// Parses JSON with comments and records the line of every key.
SettingsSource ReadSettingsSource(const std::string& text,
                                  const std::string& file);

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_SETTINGS_SOURCE_H_
