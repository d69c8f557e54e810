#include "packages/daemon/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string_view>
#include <type_traits>
#include <utility>

#include "packages/core/address.h"
#include "packages/core/address_filter.h"
#include "packages/daemon/settings_source.h"
#include "packages/daemon/settings_table.h"

namespace carobrill::daemon {
namespace {

using Json = nlohmann::json;
using Kind = SettingsErrorKind;

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxTextLength = 4096;
constexpr std::string_view kUrlScheme = "http://";

SettingRequirement RequirementFor(Role role) {
  switch (role) {
    case Role::kEntry:
      return SettingRequirement::kRequiredInEntry;
    case Role::kAgent:
      return SettingRequirement::kRequiredInAgent;
    case Role::kGateway:
      return SettingRequirement::kRequiredInGateway;
    case Role::kWorkerAgent:
      return SettingRequirement::kRequiredInWorkerAgent;
  }
  return SettingRequirement::kRequired;
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
         });
}

bool IsAddress(const std::string& text) {
  in6_addr parsed{};
  return inet_pton(AF_INET, text.c_str(), &parsed) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

// IPv6 addresses must be in brackets, as in URLs.
bool IsAddressAndPort(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsPort(text.substr(colon + 1))) {
    return false;
  }
  auto address = text.substr(0, colon);
  if (address.starts_with('[') && address.ends_with(']')) {
    address = address.substr(1, address.size() - 2);
  } else if (address.find(':') != std::string_view::npos) {
    return false;
  }
  return IsAddress(std::string(address));
}

bool HasFormat(SettingFormat format, const std::string& text) {
  switch (format) {
    case SettingFormat::kName:
      return IsName(text);
    case SettingFormat::kUrl:
      return text.starts_with(kUrlScheme) &&
             IsAddressAndPort(std::string_view(text).substr(kUrlScheme.size()));
    case SettingFormat::kAddress:
      return IsAddress(text);
    case SettingFormat::kAddressAndPort:
      return IsAddressAndPort(text);
    case SettingFormat::kNetwork:
      return AddressFilter::IsNetwork(text);
    case SettingFormat::kAny:
      break;
  }
  return !text.empty() && text.size() <= kMaxTextLength;
}

/// Builds settings from the entries of one file and collects all errors.
class SettingsBuilder {
 public:
  SettingsBuilder(SettingsSource source, std::string file)
      : source(std::move(source)),
        file(std::move(file)),
        errors(this->source.errors) {}

  void ApplyEntries() {
    for (const auto& entry : this->source.entries) {
      this->key_lines[entry.key] = entry.line;
      if (entry.is_object) {
        this->CheckSection(entry);
      } else {
        this->Apply(entry);
      }
    }
  }

  // Skips relations to a value that is itself invalid, so that each mistake is
  // reported once.
  void CheckConsistency() {
    this->CheckRequired();
    if (this->settings.role == Role::kEntry) {
      this->CheckEntry(this->settings.entry);
    } else if (this->settings.role == Role::kAgent) {
      this->CheckAgent(this->settings.agent);
    }
    this->CheckInstance(this->settings.instance);
  }

  Result<Settings> Finish() {
    if (this->errors.empty()) {
      return this->settings;
    }
    std::stable_sort(
        this->errors.begin(), this->errors.end(),
        [](const auto& a, const auto& b) { return a.line < b.line; });
    return Fail(SettingsErrors{this->errors});
  }

 private:
  void Report(Kind kind, const std::string& key, std::string message) {
    const auto line = this->key_lines.find(key);
    this->errors.push_back({kind, this->file,
                            line == this->key_lines.end() ? 0 : line->second,
                            key, std::move(message)});
    this->invalid_keys.insert(key);
  }

  static const SettingDescription* Find(const std::string& key) {
    for (const auto& setting : AllSettings()) {
      if (setting.name == key) {
        return &setting;
      }
    }
    return nullptr;
  }

  void CheckSection(const SettingsEntry& entry) {
    if (Find(entry.key) != nullptr) {
      this->Report(Kind::kWrongType, entry.key, "must not be an object");
      return;
    }
    const std::string prefix = entry.key + ".";
    for (const auto& setting : AllSettings()) {
      if (setting.name.starts_with(prefix)) {
        return;
      }
    }
    this->Report(Kind::kUnknownKey, entry.key, "this key is not known");
  }

  void Apply(const SettingsEntry& entry) {
    const auto* setting = Find(entry.key);
    if (setting == nullptr) {
      this->ReportUnknown(entry.key);
      return;
    }
    std::visit(
        [&](auto* member) { this->Assign(*setting, entry.value, *member); },
        setting->target(this->settings));
  }

  void ReportUnknown(const std::string& key) {
    const std::string prefix = key + ".";
    for (const auto& setting : AllSettings()) {
      if (setting.name.starts_with(prefix)) {
        this->Report(Kind::kWrongType, key, "must be an object");
        return;
      }
    }
    this->Report(Kind::kUnknownKey, key, "this key is not known");
  }

