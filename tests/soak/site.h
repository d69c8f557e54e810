#ifndef TESTS_SOAK_SITE_H_
#define TESTS_SOAK_SITE_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "review/standin/runner.h"
#include "review/standin/store.h"
#include "tests/soak/child.h"
#include "tests/soak/endpoint.h"
#include "tests/soak/options.h"
#include "tests/soak/proxy.h"
#include "tests/soak/worker.h"

namespace carobrill::soak {

/// @{
/// What clients send with each call.
inline constexpr const char* kHost = "host.example";
inline constexpr const char* kKey = "key-1";
/// @}

struct Queue {
  const char* name;
  const char* prefix;
  int priority;
};
inline constexpr std::array<Queue, 3> kQueues = {{{"urgent", "/urgent/", 0},
                                                  {"plain", "/plain/", 1},
                                                  {"batch", "/batch/", 2}}};

/// Time after which no task starts in an evacuated failure domain.
inline constexpr std::int64_t kEvacuationMs = 5'000;

/// Gateways and agents are spread over this number of failure domains.
inline constexpr int kFailureDomains = 3;

/// Returns the name of the failure domain of a gateway or an agent.
std::string FailureDomainOf(int number);

/// Failures after which a job is given up.
inline constexpr std::uint32_t kMaxAttempts = 3;

struct GatewayNode {
  Endpoint front;
  Endpoint ready;
  /// Where the process itself listens for calls, behind `rpc_link`.
  Endpoint rpc;
  std::unique_ptr<Proxy> store_link;
  std::unique_ptr<Proxy> rpc_link;
  std::unique_ptr<Child> process;
};

struct AgentNode {
  std::string failure_domain;
  /// Where the process itself listens for calls, behind `rpc_link`.
  Endpoint rpc;
  std::unique_ptr<Proxy> store_link;
  std::unique_ptr<Proxy> rpc_link;
  std::unique_ptr<Worker> worker;
  std::unique_ptr<Child> process;
};

/// The programs under test and all that they talk to, on loopback addresses of
/// this run. A proxy stands in each path between two of them.
class Site {
 public:
  Site(const Options& options, std::string folder, standin::Record& record);
  ~Site();

  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  /// Starts all processes and waits until the gateways are ready.
  bool Start(std::int64_t limit_ms);

  /// @{
  /// What the operator and the store do with evacuations of failure domains.
  void SetEvacuated(const std::string& failure_domain, bool evacuated);
  void DropOperatorHistory();
  /// @}

  /// Index of the gateway that has the newest planner claim in the store.
  std::optional<std::size_t> Planner();

  /// Index of the gateway with the connection from `local` to `remote`.
  std::optional<std::size_t> GatewayOf(const Endpoint& local,
                                       const Endpoint& remote);

  /// Restarts a process; keeps the table of gateway processes up to date.
  void StartChild(Child& child);

  standin::Record& record;
  standin::RunLog runs;
  /// Share of successful appends whose answer is lost.
  std::atomic<double> lost_answer_share = 0;
  standin::Store store;
  std::vector<GatewayNode> gateways;
  std::vector<std::unique_ptr<AgentNode>> agents;

 private:
  static constexpr std::uint16_t kFirstPort = 20'000;

  void ReserveAddresses();
  /// Returns an endpoint of a process that nothing else uses.
  Endpoint NewEndpoint();
  void Configure();
  void AddGateway(const Options& options, int number);
  void AddAgent(const Options& options, int number);
  std::unique_ptr<Proxy> MakeStoreLink();
  std::unique_ptr<Proxy> MakeRpcLink(const Endpoint& rpc);
  std::unique_ptr<Child> MakeChild(const Options& options,
                                   const std::string& name,
                                   const nlohmann::json& settings);

  const std::string folder;
  std::uint64_t next_seed;
  /// Reserves the loopback addresses of this run.
  int guard = -1;
  /// @{
  /// Loopback addresses: processes listen on the first, proxies in front of
  /// their RPC services on the second, and other proxies on the third. Outgoing
  /// connections use 127.0.0.1, so no port is taken while a process is down.
  std::string process_ip;
  std::string rpc_proxy_ip;
  std::string proxy_ip;
  /// @}
  std::uint16_t next_port = kFirstPort;
  std::mutex mutex;
  std::vector<pid_t> gateway_pids;
};

}  // namespace carobrill::soak

#endif  // TESTS_SOAK_SITE_H_
