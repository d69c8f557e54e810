#include "packages/daemon/settings_table.h"

#include <type_traits>

namespace carobrill::daemon {
namespace {

constexpr std::int64_t kMinuteMs = 60'000;
constexpr std::int64_t kHourMs = 60 * kMinuteMs;
constexpr std::int64_t kDayMs = 24 * kHourMs;
constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kMaxProcessorShare = 1'024;
constexpr std::int64_t kMaxMemoryMb = 1'048'576;
constexpr std::int64_t kMaxDescriptors = 1'048'576;
constexpr std::int64_t kMaxBodyBytes = 64LL * 1024 * 1024;
/// A gateway opens up to 128 connections to the store.
constexpr std::int64_t kMaxPeerCalls = 127;

template <typename T>
std::string JoinNames() {
  std::string names;
  for (const auto& entry : NamesOf(T{}).entries) {
    names += (names.empty() ? "" : ", ") + std::string(entry.second);
  }
  return names;
}

std::string FormatName(SettingFormat format) {
  switch (format) {
    case SettingFormat::kName:
      return "name";
    case SettingFormat::kUrl:
      return "http://ADDRESS:PORT";
    case SettingFormat::kAddress:
      return "IP address";
    case SettingFormat::kAddressAndPort:
      return "ADDRESS:PORT";
    case SettingFormat::kNetwork:
      return "ADDRESS/BITS";
    case SettingFormat::kAny:
      break;
  }
  return "";
}

std::vector<SettingDescription> InstanceTable() {
  using S = Settings;
  return {
      {"role", [](S& s) -> SettingTarget { return &s.role; },
       "What the process does.", "", 0, 0, SettingFormat::kAny,
       SettingRequirement::kRequired},
      {"instance.id", [](S& s) -> SettingTarget { return &s.instance.id; },
       "Name of the instance, unique among all instances.", "", 0, 0,
       SettingFormat::kName, SettingRequirement::kRequired},
      {"instance.failure_domain",
       [](S& s) -> SettingTarget { return &s.instance.failure_domain; },
       "Set of instances that can fail together with this one.", "", 0, 0,
       SettingFormat::kName, SettingRequirement::kRequired},
      {"instance.region",
       [](S& s) -> SettingTarget { return &s.instance.region; },
       "Region of the instance.", "", 0, 0, SettingFormat::kName,
       SettingRequirement::kRequired},
      {"instance.charts_directory",
       [](S& s) -> SettingTarget { return &s.instance.charts_directory; },
       "Folder of the state charts."},
      {"instance.log_level",
       [](S& s) -> SettingTarget { return &s.instance.log_level; },
       "Lowest level of the lines that are logged."},
      {"instance.log_format",
       [](S& s) -> SettingTarget { return &s.instance.log_format; },
       "Shape of the log lines on standard output."},
      {"instance.rpc.address",
       [](S& s) -> SettingTarget { return &s.instance.rpc.address; },
       "Address for calls from other instances (gRPC).", "", 0, 0,
       SettingFormat::kAddress},
      {"instance.rpc.port",
       [](S& s) -> SettingTarget { return &s.instance.rpc.port; },
       "Port for calls from other instances; 0 picks a free one.", "", 0,
       kMaxPort},
      {"instance.http.address",
       [](S& s) -> SettingTarget { return &s.instance.http.address; },
       "Address for callers and operators, or for the metrics of an agent.", "",
       0, 0, SettingFormat::kAddress},
      {"instance.http.port",
       [](S& s) -> SettingTarget { return &s.instance.http.port; },
       "Port for callers and operators; 0 picks a free one.", "", 0, kMaxPort},
      {"instance.processor_share",
       [](S& s) -> SettingTarget { return &s.instance.processor_share; },
       "Processor time that the instance may use. Of the gateways, those with "
       "a large share plan.",
       "cores", 0, kMaxProcessorShare},
      {"instance.memory_mb",
       [](S& s) -> SettingTarget { return &s.instance.memory_mb; },
       "Memory that the instance may use; limits what clients may hold.", "MiB",
       0, kMaxMemoryMb},
      {"instance.max_descriptors",
       [](S& s) -> SettingTarget { return &s.instance.max_descriptors; },
       "Descriptors that the instance may open, which limits connections; 0 "
       "when unknown.",
       "descriptors", 0, kMaxDescriptors},
      {"instance.shutdown_limit_ms",
       [](S& s) -> SettingTarget { return &s.instance.shutdown_limit_ms; },
       "Longest graceful shutdown; what still runs then is ended.", "ms", 100,
       kDayMs},
  };
}

std::vector<SettingDescription> ClientTable() {
  using S = Settings;
  return {
      {"instance.clients.held_kb",
       [](S& s) -> SettingTarget { return &s.instance.clients.max_held_kb; },
       "Data that the connections of a port may hold in buffers; 0 derives it "
       "from memory_mb.",
       "KiB", 0, kMaxMemoryMb * 1024},
      {"instance.clients.connections",
       [](S& s) -> SettingTarget {
         return &s.instance.clients.max_connections;
       },
       "Connections of a port; 0 derives it from max_descriptors.",
       "connections", 0, kMaxDescriptors},
      {"instance.clients.connections_per_address",
       [](S& s) -> SettingTarget {
         return &s.instance.clients.max_connections_per_address;
       },
       "Connections of a port from one address, which may be a load balancer; "
       "0 allows half of all.",
       "connections", 0, kMaxDescriptors},
      {"instance.clients.calls",
       [](S& s) -> SettingTarget { return &s.instance.clients.max_calls; },
       "Calls without a reply that the gRPC port may have; 0 derives it from "
       "the role.",
       "calls", 0, kMaxDescriptors},
      {"instance.clients.calls_per_connection",
       [](S& s) -> SettingTarget {
         return &s.instance.clients.max_calls_per_connection;
       },
       "Calls without a reply that one connection to the gRPC port may have; 0 "
       "derives it from the role.",
       "calls", 0, kMaxDescriptors},
      {"instance.clients.call_head_bytes",
       [](S& s) -> SettingTarget {
         return &s.instance.clients.max_call_head_bytes;
       },
       "Longest header fields of a gRPC call, encoded.", "bytes", 8'192,
       kMaxBodyBytes},
      {"instance.clients.empty_frames",
       [](S& s) -> SettingTarget {
         return &s.instance.clients.max_empty_frames;
       },
       "Frames without content that a gRPC connection may send in a second.",
       "frames", 10, kMaxDescriptors},
      {"instance.clients.head_bytes",
       [](S& s) -> SettingTarget { return &s.instance.clients.max_head_bytes; },
       "Longest head of a request.", "bytes", 8'192, kMaxBodyBytes},
      {"instance.clients.body_bytes",
       [](S& s) -> SettingTarget { return &s.instance.clients.max_body_bytes; },
       "Longest body of a request; for clients of a gateway, only until it has "
       "read the limit of the operator.",
       "bytes", 1'024, kMaxBodyBytes},
      {"instance.clients.head_ms",
       [](S& s) -> SettingTarget { return &s.instance.clients.max_head_ms; },
       "Time from the first byte of a request to the end of its head.", "ms",
       100, kHourMs},
      {"instance.clients.body_ms",
       [](S& s) -> SettingTarget { return &s.instance.clients.max_body_ms; },
       "Time from the end of a head to the end of the body.", "ms", 100,
       kHourMs},
      {"instance.clients.response_ms",
       [](S& s) -> SettingTarget {
         return &s.instance.clients.max_response_ms;
       },
       "Time in which a client reads a response.", "ms", 100, kHourMs},
      {"instance.clients.rpc_networks",
       [](S& s) -> SettingTarget { return &s.instance.clients.rpc_networks; },
       "Networks whose clients may connect to the gRPC port; none allows all.",
       "", 0, 0, SettingFormat::kNetwork},
  };
}

std::vector<SettingDescription> EntryTable() {
  using S = Settings;
  return {
      {"entry.peers", [](S& s) -> SettingTarget { return &s.entry.peers; },
       "gRPC addresses of the other entries.", "", 0, 0,
       SettingFormat::kAddressAndPort},
      {"entry.digest_interval_ms",
       [](S& s) -> SettingTarget { return &s.entry.digest_interval_ms; },
       "Time between two digests to the other entries.", "ms", 10, kMinuteMs},
      {"entry.agent_lease_ms",
       [](S& s) -> SettingTarget { return &s.entry.agent_lease_ms; },
       "Lease that an agent gets with the reply to an announcement.", "ms", 100,
       kMinuteMs},
      {"entry.suspect_after_ms",
       [](S& s) -> SettingTarget { return &s.entry.suspect_after_ms; },
       "Silence after which an instance gets no new work.", "ms", 50,
       kMinuteMs},
      {"entry.dead_after_ms",
       [](S& s) -> SettingTarget { return &s.entry.dead_after_ms; },
       "Silence after which an instance counts as gone.", "ms", 100, kMinuteMs},
      {"entry.log_service.url",
       [](S& s) -> SettingTarget { return &s.entry.log_service.url; },
       "Address of the log service.", "", 0, 0, SettingFormat::kUrl,
       SettingRequirement::kRequiredInEntry},
      {"entry.log_service.record_stream",
       [](S& s) -> SettingTarget { return &s.entry.log_service.record_stream; },
       "Stream of the records.", "", 0, 0, SettingFormat::kName},
      {"entry.log_service.snapshot_stream",
       [](S& s) -> SettingTarget {
         return &s.entry.log_service.snapshot_stream;
       },
       "Stream of the snapshots.", "", 0, 0, SettingFormat::kName},
      {"entry.log_service.read_wait_ms",
       [](S& s) -> SettingTarget { return &s.entry.log_service.read_wait_ms; },
       "How long one read waits for new records.", "ms", 0, kMinuteMs},
      {"entry.log_service.call_timeout_ms",
       [](S& s) -> SettingTarget {
         return &s.entry.log_service.call_timeout_ms;
       },
       "Longest call of the log service; longer than read_wait_ms.", "ms", 10,
       kMinuteMs},
      {"entry.log_service.retention_ms",
       [](S& s) -> SettingTarget { return &s.entry.log_service.retention_ms; },
       "How long the log service keeps records.", "ms", kMinuteMs,
       365 * kDayMs},
      {"entry.log_service.records_per_snapshot",
       [](S& s) -> SettingTarget {
         return &s.entry.log_service.records_per_snapshot;
       },
       "Records after which a new snapshot is written.", "records", 10,
       10'000'000},
      {"entry.requests.queue_limit",
       [](S& s) -> SettingTarget { return &s.entry.requests.queue_limit; },
       "Requests that may wait; more are refused.", "requests", 1, 1'000'000},
      {"entry.requests.retry_percent",
       [](S& s) -> SettingTarget { return &s.entry.requests.retry_percent; },
       "Retries as a share of requests.", "%", 0, 100},
      {"entry.requests.hedge_percent",
       [](S& s) -> SettingTarget { return &s.entry.requests.hedge_percent; },
       "Hedged attempts as a share of requests.", "%", 0, 100},
      {"entry.requests.default_deadline_ms",
       [](S& s) -> SettingTarget {
         return &s.entry.requests.default_deadline_ms;
       },
       "Deadline of a request that names none.", "ms", 1, kHourMs},
      {"entry.requests.max_body_bytes",
       [](S& s) -> SettingTarget { return &s.entry.requests.max_body_bytes; },
       "Longest body of a call of the HTTP API.", "bytes", 1024,
       64LL * 1024 * 1024},
      {"entry.planner.enabled",
       [](S& s) -> SettingTarget { return &s.entry.planner.enabled; },
       "Whether this entry may plan placements."},
      {"entry.planner.interval_ms",
       [](S& s) -> SettingTarget { return &s.entry.planner.interval_ms; },
       "Time between two runs of the planner.", "ms", 1, kMinuteMs},
      {"entry.planner.prepare_timeout_ms",
       [](S& s) -> SettingTarget {
         return &s.entry.planner.prepare_timeout_ms;
       },
       "How long a member keeps its cell for a gang that is not started.", "ms",
       10, kMinuteMs},
  };
}

std::vector<SettingDescription> AgentTable() {
  using S = Settings;
  return {
      {"agent.entries", [](S& s) -> SettingTarget { return &s.agent.entries; },
       "gRPC addresses of the entries that the agent may announce itself to.",
       "", 0, 0, SettingFormat::kAddressAndPort,
       SettingRequirement::kRequiredInAgent},
      {"agent.entries_to_announce_to",
       [](S& s) -> SettingTarget { return &s.agent.announced_entry_count; },
       "How many of the entries it announces itself to.", "entries", 1, 64},
      {"agent.announce_interval_ms",
       [](S& s) -> SettingTarget { return &s.agent.announce_interval_ms; },
       "Time between two announcements.", "ms", 10, kMinuteMs},
      {"agent.endpoint.id",
       [](S& s) -> SettingTarget { return &s.agent.endpoint.id; },
       "Name of the service endpoint beside the agent; without it there is "
       "none.",
       "", 0, 0, SettingFormat::kName},
      {"agent.endpoint.service",
       [](S& s) -> SettingTarget { return &s.agent.endpoint.service; },
       "Service that the endpoint answers for.", "", 0, 0,
       SettingFormat::kName},
      {"agent.endpoint.partner",
       [](S& s) -> SettingTarget { return &s.agent.endpoint.partner; },
       "Partner that provides the endpoint; empty for none.", "", 0, 0,
       SettingFormat::kName},
      {"agent.endpoint.url",
       [](S& s) -> SettingTarget { return &s.agent.endpoint.url; },
       "Address of the endpoint.", "", 0, 0, SettingFormat::kUrl},
      {"agent.endpoint.slots",
       [](S& s) -> SettingTarget { return &s.agent.endpoint.slots; },
       "Requests that the endpoint runs at once.", "slots", 1, 1024},
      {"agent.endpoint.connections",
       [](S& s) -> SettingTarget { return &s.agent.endpoint.connections; },
       "Connections to the endpoint.", "connections", 1, 65'535},
      {"agent.endpoint.long_slots",
       [](S& s) -> SettingTarget { return &s.agent.endpoint.long_slots; },
       "Slots that work predicted to be long may use.", "slots", 1, 1024},
      {"agent.worker.id",
       [](S& s) -> SettingTarget { return &s.agent.worker.id; },
       "Name of the worker beside the agent; without it there is none.", "", 0,
       0, SettingFormat::kName},
      {"agent.worker.rack",
       [](S& s) -> SettingTarget { return &s.agent.worker.rack; },
       "Rack of the worker.", "", 0, 0, SettingFormat::kName},
      {"agent.worker.url",
       [](S& s) -> SettingTarget { return &s.agent.worker.url; },
       "Address of the worker.", "", 0, 0, SettingFormat::kUrl},
      {"agent.worker.task_lease_ms",
       [](S& s) -> SettingTarget { return &s.agent.worker.task_lease_ms; },
       "Lease of a task; it ends by itself when nobody renews it.", "ms", 100,
       kMinuteMs},
      {"agent.worker.member_interval_ms",
       [](S& s) -> SettingTarget {
         return &s.agent.worker.member_heartbeat_interval_ms;
       },
       "Time between two calls of a gang member to its watcher.", "ms", 10,
       kMinuteMs},
      {"agent.worker.member_silence_ms",
       [](S& s) -> SettingTarget { return &s.agent.worker.member_timeout_ms; },
       "Silence of a member after which the watcher stops the gang.", "ms", 50,
       kMinuteMs},
  };
}

std::vector<SettingDescription> GatewayTable() {
  using S = Settings;
  return {
      {"gateway.front", [](S& s) -> SettingTarget { return &s.gateway.front; },
       "Address for clients.", "", 0, 0, SettingFormat::kAddressAndPort,
       SettingRequirement::kRequiredInGateway},
      {"gateway.ready", [](S& s) -> SettingTarget { return &s.gateway.ready; },
       "Address that shows whether new connections are welcome.", "", 0, 0,
       SettingFormat::kAddressAndPort, SettingRequirement::kRequiredInGateway},
      {"gateway.store", [](S& s) -> SettingTarget { return &s.gateway.store; },
       "Address of the platform's store.", "", 0, 0,
       SettingFormat::kAddressAndPort, SettingRequirement::kRequiredInGateway},
      {"gateway.advice",
       [](S& s) -> SettingTarget { return &s.gateway.advice; },
       "Address of the service that names workers for queues with a policy; "
       "empty for none.",
       "", 0, 0, SettingFormat::kAddressAndPort},
      {"gateway.task_lease_limit_ms",
       [](S& s) -> SettingTarget { return &s.gateway.max_task_lease_ms; },
       "Longest lease that a worker grants to a task.", "ms", 2'000, kMinuteMs},
      {"gateway.key_revocation_ms",
       [](S& s) -> SettingTarget { return &s.gateway.max_key_revocation_ms; },
       "Time within which a removed key must stop working.", "ms", 2'500,
       kMinuteMs},
      {"gateway.job_status_s",
       [](S& s) -> SettingTarget { return &s.gateway.job_status_retention_s; },
       "How long the state of an ended job must be told.", "s", 1, 86'400},
      {"gateway.task_stop_ms",
       [](S& s) -> SettingTarget { return &s.gateway.max_task_stop_ms; },
       "Longest time that a worker takes to stop a task.", "ms", 0, kMinuteMs},
      {"gateway.urgent_rack_patience_ms",
       [](S& s) -> SettingTarget { return &s.gateway.max_urgent_rack_wait_ms; },
       "How long urgent work waits for a rack where it runs at full speed.",
       "ms", 0, kMinuteMs},
      {"gateway.evacuation_ms",
       [](S& s) -> SettingTarget { return &s.gateway.max_evacuation_ms; },
       "Time after which no task starts in an evacuated failure domain; 0 "
       "where evacuations are not used.",
       "ms", 0, kMinuteMs},
      {"gateway.learn_run_times",
       [](S& s) -> SettingTarget { return &s.gateway.learn_run_times; },
       "Whether the planner learns run times and the speeds of workers from "
       "runs, and plans by them."},
      {"gateway.serving_order",
       [](S& s) -> SettingTarget { return &s.gateway.serving_order; },
       "Order in which waiting work of one priority is served."},
      {"gateway.peer_calls",
       [](S& s) -> SettingTarget { return &s.gateway.max_peer_calls; },
       "Calls of other gateways that are executed on the store at the same "
       "time, at most a quarter of the connections of the main port.",
       "calls", 1, kMaxPeerCalls},
      {"gateway.peer_waits",
       [](S& s) -> SettingTarget { return &s.gateway.max_peer_waits; },
       "Reads among them that may wait for new records.", "calls", 0,
       kMaxPeerCalls},
  };
}

std::vector<SettingDescription> WorkerAgentTable() {
  using S = Settings;
  return {
      {"worker_agent.heartbeat",
       [](S& s) -> SettingTarget { return &s.worker_agent.heartbeat; },
       "Address to which the worker sends its heartbeats.", "", 0, 0,
       SettingFormat::kAddressAndPort,
       SettingRequirement::kRequiredInWorkerAgent},
      {"worker_agent.worker",
       [](S& s) -> SettingTarget { return &s.worker_agent.worker; },
       "Address on which the worker takes orders.", "", 0, 0,
       SettingFormat::kAddressAndPort,
       SettingRequirement::kRequiredInWorkerAgent},
      {"worker_agent.store",
       [](S& s) -> SettingTarget { return &s.worker_agent.store; },
       "Address of the store in which the agent registers itself.", "", 0, 0,
       SettingFormat::kAddressAndPort,
       SettingRequirement::kRequiredInWorkerAgent},
      {"worker_agent.evacuation_ms",
       [](S& s) -> SettingTarget { return &s.worker_agent.max_evacuation_ms; },
       "Limit for starts after an evacuation, from which the agent derives how "
       "long orders are valid; 0 where evacuations are not used.",
       "ms", 0, kMinuteMs},
  };
}

std::vector<SettingDescription> MakeTable() {
  auto table = InstanceTable();
  for (const auto& section : {ClientTable(), EntryTable(), AgentTable(),
                              GatewayTable(), WorkerAgentTable()}) {
    table.insert(table.end(), section.begin(), section.end());
  }
  return table;
}

}  // namespace

const std::vector<SettingDescription>& AllSettings() {
  static const std::vector<SettingDescription> table = MakeTable();
  return table;
}

std::string TypeOf(const SettingDescription& setting) {
  Settings settings;
  return std::visit(
      [](auto* member) -> std::string {
        using T = std::remove_pointer_t<decltype(member)>;
        if constexpr (std::is_same_v<T, std::string>) {
          return "text";
        } else if constexpr (std::is_same_v<T, bool>) {
          return "boolean";
        } else if constexpr (std::is_enum_v<T>) {
          return "choice";
        } else if constexpr (std::is_integral_v<T>) {
          return "integer";
        } else if constexpr (std::is_floating_point_v<T>) {
          return "number";
        } else {
          return "list of text";
        }
      },
      setting.target(settings));
}

std::string DefaultOf(const SettingDescription& setting) {
  if (setting.requirement != SettingRequirement::kOptional) {
    return "required";
  }
  // Depends on the installation directory.
  if (setting.name == "instance.charts_directory") {
    return "as installed";
  }
  Settings settings;
  return std::visit(
      [](auto* member) -> std::string {
        using T = std::remove_pointer_t<decltype(member)>;
        if constexpr (std::is_same_v<T, std::string>) {
          return member->empty() ? "none" : *member;
        } else if constexpr (std::is_same_v<T, bool>) {
          return *member ? "true" : "false";
        } else if constexpr (std::is_enum_v<T>) {
          return std::string(NameOf(*member));
        } else if constexpr (std::is_integral_v<T>) {
          return std::to_string(*member);
        } else if constexpr (std::is_floating_point_v<T>) {
          return *member == 0 ? "unknown" : std::to_string(*member);
        } else {
          return "none";
        }
      },
      setting.target(settings));
}

std::string RangeOf(const SettingDescription& setting) {
  Settings settings;
  return std::visit(
      [&](auto* member) -> std::string {
        using T = std::remove_pointer_t<decltype(member)>;
        if constexpr (std::is_same_v<T, bool>) {
          return "true, false";
        } else if constexpr (std::is_enum_v<T>) {
          return JoinNames<T>();
        } else if constexpr (std::is_arithmetic_v<T>) {
          return std::to_string(setting.min) + " to " +
                 std::to_string(setting.max);
        } else {
          return FormatName(setting.format);
        }
      },
      setting.target(settings));
}

std::string SettingsMarkdown() {
  std::string text =
      "| Setting | Type | Unit | Default | Range | Meaning |\n"
      "|---|---|---|---|---|---|\n";
  for (const auto& setting : AllSettings()) {
    text += "| `" + std::string(setting.name) + "` | " + TypeOf(setting) +
            " | " + std::string(setting.unit) + " | " + DefaultOf(setting) +
            " | " + RangeOf(setting) + " | " +
            std::string(setting.description) + " |\n";
  }
  return text;
}

}  // namespace carobrill::daemon