  void Assign(const SettingDescription& setting,
              const Json& value,
              std::string& member) {
    const std::string key(setting.name);
    if (!value.is_string()) {
      this->Report(Kind::kWrongType, key, "must be text");
      return;
    }
    const auto& text = value.get_ref<const std::string&>();
    if (!HasFormat(setting.format, text)) {
      this->ReportFormat(setting);
      return;
    }
    member = text;
  }

  void Assign(const SettingDescription& setting,
              const Json& value,
              bool& member) {
    if (!value.is_boolean()) {
      this->Report(Kind::kWrongType, std::string(setting.name),
                   "must be true or false");
      return;
    }
    member = value.get<bool>();
  }

  void Assign(const SettingDescription& setting,
              const Json& value,
              std::vector<std::string>& member) {
    const std::string key(setting.name);
    if (!value.is_array()) {
      this->Report(Kind::kWrongType, key, "must be a list of text");
      return;
    }
    for (const auto& item : value) {
      if (!item.is_string()) {
        this->Report(Kind::kWrongType, key, "must be a list of text");
        return;
      }
      if (!HasFormat(setting.format, item.get_ref<const std::string&>())) {
        this->ReportFormat(setting);
        return;
      }
      member.push_back(item.get<std::string>());
    }
    if (std::set<std::string>(member.begin(), member.end()).size() !=
        member.size()) {
      this->Report(Kind::kInvalidValue, key,
                   "must not contain duplicate items");
    }
  }

  template <typename T>
  requires std::is_enum_v<T>
  void Assign(const SettingDescription& setting, const Json& value, T& member) {
    const std::string key(setting.name);
    if (!value.is_string()) {
      this->Report(Kind::kWrongType, key, "must be text");
      return;
    }
    const auto parsed = FindByName<T>(value.get_ref<const std::string&>());
    if (!parsed.has_value()) {
      this->Report(Kind::kInvalidValue, key,
                   "must be one of " + RangeOf(setting));
      return;
    }
    member = *parsed;
  }

  void Assign(const SettingDescription& setting,
              const Json& value,
              double& member) {
    const std::string key(setting.name);
    if (!value.is_number()) {
      this->Report(Kind::kWrongType, key, "must be a number");
      return;
    }
    const double number = value.get<double>();
    if (!(number >= static_cast<double>(setting.min) &&
          number <= static_cast<double>(setting.max))) {
      this->Report(
          Kind::kOutOfRange, key,
          "must be " + RangeOf(setting) + " " + std::string(setting.unit));
      return;
    }
    member = number;
  }

  template <typename T>
  requires std::is_integral_v<T>
  void Assign(const SettingDescription& setting, const Json& value, T& member) {
    const std::string key(setting.name);
    if (!value.is_number_integer()) {
      this->Report(Kind::kWrongType, key, "must be an integer");
      return;
    }
    // Reading an unsigned value above INT64_MAX as signed would wrap around.
    const bool fits = !value.is_number_unsigned() ||
                      value.get<std::uint64_t>() <= std::uint64_t{INT64_MAX};
    if (!fits || value.get<std::int64_t>() < setting.min ||
        value.get<std::int64_t>() > setting.max) {
      this->Report(Kind::kOutOfRange, key,
                   "must be " + RangeOf(setting) +
                       (setting.unit.empty() ? "" : " ") +
                       std::string(setting.unit));
      return;
    }
    member = static_cast<T>(value.get<std::int64_t>());
  }

  void ReportFormat(const SettingDescription& setting) {
    const std::string format = RangeOf(setting);
    this->Report(Kind::kInvalidValue, std::string(setting.name),
                 format.empty() ? "must not be empty or too long"
                                : "must have the format: " + format);
  }

  bool IsSet(const std::string& key) const {
    return this->key_lines.contains(key);
  }

  void RequireKey(const std::string& key) {
    if (!this->IsSet(key)) {
      this->Report(Kind::kMissingKey, key, "this required key is missing");
    }
  }

  void CheckRequired() {
    this->RequireKey("role");
    const bool role_known =
        this->IsSet("role") && !this->invalid_keys.contains("role");
    for (const auto& setting : AllSettings()) {
      const bool required =
          setting.requirement == SettingRequirement::kRequired ||
          (role_known &&
           setting.requirement == RequirementFor(this->settings.role));
      if (required && setting.name != "role") {
        this->RequireKey(std::string(setting.name));
      }
    }
  }

  /// Reports an error unless `satisfied` is true or one of the two values is
  /// already invalid.
  void CheckRelation(bool satisfied,
                     const std::string& key,
                     const std::string& other_key,
                     const std::string& message) {
    if (satisfied || this->invalid_keys.contains(key) ||
        this->invalid_keys.contains(other_key)) {
      return;
    }
    // Prefers a key that is set in the file, so that the error has a line.
    const bool report_other = !this->IsSet(key) && this->IsSet(other_key);
    this->Report(Kind::kInconsistent, report_other ? other_key : key,
                 key + " " + message + " " + other_key);
  }

  void CheckInstance(const InstanceSettings& instance) {
    const bool same_address = instance.rpc.port != 0 &&
                              instance.rpc.port == instance.http.port &&
                              instance.rpc.address == instance.http.address;
    this->CheckRelation(!same_address, "instance.http.port",
                        "instance.rpc.port", "must differ from");
  }

