#include "packages/daemon/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string_view>
#include <type_traits>
#include <utility>

#include "packages/daemon/settings_source.h"
#include "packages/daemon/settings_table.h"

namespace carobrill::daemon {
namespace {

using Json = nlohmann::json;
using Kind = SettingsErrorKind;

constexpr std::size_t kMaxName = 64;
constexpr std::size_t kMaxText = 4096;
constexpr std::string_view kUrlScheme = "http://";

SettingNeed NeedOf(Role role) {
  switch (role) {
    case Role::kEntry:
      return SettingNeed::kRequiredInEntry;
    case Role::kAgent:
      return SettingNeed::kRequiredInAgent;
    case Role::kGateway:
      return SettingNeed::kRequiredInGateway;
    case Role::kWorkerAgent:
      return SettingNeed::kRequiredInWorkerAgent;
  }
  return SettingNeed::kRequired;
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxName &&
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

bool IsPort(std::string_view text) {
  std::uint16_t port = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, port);
  return result.ec == std::errc() && result.ptr == end && port != 0;
}

// IPv6 addresses stand in brackets, as in URLs.
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

bool HasForm(SettingForm form, const std::string& text) {
  switch (form) {
    case SettingForm::kName:
      return IsName(text);
    case SettingForm::kUrl:
      return text.starts_with(kUrlScheme) &&
             IsAddressAndPort(std::string_view(text).substr(kUrlScheme.size()));
    case SettingForm::kAddress:
      return IsAddress(text);
    case SettingForm::kAddressAndPort:
      return IsAddressAndPort(text);
    case SettingForm::kAny:
      break;
  }
  return !text.empty() && text.size() <= kMaxText;
}

/// Turns the entries of one file into settings and collects all faults.
class SettingsBuilder {
 public:
  SettingsBuilder(SettingsSource source, std::string file)
      : source(std::move(source)),
        file(std::move(file)),
        faults(this->source.faults) {}

  void Build() {
    for (const auto& entry : this->source.entries) {
      this->lines[entry.key] = entry.line;
      if (entry.is_object) {
        this->CheckSection(entry);
      } else {
        this->Apply(entry);
      }
    }
  }

  // Relations to a value that is faulty itself are passed over, so that one
  // mistake is reported once.
  void Check() {
    this->CheckRequired();
    if (this->settings.role == Role::kEntry) {
      this->CheckEntry(this->settings.entry);
    } else if (this->settings.role == Role::kAgent) {
      this->CheckAgent(this->settings.agent);
    }
    this->CheckInstance(this->settings.instance);
  }

  Result<Settings> Finish() {
    if (this->faults.empty()) {
      return this->settings;
    }
    std::stable_sort(
        this->faults.begin(), this->faults.end(),
        [](const auto& a, const auto& b) { return a.line < b.line; });
    return Fail(SettingsFaults{this->faults});
  }

