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

/// What a deployment consists of.
struct DeploymentPlan {
  int entries = 2;
  /// Endpoints of the service "calibration"; number i belongs to partner "pi".
  int endpoints = 2;
  /// Workers of 8 accelerators in one rack.
  int workers = 0;
};

/// One request of a caller.
struct RequestPlan {
  std::string payload;
  /// Empty for an idempotent request without a key.
  std::string key;
  std::int64_t run_ms = 50;
  std::int64_t deadline_ms = 5'000;
};

/// What a caller received.
struct RequestOutcome {
  /// False when no whole HTTP response came.
  bool answered = false;
  int status = 0;
  nlohmann::json body;

  /// `ran` of the response; empty without one.
  std::string Ran() const;
};

/// The fakes of the platform, entries and agents as processes on loopback.
class Deployment {
 public:
  /// Starts all and waits until the entries serve, the rules are in force, and
  /// every endpoint and worker is known at every entry. Fails the test case
  /// when that takes too long.
  explicit Deployment(DeploymentPlan plan);

  Process& Entry(int number) { return *this->entries.at(number).process; }
  Process& EndpointAgent(int number) {
    return *this->endpoint_agents.at(number).process;
  }
  Process& WorkerAgent(int number) {
    return *this->worker_agents.at(number).process;
  }

  /// Starts a killed entry again on its old addresses.
  void RestartEntry(int number);

  /// Sends a call to the HTTP API of an entry.
  std::future<http::HttpReply> Call(int entry,
                                    const std::string& method,
                                    const std::string& path,
                                    const std::string& body = "",
                                    const std::string& key = "",
                                    std::int64_t limit_ms = 10'000);

  /// Sends a request to the service "calibration" through an entry.
  std::future<RequestOutcome> Request(int entry, const RequestPlan& plan);

  /// `GET path` at an entry; null without a whole 200 response.
  nlohmann::json Get(int entry, const std::string& path);

  /// Submits a gang of whole workers; returns the job's id.
  std::string SubmitGang(int entry,
                         int members,
                         std::int64_t run_ms,
                         bool idempotent);

  /// State of a job at an entry; empty if it has no answer.
  std::string JobState(int entry, const std::string& job);

  /// Switches faults of a fake.
  void ControlLog(const nlohmann::json& body);
  void ControlEndpoint(int number, const nlohmann::json& body);

  /// `GET /stats` of a fake.
  nlohmann::json EndpointStats(int number);
  nlohmann::json WorkerStats(int number);

  /// How often a payload was started at all endpoints together.
  std::int64_t Runs(const std::string& payload);

  /// Starts of all payloads at one endpoint.
  std::int64_t RunsAt(int endpoint);

  /// The rule text that this deployment publishes first.
  static std::string Rules();

  /// Publishes a rule file through an entry.
  std::future<http::HttpReply> Publish(int entry,
                                       int base_version,
                                       const std::string& author,
                                       const std::string& text);

  int EndpointCount() const { return this->plan.endpoints; }

 private:
  /// Keys that a request has been sent with.
  std::set<std::string> sent_keys;
  struct Part {
    std::unique_ptr<Process> process;
    std::string settings_path;
    std::uint16_t port = 0;
    std::uint16_t rpc_port = 0;
  };

  bool Start();
  bool StartFakes();
  bool StartDaemon(Part& part);
  std::string EntrySettings(int number) const;
  std::string AgentSettings(const std::string& id,
                            const Part& part,
                            const nlohmann::json& fronted) const;
  bool BecomesReady();
  http::HttpReply Send(const std::string& method,
                       std::uint16_t port,
                       const std::string& path,
                       const std::string& body);

  DeploymentPlan plan;
  TemporaryDirectory directory;
  Part log;
  std::vector<Part> entries;
  std::vector<Part> endpoints;
  std::vector<Part> endpoint_agents;
  std::vector<Part> workers;
  std::vector<Part> worker_agents;
  Task task{"deployment"};
  http::HttpClient client{task};
};

/// Polls until `condition` holds; false after `limit_ms`.
bool WaitUntil(const std::function<bool()>& condition, std::int64_t limit_ms);

}  // namespace carobrill::process

#endif  // TESTS_PROCESS_DEPLOYMENT_H_
