#ifndef TESTS_PROCESS_DEPLOYMENT_H_
#define TESTS_PROCESS_DEPLOYMENT_H_

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "packages/http/http_client.h"
#include "tests/process/process.h"

namespace carobrill::process {

/// Number of processes in a deployment.
struct DeploymentPlan {
  int entries = 2;
  /// Endpoints of the service "calibration"; endpoint i belongs to partner
  /// "pi".
  int endpoints = 2;
  /// Workers with 8 accelerators each, all in one rack.
  int workers = 0;
};

/// One request to send.
struct RequestPlan {
  std::string payload;
  /// Empty for an idempotent request without a key.
  std::string key;
  std::int64_t run_ms = 50;
  std::int64_t deadline_ms = 5'000;
};

/// Response to a request.
struct RequestOutcome {
  /// False if no complete HTTP response arrived.
  bool answered = false;
  int status = 0;
  nlohmann::json body;

  /// Field `ran` of the response; empty without a response.
  std::string Ran() const;
};

/// Runs the fake platform services, entries and agents as processes on
/// loopback.
class Deployment {
 public:
  /// Starts all processes and waits until the entries are ready, the rules are
  /// in force, and every entry knows all endpoints and workers. Fails the test
  /// case on timeout.
  explicit Deployment(DeploymentPlan plan);

  Process& Entry(int number) { return *this->entries.at(number).process; }
  Process& EndpointAgent(int number) {
    return *this->endpoint_agents.at(number).process;
  }
  Process& WorkerAgent(int number) {
    return *this->worker_agents.at(number).process;
  }

  /// Restarts a killed entry on the same addresses.
  void RestartEntry(int number);

  /// Sends a call to the HTTP API of an entry.
  std::future<http::HttpClientResult> Call(int entry,
                                           const std::string& method,
                                           const std::string& path,
                                           const std::string& body = "",
                                           const std::string& key = "",
                                           std::int64_t limit_ms = 10'000);

  /// Sends a request to the service "calibration" through an entry.
  std::future<RequestOutcome> Request(int entry, const RequestPlan& plan);

  /// Body of `GET path` at an entry; null without a complete 200 response.
  nlohmann::json Get(int entry, const std::string& path);

  /// Submits a gang whose members each take a whole worker; returns the job id.
  std::string SubmitGang(int entry,
                         int members,
                         std::int64_t run_ms,
                         bool idempotent);

  /// State of a job as reported by an entry; empty if the entry reports none.
  std::string JobState(int entry, const std::string& job);

  /// Injects faults into a fake service.
  void ControlLog(const nlohmann::json& body);
  void ControlEndpoint(int number, const nlohmann::json& body);

  /// Body of `GET /stats` of a fake service.
  nlohmann::json EndpointStats(int number);
  nlohmann::json WorkerStats(int number);

  /// Number of runs of a payload, summed over all endpoints.
  std::int64_t Runs(const std::string& payload);

  /// Number of runs of all payloads at one endpoint.
  std::int64_t RunsAt(int endpoint);

  /// The rule file that the deployment publishes at startup.
  static std::string Rules();

  /// Publishes a rule file through an entry.
  std::future<http::HttpClientResult> Publish(int entry,
                                              int base_version,
                                              const std::string& author,
                                              const std::string& text);

  int EndpointCount() const { return this->plan.endpoints; }

 private:
  /// Idempotency keys that have already been sent.
  std::set<std::string> sent_keys;
  struct Component {
    std::unique_ptr<Process> process;
    std::string settings_path;
    std::uint16_t port = 0;
    std::uint16_t rpc_port = 0;
  };

  bool Start();
  bool StartFakes();
  bool StartDaemon(Component& component);
  std::string EntrySettings(int number) const;
  std::string AgentSettings(const std::string& id,
                            const Component& component,
                            const nlohmann::json& backend) const;
  bool WaitUntilReady();
  http::HttpClientResult Send(const std::string& method,
                              std::uint16_t port,
                              const std::string& path,
                              const std::string& body);

  DeploymentPlan plan;
  TemporaryDirectory directory;
  Component log;
  std::vector<Component> entries;
  std::vector<Component> endpoints;
  std::vector<Component> endpoint_agents;
  std::vector<Component> workers;
  std::vector<Component> worker_agents;
  Task task{"deployment"};
  http::HttpClient client{task};
};

/// Polls until `condition` is true. Returns false on timeout. With a condition
/// that is never true, sleeps for `limit_ms`.
bool WaitUntil(const std::function<bool()>& condition, std::int64_t limit_ms);

}  // namespace carobrill::process

#endif  // TESTS_PROCESS_DEPLOYMENT_H_
