#ifndef PACKAGES_DAEMON_SETTINGS_TABLE_H_
#define PACKAGES_DAEMON_SETTINGS_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "packages/daemon/settings.h"

namespace carobrill::daemon {

/// Required format of a text setting.
enum class SettingFormat {
  kAny,
  /// 1 to 64 characters of [A-Za-z0-9._-].
  kName,
  /// http://ADDRESS:PORT without a path.
  kUrl,
  /// An IP address.
  kAddress,
  /// An IP address and a port, "ip:port".
  kAddressAndPort,
  /// An IP network, "ip/bits", or one IP address.
  kNetwork,
};

/// When a setting is required.
enum class SettingRequirement {
  kOptional,
  kRequired,
  kRequiredInEntry,
  kRequiredInAgent,
  kRequiredInGateway,
  kRequiredInWorkerAgent,
};

/// Pointer to the member of `Settings` that a setting assigns.
using SettingTarget = std::variant<std::string*,
                                   std::int64_t*,
                                   std::uint32_t*,
                                   std::uint16_t*,
                                   double*,
                                   bool*,
                                   Role*,
                                   LogLevel*,
                                   LogFormat*,
                                   workload::ServingOrder*,
                                   std::vector<std::string>*>;

/// Describes one setting. Its default is the initial value of its member.
struct SettingDescription {
  /// Path of the key, for example "entry.log_service.url".
  std::string_view name;
  SettingTarget (*target)(Settings&);
  std::string_view description;
  std::string_view unit = "";
  std::int64_t min = 0;
  std::int64_t max = 0;
  SettingFormat format = SettingFormat::kAny;
  SettingRequirement requirement = SettingRequirement::kOptional;
};

/// Returns all settings in the order of the documentation.
const std::vector<SettingDescription>& AllSettings();

/// @{
/// Values of the columns in the documentation.
std::string TypeOf(const SettingDescription& setting);
std::string DefaultOf(const SettingDescription& setting);
std::string RangeOf(const SettingDescription& setting);
/// @}

/// Returns the table of all settings in Markdown, as in
/// docs/operations/settings.md.
std::string SettingsMarkdown();

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_SETTINGS_TABLE_H_
