#include "tests/soak/site.h"

#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "packages/gateway/planner_records.h"
#include "packages/gateway/topics.h"
#include "tests/soak/http_connection.h"
#include "tests/soak/socket_owner.h"

namespace carobrill::soak {
namespace {

constexpr std::int64_t kMaxStopMs = 200;
constexpr std::int64_t kMaxLeaseMs = 6'000;
/// Longer than any run, so that no job may be forgotten.
constexpr std::int64_t kStatusRetentionS = 7'200;
constexpr std::int64_t kReadyPollMs = 100;
constexpr const char* kOperatorTopic = "keyed.op";

nlohmann::json Instance(const std::string& name,
                        int number,
                        const Endpoint& rpc,
                        const Endpoint& http) {
  return {{"id", name},
          {"failure_domain", FailureDomainOf(number)},
          {"region", "region-a"},
          {"rpc", {{"address", rpc.ip}, {"port", rpc.port}}},
          {"http", {{"address", http.ip}, {"port", http.port}}}};
}

// Tasks of a step take the same time, as the members of a gang end together.
standin::Runner::Work WorkOf(const std::string& task) {
  constexpr std::int64_t kShortestMs = 2'000;
  constexpr std::int64_t kSpreadMs = 14'000;
  const std::string step = task.substr(0, task.rfind('.'));
  return {kShortestMs + static_cast<std::int64_t>(
                            std::hash<std::string>{}(step) % kSpreadMs),
          "done"};
}

}  // namespace

std::string FailureDomainOf(int number) {
  return "zone-" + std::to_string(number % kFailureDomains);
}

Site::Site(const Options& options, std::string folder, standin::Record& record)
    : record(record),
      store(record),
      folder(std::move(folder)),
      next_seed(options.seed << 16) {
  this->ReserveAddresses();
  this->Configure();
  this->store.after_append = [this, random = std::mt19937_64(options.seed),
                              mutex = std::make_shared<std::mutex>()](
                                 const std::string&,
                                 const std::vector<std::string>&) mutable {
    const std::lock_guard lock(*mutex);
    return std::uniform_real_distribution<>(0, 1)(random) >=
           this->lost_answer_share;
  };
  for (int i = 0; i < options.gateways; ++i) {
    this->AddGateway(options, i);
  }
  for (int i = 0; i < options.agents; ++i) {
    this->AddAgent(options, i);
  }
}

// The programs end before what they talk to.
Site::~Site() {
  for (GatewayNode& gateway : this->gateways) {
    gateway.process.reset();
  }
  for (const auto& agent : this->agents) {
    agent->process.reset();
  }
  close(this->guard);
}

void Site::ReserveAddresses() {
  constexpr int kFirstNet = 16;
  constexpr int kNets = 200;
  this->guard = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  for (int i = 0; i < kNets; ++i) {
    const std::string net =
        "127." + std::to_string(kFirstNet + (getpid() + i) % kNets);
    const sockaddr_in address = Endpoint{net + ".1.1", kFirstPort}.Address();
    if (bind(this->guard, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0) {
      this->process_ip = net + ".1.1";
      this->rpc_proxy_ip = net + ".2.1";
      this->proxy_ip = net + ".3.1";
      return;
    }
  }
  throw std::runtime_error("no loopback address is free");
}

Endpoint Site::NewEndpoint() {
  return {this->process_ip, ++this->next_port};
}

void Site::Configure() {
  nlohmann::json routes = nlohmann::json::array();
  for (const Queue& queue : kQueues) {
    routes.push_back({{"name", queue.name},
                      {"host", kHost},
                      {"path_prefix", queue.prefix},
                      {"service", "svc"},
                      {"priority", queue.priority},
                      {"max_attempts", kMaxAttempts},
                      {"stretch", 3.0},
                      {"slo_ms", 1000}});
  }
  const nlohmann::json config = {
      {"version", 1},
      {"routes", routes},
      {"services", {{{"name", "svc"}, {"admission_check", false}}}},
      {"tenants", {{{"name", "tenant-1"}, {"api_keys", {kKey}}}}},
      {"limits", {{"max_body_bytes", 262144}}}};
  this->store.Put(kOperatorTopic, "config", config.dump());
}

void Site::SetEvacuated(const std::string& failure_domain, bool evacuated) {
  this->store.Put(kOperatorTopic, "evacuate/" + failure_domain,
                  evacuated ? "{}" : "");
}

void Site::DropOperatorHistory() {
  this->store.DropHistory(kOperatorTopic);
}

std::unique_ptr<Proxy> Site::MakeStoreLink() {
  const std::string address = this->store.Address();
  const auto colon = address.rfind(':');
  ProxyHooks hooks;
  // Processes register the proxy in front of their RPC service.
  hooks.rewrite = {this->process_ip + ":", this->rpc_proxy_ip + ":"};
  return std::make_unique<Proxy>(
      Endpoint{this->proxy_ip, 0},
      Endpoint{address.substr(0, colon), static_cast<std::uint16_t>(std::stoul(
                                             address.substr(colon + 1)))},
      ++this->next_seed, std::move(hooks));
}

std::unique_ptr<Proxy> Site::MakeRpcLink(const Endpoint& rpc) {
  ProxyHooks hooks;
  const Endpoint listen{this->rpc_proxy_ip, rpc.port};
  hooks.source_of = [this, listen](const Endpoint& client) {
    return this->GatewayOf(client, listen);
  };
  return std::make_unique<Proxy>(listen, rpc, ++this->next_seed,
                                 std::move(hooks));
}

std::unique_ptr<Child> Site::MakeChild(const Options& options,
                                       const std::string& name,
                                       const nlohmann::json& settings) {
  const std::string path = this->folder + "/" + name + ".json";
  std::ofstream(path) << settings.dump(2);
  return std::make_unique<Child>(name, options.program, path,
                                 this->folder + "/" + name + ".log",
                                 this->record);
}

void Site::AddGateway(const Options& options, int number) {
  const std::string name = "gateway-" + std::to_string(number);
  GatewayNode node;
  node.front = this->NewEndpoint();
  node.ready = this->NewEndpoint();
  const Endpoint rpc = this->NewEndpoint();
  node.store_link = this->MakeStoreLink();
  node.rpc = rpc;
  node.rpc_link = this->MakeRpcLink(rpc);
  nlohmann::json instance = Instance(name, number, rpc, this->NewEndpoint());
  instance["processor_share"] = 0.25;
  node.process = this->MakeChild(options, name,
                                 {{"role", "gateway"},
                                  {"instance", instance},
                                  {"gateway",
                                   {{"front", node.front.Text()},
                                    {"ready", node.ready.Text()},
                                    {"store", node.store_link->Listen().Text()},
                                    {"task_stop_ms", kMaxStopMs},
                                    {"task_lease_limit_ms", kMaxLeaseMs},
                                    {"key_revocation_ms", 5'000},
                                    {"evacuation_ms", kEvacuationMs},
                                    {"job_status_s", kStatusRetentionS}}}});
  this->gateways.push_back(std::move(node));
}

void Site::AddAgent(const Options& options, int number) {
  const std::string name = "agent-" + std::to_string(number);
  auto node = std::make_unique<AgentNode>();
  const Endpoint heartbeat = this->NewEndpoint();
  const Endpoint rpc = this->NewEndpoint();
  node->store_link = this->MakeStoreLink();
  node->rpc = rpc;
  node->rpc_link = this->MakeRpcLink(rpc);
  standin::RunnerSettings runner;
  runner.id = "runner-" + std::to_string(number);
  runner.zone = FailureDomainOf(number);
  node->failure_domain = runner.zone;
  runner.rack = "r1-" + std::to_string(number % kFailureDomains);
  runner.hold_max_ms = kMaxLeaseMs;
  runner.stop_ms = kMaxStopMs;
  this->next_seed += 2;
  node->worker = std::make_unique<Worker>(runner, heartbeat, this->proxy_ip,
                                          this->next_seed, this->record,
                                          this->runs, WorkOf);
  node->process = this->MakeChild(
      options, name,
      {{"role", "worker_agent"},
       {"instance", Instance(name, number, rpc, this->NewEndpoint())},
       {"worker_agent",
        {{"heartbeat", heartbeat.Text()},
         {"worker", node->worker->Address().Text()},
         {"evacuation_ms", kEvacuationMs},
         {"store", node->store_link->Listen().Text()}}}});
  this->agents.push_back(std::move(node));
}

bool Site::Start(std::int64_t limit_ms) {
  for (GatewayNode& gateway : this->gateways) {
    this->StartChild(*gateway.process);
  }
  for (const auto& agent : this->agents) {
    this->StartChild(*agent->process);
    agent->worker->StartHeartbeats();
  }
  const std::int64_t until = standin::NowMs() + limit_ms;
  for (const GatewayNode& gateway : this->gateways) {
    HttpConnection connection(gateway.ready);
    while (connection.Call("GET", "/ready", {{"Host", kHost}}, "", kReadyPollMs)
               .status != 200) {
      if (standin::NowMs() > until) {
        return false;
      }
      standin::SleepMs(kReadyPollMs);
    }
  }
  return true;
}

void Site::StartChild(Child& child) {
  child.Start();
  const std::lock_guard lock(this->mutex);
  this->gateway_pids.clear();
  for (const GatewayNode& gateway : this->gateways) {
    this->gateway_pids.push_back(gateway.process->Pid());
  }
}

std::optional<std::size_t> Site::Planner() {
  const auto claim = gateway::DecodeClaim(
      this->store.Newest(gateway::kProgressTopic, gateway::kPlannerKey));
  for (std::size_t i = 0; claim.has_value() && i < this->gateways.size(); ++i) {
    if (this->gateways[i].process->Name() == claim->instance.value) {
      return i;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t> Site::GatewayOf(const Endpoint& local,
                                           const Endpoint& remote) {
  std::vector<pid_t> pids;
  {
    const std::lock_guard lock(this->mutex);
    pids = this->gateway_pids;
  }
  return SocketOwner(local, remote, pids);
}

}  // namespace carobrill::soak