  void CheckEntry(const EntrySettings& entry) {
    this->CheckRelation(entry.suspect_after_ms < entry.dead_after_ms,
                        "entry.suspect_after_ms", "entry.dead_after_ms",
                        "must be less than");
    this->CheckRelation(entry.digest_interval_ms < entry.suspect_after_ms,
                        "entry.digest_interval_ms", "entry.suspect_after_ms",
                        "must be less than");
    // The lease of an agent must have expired when the agent is declared dead.
    this->CheckRelation(entry.agent_lease_ms <= entry.dead_after_ms,
                        "entry.agent_lease_ms", "entry.dead_after_ms",
                        "must not exceed");
    this->CheckRelation(
        entry.log_service.read_wait_ms < entry.log_service.call_timeout_ms,
        "entry.log_service.read_wait_ms", "entry.log_service.call_timeout_ms",
        "must be less than");
    this->CheckRelation(
        entry.log_service.record_stream != entry.log_service.snapshot_stream,
        "entry.log_service.snapshot_stream", "entry.log_service.record_stream",
        "must differ from");
    this->CheckRelation(
        entry.planner.interval_ms < entry.planner.prepare_timeout_ms,
        "entry.planner.interval_ms", "entry.planner.prepare_timeout_ms",
        "must be less than");
  }

  void CheckAgent(const AgentSettings& agent) {
    if (this->IsSet("agent.entries") && agent.entries.empty() &&
        !this->invalid_keys.contains("agent.entries")) {
      this->Report(Kind::kInconsistent, "agent.entries",
                   "an agent requires at least one entry");
    }
    if (this->IsSet("agent.entries_to_announce_to") && !agent.entries.empty()) {
      this->CheckRelation(agent.announced_entry_count <= agent.entries.size(),
                          "agent.entries_to_announce_to", "agent.entries",
                          "must not exceed the number of");
    }
    if (!this->IsSet("agent.endpoint.id") && !this->IsSet("agent.worker.id")) {
      this->Report(Kind::kMissingKey, "agent.endpoint.id",
                   "an agent requires agent.endpoint.id or agent.worker.id");
    }
    this->CheckEndpoint(agent.endpoint);
    this->CheckWorker(agent.worker);
  }

  void CheckEndpoint(const ServiceEndpointSettings& endpoint) {
    if (this->IsSet("agent.endpoint.id")) {
      this->RequireKey("agent.endpoint.service");
      this->RequireKey("agent.endpoint.url");
    }
    this->CheckRelation(endpoint.long_slots <= endpoint.slots,
                        "agent.endpoint.long_slots", "agent.endpoint.slots",
                        "must not exceed");
    this->CheckRelation(endpoint.slots <= endpoint.connections,
                        "agent.endpoint.slots", "agent.endpoint.connections",
                        "must not exceed");
  }

  void CheckWorker(const WorkerSettings& worker) {
    if (this->IsSet("agent.worker.id")) {
      this->RequireKey("agent.worker.rack");
      this->RequireKey("agent.worker.url");
    }
    this->CheckRelation(
        worker.member_heartbeat_interval_ms < worker.member_timeout_ms,
        "agent.worker.member_interval_ms", "agent.worker.member_silence_ms",
        "must be less than");
    // The watcher must stop a gang with a silent member before the leases of
    // its tasks expire.
    this->CheckRelation(worker.member_timeout_ms < worker.task_lease_ms,
                        "agent.worker.member_silence_ms",
                        "agent.worker.task_lease_ms", "must be less than");
  }

  SettingsSource source;
  std::string file;
  std::vector<SettingsError> errors;
  std::map<std::string, std::uint32_t> key_lines;
  std::set<std::string> invalid_keys;
  Settings settings;
};

bool HasSyntaxError(const SettingsSource& source) {
  return std::any_of(
      source.errors.begin(), source.errors.end(),
      [](const auto& error) { return error.kind != Kind::kRepeatedKey; });
}

}  // namespace

std::string Describe(const SettingsError& error) {
  std::string text = error.file;
  if (error.line != 0) {
    text += ":" + std::to_string(error.line);
  }
  text += ": ";
  if (!error.key.empty()) {
    text += error.key + ": ";
  }
  return text + error.message + " [" + std::string(NameOf(error.kind)) + "]";
}

// Parsing stops at a syntax error. The checks are skipped then, because they
// would report all keys after the error as missing.
Result<Settings> ParseSettings(const std::string& text,
                               const std::string& file) {
  auto source = ReadSettingsSource(text, file);
  const bool well_formed = !HasSyntaxError(source);
  SettingsBuilder builder(std::move(source), file);
  builder.ApplyEntries();
  if (well_formed) {
    builder.CheckConsistency();
  }
  return builder.Finish();
}

Result<Settings> LoadSettings(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  if (!stream.is_open() || stream.bad()) {
    return Fail(SettingsErrors{
        {{Kind::kUnreadable, path, 0, "", "the file cannot be read"}}});
  }
  return ParseSettings(text.str(), path);
}

}  // namespace carobrill::daemon