 private:
  void Report(Kind kind, const std::string& key, std::string message) {
    const auto line = this->lines.find(key);
    this->faults.push_back({kind, this->file,
                            line == this->lines.end() ? 0 : line->second, key,
                            std::move(message)});
    this->faulty.insert(key);
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
    if (!HasForm(setting.form, text)) {
      this->ReportForm(setting);
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
      if (!HasForm(setting.form, item.get_ref<const std::string&>())) {
        this->ReportForm(setting);
        return;
      }
      member.push_back(item.get<std::string>());
    }
    if (std::set<std::string>(member.begin(), member.end()).size() !=
        member.size()) {
      this->Report(Kind::kInvalidValue, key, "must not name one item twice");
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
    const auto found = FindByName<T>(value.get_ref<const std::string&>());
    if (!found.has_value()) {
      this->Report(Kind::kInvalidValue, key,
                   "must be one of " + RangeOf(setting));
      return;
    }
    member = *found;
  }

  template <typename T>
  requires std::is_integral_v<T>
  void Assign(const SettingDescription& setting, const Json& value, T& member) {
    const std::string key(setting.name);
    if (!value.is_number_integer()) {
      this->Report(Kind::kWrongType, key, "must be an integer");
      return;
    }
    // An unsigned number above the signed range would wrap in a signed read.
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

  void ReportForm(const SettingDescription& setting) {
    const std::string form = RangeOf(setting);
    this->Report(Kind::kInvalidValue, std::string(setting.name),
                 form.empty() ? "must not be empty or too long"
                              : "must have the form: " + form);
  }

  bool Given(const std::string& key) const { return this->lines.contains(key); }

  void Require(const std::string& key) {
    if (!this->Given(key)) {
      this->Report(Kind::kMissingKey, key, "this key is missing");
    }
  }

  void CheckRequired() {
    this->Require("role");
    const bool role_known =
        this->Given("role") && !this->faulty.contains("role");
    for (const auto& setting : AllSettings()) {
      const bool needed =
          setting.need == SettingNeed::kRequired ||
          (role_known && setting.need == NeedOf(this->settings.role));
      if (needed && setting.name != "role") {
        this->Require(std::string(setting.name));
      }
    }
  }

  /// Requires `holds`, unless one of the two values is faulty anyway.
  void Relate(bool holds,
              const std::string& key,
              const std::string& other,
              const std::string& message) {
    if (holds || this->faulty.contains(key) || this->faulty.contains(other)) {
      return;
    }
    // A value that stands in the file is the one to point at.
    const bool point_at_other = !this->Given(key) && this->Given(other);
    this->Report(Kind::kInconsistent, point_at_other ? other : key,
                 key + " " + message + " " + other);
  }

  void CheckInstance(const InstanceSettings& instance) {
    const bool same = instance.rpc.port != 0 &&
                      instance.rpc.port == instance.http.port &&
                      instance.rpc.address == instance.http.address;
    this->Relate(!same, "instance.http.port", "instance.rpc.port",
                 "must differ from");
  }

  void CheckEntry(const EntrySettings& entry) {
    this->Relate(entry.suspect_after_ms < entry.dead_after_ms,
                 "entry.suspect_after_ms", "entry.dead_after_ms",
                 "must be below");
    this->Relate(entry.digest_interval_ms < entry.suspect_after_ms,
                 "entry.digest_interval_ms", "entry.suspect_after_ms",
                 "must be below");
    // An agent that counts as gone must not hold a lease any more.
    this->Relate(entry.agent_lease_ms <= entry.dead_after_ms,
                 "entry.agent_lease_ms", "entry.dead_after_ms",
                 "must not be above");
    this->Relate(
        entry.log_service.read_wait_ms < entry.log_service.call_timeout_ms,
        "entry.log_service.read_wait_ms", "entry.log_service.call_timeout_ms",
        "must be below");
    this->Relate(
        entry.log_service.record_stream != entry.log_service.snapshot_stream,
        "entry.log_service.snapshot_stream", "entry.log_service.record_stream",
        "must differ from");
    this->Relate(entry.planner.interval_ms < entry.planner.prepare_timeout_ms,
                 "entry.planner.interval_ms",
                 "entry.planner.prepare_timeout_ms", "must be below");
  }

  void CheckAgent(const AgentSettings& agent) {
    if (this->Given("agent.entries") && agent.entries.empty() &&
        !this->faulty.contains("agent.entries")) {
      this->Report(Kind::kInconsistent, "agent.entries",
                   "an agent needs at least one entry");
    }
    if (this->Given("agent.entries_to_announce_to") && !agent.entries.empty()) {
      this->Relate(agent.entries_to_announce_to <= agent.entries.size(),
                   "agent.entries_to_announce_to", "agent.entries",
                   "must not be above the number of");
    }
    if (!this->Given("agent.endpoint.id") && !this->Given("agent.worker.id")) {
      this->Report(Kind::kMissingKey, "agent.endpoint.id",
                   "an agent needs agent.endpoint.id or agent.worker.id");
    }
    this->CheckEndpoint(agent.endpoint);
    this->CheckWorker(agent.worker);
  }

  void CheckEndpoint(const ServiceEndpointSettings& endpoint) {
    if (this->Given("agent.endpoint.id")) {
      this->Require("agent.endpoint.service");
      this->Require("agent.endpoint.url");
    }
    this->Relate(endpoint.long_slots <= endpoint.slots,
                 "agent.endpoint.long_slots", "agent.endpoint.slots",
                 "must not be above");
    this->Relate(endpoint.slots <= endpoint.connections, "agent.endpoint.slots",
                 "agent.endpoint.connections", "must not be above");
  }

  void CheckWorker(const WorkerSettings& worker) {
    if (this->Given("agent.worker.id")) {
      this->Require("agent.worker.rack");
      this->Require("agent.worker.url");
    }
    this->Relate(worker.member_interval_ms < worker.member_silence_ms,
                 "agent.worker.member_interval_ms",
                 "agent.worker.member_silence_ms", "must be below");
    // A gang must be stopped by its watcher before its leases lapse.
    this->Relate(worker.member_silence_ms < worker.task_lease_ms,
                 "agent.worker.member_silence_ms", "agent.worker.task_lease_ms",
                 "must be below");
  }

  SettingsSource source;
  std::string file;
  std::vector<SettingsFault> faults;
  std::map<std::string, std::uint32_t> lines;
  std::set<std::string> faulty;
  Settings settings;
};

bool HasSyntaxFault(const SettingsSource& source) {
  return std::any_of(
      source.faults.begin(), source.faults.end(),
      [](const auto& fault) { return fault.kind != Kind::kRepeatedKey; });
}

}  // namespace

std::string Describe(const SettingsFault& fault) {
  std::string text = fault.file;
  if (fault.line != 0) {
    text += ":" + std::to_string(fault.line);
  }
  text += ": ";
  if (!fault.key.empty()) {
    text += fault.key + ": ";
  }
  return text + fault.message + " [" + std::string(NameOf(fault.kind)) + "]";
}

// A fault of the syntax ends the reading, so the values after it are unknown
// and would only be reported as missing.
Result<Settings> ParseSettings(const std::string& text,
                               const std::string& file) {
  auto source = ReadSettingsSource(text, file);
  const bool readable = !HasSyntaxFault(source);
  SettingsBuilder builder(std::move(source), file);
  builder.Build();
  if (readable) {
    builder.Check();
  }
  return builder.Finish();
}

Result<Settings> LoadSettings(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  if (!stream.is_open() || stream.bad()) {
    return Fail(SettingsFaults{
        {{Kind::kUnreadable, path, 0, "", "the file cannot be read"}}});
  }
  return ParseSettings(text.str(), path);
}

}  // namespace carobrill::daemon
