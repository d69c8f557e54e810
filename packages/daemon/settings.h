#ifndef PACKAGES_DAEMON_SETTINGS_H_
#define PACKAGES_DAEMON_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "packages/core/log.h"
#include "packages/core/name_table.h"
#include "packages/core/result.h"
#include "packages/workload/serving_order.h"

namespace carobrill::daemon {

/// Role of a process. Each process has one role.
enum class Role { kEntry, kAgent, kGateway, kWorkerAgent };

constexpr auto NamesOf(Role) {
  return MakeNameTable<Role>({{Role::kEntry, "entry"},
                              {Role::kAgent, "agent"},
                              {Role::kGateway, "gateway"},
                              {Role::kWorkerAgent, "worker_agent"}});
}

/// An IP address and a port; port 0 selects a free port.
struct ListenAddress {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
};

/// Limits for the clients of each port; 0 derives a limit from the size of the
/// instance.
struct ClientSettings {
  std::int64_t max_held_kb = 0;
  std::int64_t max_connections = 0;
  std::int64_t max_connections_per_address = 0;
  /// Of the gRPC port; 0 derives it from the role.
  std::int64_t max_calls = 0;
  std::int64_t max_calls_per_connection = 0;
  /// Header fields of a gRPC call, encoded.
  std::int64_t max_call_head_bytes = 32 * 1024;
  /// Frames without content on one gRPC connection, in a second.
  std::int64_t max_empty_frames = 100;
  std::int64_t max_head_bytes = 64 * 1024;
  /// A gateway limits the bodies of its clients as configured by the operator,
  /// and uses this limit until it has read the configuration.
  std::int64_t max_body_bytes = 1024 * 1024;
  std::int64_t max_head_ms = 10'000;
  std::int64_t max_body_ms = 30'000;
  std::int64_t max_response_ms = 30'000;
  /// Networks whose clients may connect to the gRPC port; none allows all.
  std::vector<std::string> rpc_networks;
};

/// Settings common to all roles.
struct InstanceSettings {
  std::string id;
  std::string failure_domain;
  std::string region;
  std::string charts_directory = CAROBRILL_CHARTS_DIRECTORY;
  LogLevel log_level = LogLevel::kInfo;
  LogFormat log_format = LogFormat::kJson;
  /// Listen address for gRPC calls from other processes of the system.
  ListenAddress rpc;
  /// Listen address for HTTP: the API for clients and operators (entry), or
  /// metrics (agent).
  ListenAddress http;
  /// Processor time that the instance may use, in cores; 0 when unknown.
  double processor_share = 0;
  /// Memory that the instance may use, in MiB; 0 when unknown.
  double memory_mb = 0;
  /// Descriptors that the instance may open; 0 when unknown.
  std::int64_t max_descriptors = 0;
  ClientSettings clients;
  /// Maximum duration of a graceful shutdown, after which remaining work is
  /// terminated.
  std::int64_t shutdown_limit_ms = 60'000;
};

/// Connection to the platform's log service.
struct LogServiceSettings {
  std::string url;
  std::string record_stream = "carobrill.records";
  std::string snapshot_stream = "carobrill.snapshots";
  /// Long-poll timeout of a read that waits for new records.
  std::int64_t read_wait_ms = 1'000;
  std::int64_t call_timeout_ms = 3'000;
  std::int64_t retention_ms = 24LL * 3600 * 1000;
  std::uint32_t records_per_snapshot = 10'000;
};

/// Limits for short requests.
struct RequestSettings {
  std::uint32_t queue_limit = 2'000;
  std::uint32_t retry_percent = 10;
  std::uint32_t hedge_percent = 5;
  std::int64_t default_deadline_ms = 30'000;
  /// Maximum size of a request body of the HTTP API.
  std::uint32_t max_body_bytes = 1024 * 1024;
};

/// Settings of the planner.
struct PlannerSettings {
  /// Whether this entry may plan placements.
  bool enabled = true;
  std::int64_t interval_ms = 50;
  /// How long a member reserves its cell for a gang that has not started.
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

/// The service endpoint co-located with an agent; absent when `id` is empty.
struct ServiceEndpointSettings {
  std::string id;
  std::string service;
  std::string partner;
  std::string url;
  std::uint32_t slots = 8;
  std::uint32_t connections = 60;
  /// Number of slots available to work that is predicted to run long.
  std::uint32_t long_slots = 6;
};

/// The worker co-located with an agent; absent when `id` is empty.
struct WorkerSettings {
  std::string id;
  std::string rack;
  std::string url;
  std::int64_t task_lease_ms = 3'000;
  std::int64_t member_heartbeat_interval_ms = 500;
  std::int64_t member_timeout_ms = 2'000;
};

/// Settings of an agent.
struct AgentSettings {
  /// gRPC addresses ("ip:port") of the entries that the agent may announce
  /// itself to.
  std::vector<std::string> entries;
  std::uint32_t announced_entry_count = 2;
  std::int64_t announce_interval_ms = 300;
  ServiceEndpointSettings endpoint;
  WorkerSettings worker;
};

/// Settings of a gateway, the process that serves clients on the platform.
struct GatewaySettings {
  /// Listen address ("ip:port") for clients.
  std::string front;
  /// Listen address of the readiness check for new connections.
  std::string ready;
  /// Address of the platform's store.
  std::string store;
  /// Address of the service that selects workers for queues with their own
  /// policy; empty when there is none.
  std::string advice;
  /// Maximum lease that a worker grants to a task, defined by the platform.
  std::int64_t max_task_lease_ms = 6'000;
  /// Maximum time until a removed API key stops working, defined by the
  /// platform.
  std::int64_t max_key_revocation_ms = 5'000;
  /// How long the state of an ended job must remain available, in seconds;
  /// defined by the platform.
  std::int64_t job_status_retention_s = 120;
  /// Maximum time that a worker takes to stop a task.
  std::int64_t max_task_stop_ms = 900;
  /// Maximum time that urgent work waits for a rack on which it runs at full
  /// speed.
  std::int64_t max_urgent_rack_wait_ms = 900;
  /// Time after which no task may start in a failure domain that the operator
  /// has evacuated, defined by the platform; 0 where evacuations are not used.
  std::int64_t max_evacuation_ms = 0;
  /// Learn run times and worker speeds from runs, and plan by them.
  bool learn_run_times = false;
  /// Order in which waiting work of one priority is served.
  workload::ServingOrder serving_order = workload::ServingOrder::kGuarantees;
  /// Calls of peers that are executed on the store at the same time, and reads
  /// among them that may wait for new records.
  std::int64_t max_peer_calls = 96;
  std::int64_t max_peer_waits = 32;
};

/// Settings of a worker agent on the platform.
struct WorkerAgentSettings {
  /// Address ("ip:port") to which the worker sends its heartbeats.
  std::string heartbeat;
  /// Address of the worker.
  std::string worker;
  /// Address of the platform's store.
  std::string store;
  /// As in GatewaySettings.
  std::int64_t max_evacuation_ms = 0;
};

/// All settings of one process. Only `instance` and the section of its role are
/// used.
struct Settings {
  Role role = Role::kEntry;
  InstanceSettings instance;
  EntrySettings entry;
  AgentSettings agent;
  GatewaySettings gateway;
  WorkerAgentSettings worker_agent;
};

/// Kinds of errors in a settings file.
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

/// One error in a settings file.
struct SettingsError {
  SettingsErrorKind kind = SettingsErrorKind::kMalformed;
  std::string file;
  /// Line number from 1; 0 when the key does not occur in the file.
  std::uint32_t line = 0;
  /// Path of the key, for example "entry.log_service.url".
  std::string key;
  std::string message;
};

/// All errors in a settings file, ordered by line.
struct SettingsErrors {
  std::vector<SettingsError> faults;
};

/// Formats an error as one line: "file:line: key: message [kind]".
std::string Describe(const SettingsError& error);

/// Parses settings from JSON with comments. `file` is the name used in error
/// messages. Fails with SettingsErrors.
Result<Settings> ParseSettings(const std::string& text,
                               const std::string& file);

/// Reads and parses the settings file at `path`. Fails with SettingsErrors.
Result<Settings> LoadSettings(const std::string& path);

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_SETTINGS_H_
