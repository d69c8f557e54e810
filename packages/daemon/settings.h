#ifndef PACKAGES_DAEMON_SETTINGS_H_
#define PACKAGES_DAEMON_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "packages/core/log.h"
#include "packages/core/name_table.h"
#include "packages/core/result.h"

namespace carobrill::daemon {

/// What a process does; one role per process.
enum class Role { kEntry, kAgent, kGateway, kWorkerAgent };

constexpr auto NamesOf(Role) {
  return MakeNameTable<Role>({{Role::kEntry, "entry"},
                              {Role::kAgent, "agent"},
                              {Role::kGateway, "gateway"},
                              {Role::kWorkerAgent, "worker_agent"}});
}

/// An IP address and a port; port 0 picks a free one.
struct ListenAddress {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
};

/// Settings that both roles share.
struct InstanceSettings {
  std::string id;
  std::string failure_domain;
  std::string region;
  std::string charts_directory = CAROBRILL_CHARTS_DIRECTORY;
  LogLevel log_level = LogLevel::kInfo;
  LogFormat log_format = LogFormat::kJson;
  /// Address on which other processes of the system call this one (gRPC).
  ListenAddress rpc;
  /// Address for callers and operators (entry) or for metrics (agent).
  ListenAddress http;
  /// How long a graceful shutdown may take before it ends what still runs.
  std::int64_t shutdown_limit_ms = 60'000;
};

/// The log service of the platform.
struct LogServiceSettings {
  std::string url;
  std::string record_stream = "carobrill.records";
  std::string snapshot_stream = "carobrill.snapshots";
  /// How long one read waits for new records.
  std::int64_t read_wait_ms = 1'000;
  std::int64_t call_timeout_ms = 3'000;
  std::int64_t retention_ms = 24LL * 3600 * 1000;
  std::uint32_t records_per_snapshot = 10'000;
};

/// Limits of the path of short requests.
struct RequestSettings {
  std::uint32_t queue_limit = 2'000;
  std::uint32_t retry_percent = 10;
  std::uint32_t hedge_percent = 5;
  std::int64_t default_deadline_ms = 30'000;
  /// Longest body of a call of the HTTP API.
  std::uint32_t max_body_bytes = 1024 * 1024;
};

/// Settings of the planner.
struct PlannerSettings {
  /// Whether this entry may plan placements.
  bool enabled = true;
  std::int64_t interval_ms = 50;
  /// How long a member keeps its cell for a gang that is not started yet.
  std::int64_t prepare_timeout_ms = 2'000;
};

/// Settings of an entry.
struct EntrySettings {
  /// gRPC addresses ("ip:port") of the other entries.
  std::vector<std::string> peers;
  LogServiceSettings log_service;
  RequestSettings requests;
  PlannerSettings planner;
  std::int64_t digest_interval_ms = 300;
  std::int64_t agent_lease_ms = 2'000;
  std::int64_t suspect_after_ms = 1'000;
  std::int64_t dead_after_ms = 2'000;
};

/// The service endpoint beside an agent; absent when `id` is empty.
struct ServiceEndpointSettings {
  std::string id;
  std::string service;
  std::string partner;
  std::string url;
  std::uint32_t slots = 8;
  std::uint32_t connections = 60;
  /// Slots that work predicted to be long may use.
  std::uint32_t long_slots = 6;
};

/// The worker beside an agent; absent when `id` is empty.
struct WorkerSettings {
  std::string id;
  std::string rack;
  std::string url;
  std::int64_t task_lease_ms = 3'000;
  std::int64_t member_interval_ms = 500;
  std::int64_t member_silence_ms = 2'000;
};

/// Settings of an agent.
struct AgentSettings {
  /// gRPC addresses ("ip:port") of the entries it may announce itself to.
  std::vector<std::string> entries;
  std::uint32_t entries_to_announce_to = 2;
  std::int64_t announce_interval_ms = 300;
  ServiceEndpointSettings endpoint;
  WorkerSettings worker;
};

/// Settings of a gateway: a process that clients reach on the platform.
struct GatewaySettings {
  /// Address ("ip:port") for clients.
  std::string front;
  /// Address that shows whether new connections are welcome.
  std::string ready;
  /// Address of the platform's store.
  std::string store;
  /// Address of the service that names workers for queues with a policy of
  /// their own; empty when there is none.
  std::string advice;
  /// The platform's bound for the lease of a task.
  std::int64_t task_lease_limit_ms = 6'000;
  /// The platform's bound within which a removed key must stop working.
  std::int64_t key_revocation_ms = 5'000;
  /// The platform's bound for telling the state of an ended job, in seconds.
  std::int64_t job_status_s = 120;
  /// Longest time that a worker takes to stop a task.
  std::int64_t task_stop_ms = 900;
  /// How long urgent work waits for a rack where it runs at full speed.
  std::int64_t urgent_rack_patience_ms = 900;
};

/// Settings of a worker agent on the platform.
struct WorkerAgentSettings {
  /// Address ("ip:port") to which the worker sends its heartbeats.
  std::string heartbeat;
  /// Address of the worker.
  std::string worker;
  /// Address of the platform's store.
  std::string store;
};

/// All settings of one process; only the part of its role is used.
struct Settings {
  Role role = Role::kEntry;
  InstanceSettings instance;
  EntrySettings entry;
  AgentSettings agent;
  GatewaySettings gateway;
  WorkerAgentSettings worker_agent;
};

/// Why a settings file was refused.
enum class SettingsErrorKind {
  kUnreadable,
  kMalformed,
  kUnknownKey,
  kRepeatedKey,
  kMissingKey,
  kWrongType,
  kOutOfRange,
  kInvalidValue,
  kInconsistent,
};

constexpr auto NamesOf(SettingsErrorKind) {
  return MakeNameTable<SettingsErrorKind>({
      {SettingsErrorKind::kUnreadable, "unreadable"},
      {SettingsErrorKind::kMalformed, "malformed"},
      {SettingsErrorKind::kUnknownKey, "unknown_key"},
      {SettingsErrorKind::kRepeatedKey, "repeated_key"},
      {SettingsErrorKind::kMissingKey, "missing_key"},
      {SettingsErrorKind::kWrongType, "wrong_type"},
      {SettingsErrorKind::kOutOfRange, "out_of_range"},
      {SettingsErrorKind::kInvalidValue, "invalid_value"},
      {SettingsErrorKind::kInconsistent, "inconsistent"},
  });
}

/// One fault in a settings file.
struct SettingsFault {
  SettingsErrorKind kind = SettingsErrorKind::kMalformed;
  std::string file;
  /// From 1; 0 when the key does not occur in the file.
  std::uint32_t line = 0;
  /// Path of the key, for example "entry.log_service.url".
  std::string key;
  std::string message;
};

/// All faults of a settings file, in the order of their lines.
struct SettingsFaults {
  std::vector<SettingsFault> faults;
};

/// One line for the reader: "file:line: key: message [kind]".
std::string Describe(const SettingsFault& fault);

/// Reads settings from JSON with comments. Fails with SettingsFaults.
Result<Settings> ParseSettings(const std::string& text,
                               const std::string& file);

/// Reads the settings file at `path`. Fails with SettingsFaults.
Result<Settings> LoadSettings(const std::string& path);

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_SETTINGS_H_
