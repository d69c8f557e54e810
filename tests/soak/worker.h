#ifndef TESTS_SOAK_WORKER_H_
#define TESTS_SOAK_WORKER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "review/standin/runner.h"
#include "tests/soak/proxy.h"

namespace carobrill::soak {

/// A runner with proxies to and from its agent. Heartbeats pass through here,
/// so that the runner can report that it is draining or leaves.
class Worker {
 public:
  Worker(standin::RunnerSettings settings,
         Endpoint agent_heartbeat,
         const std::string& proxy_ip,
         std::uint64_t seed,
         standin::Record& record,
         standin::RunLog& runs,
         standin::Runner::WorkOf work_of);

  /// Address of the runner for its agent.
  const Endpoint& Address() const { return this->orders->Listen(); }
  const std::string& Id() const { return this->runner->Id(); }

  void StartHeartbeats() { this->runner->StartHeartbeats(); }
  void Crash(bool refuse);
  void Restart();
  void Drain();
  /// Reports that the worker leaves, and ends it.
  void Leave();
  void SetMute(bool mute) { this->runner->mute = mute; }

  Proxy& Orders() { return *this->orders; }

  /// Returns when the lease of a run that began at `began_ms` first lapsed, by
  /// the orders that were forwarded to the runner.
  std::optional<std::int64_t> LapseAfter(std::int64_t began_ms);

 private:
  struct LeaseExtension {
    std::int64_t at_ms = 0;
    /// 0 for a new incarnation.
    std::int64_t until_ms = 0;
  };

  standin::Response PassHeartbeat(const standin::Request& request);
  void ObserveOrders(std::string_view bytes);
  void BeginIncarnation();

  const std::int64_t hold_max_ms;
  standin::Record& record;
  std::atomic<bool> draining = false;
  std::mutex mutex;
  std::int64_t clock_base_ms = 0;
  std::string unparsed;
  std::vector<LeaseExtension> extensions;
  std::optional<std::uint64_t> refusal;
  std::unique_ptr<Proxy> heartbeats;
  standin::Server heartbeat_server;
  std::unique_ptr<standin::Runner> runner;
  std::unique_ptr<Proxy> orders;
};

}  // namespace carobrill::soak

#endif  // TESTS_SOAK_WORKER_H_
