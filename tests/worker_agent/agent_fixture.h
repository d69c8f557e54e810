#ifndef TESTS_WORKER_AGENT_AGENT_FIXTURE_H_
#define TESTS_WORKER_AGENT_AGENT_FIXTURE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "packages/worker_agent/worker_agent.h"

namespace carobrill::worker_agent {

/// A worker that accepts every start and does not answer its lists again after
/// it has ended.
struct FakePort {
  void Start(const StartOrder&,
             Instant,
             const std::function<void(StartReply)>& done) {
    ++this->starts;
    done({OrderResult::kDone, 1});
  }
  void Stop(const StopOrder&,
            Instant,
            const std::function<void(OrderResult)>& done) const {
    done(OrderResult::kDone);
  }
  void Throttle(const PaceOrder&,
                Instant,
                const std::function<void(OrderResult)>& done) const {
    done(OrderResult::kDone);
  }
  void RenewLeases(const LeaseRequest&,
                   Instant,
                   const std::function<void(LeaseReply)>& done) {
    if (!this->listed) {
      this->listed = true;
      LeaseReply reply;
      reply.worker_clock_ms = 1;
      done(reply);
    }
  }

  /// The lists of the present incarnation have been returned.
  bool listed = false;
  int starts = 0;
};

/// A worker that lists the runs that it was told to start until the test ends
/// them.
struct SimulatedWorker {
  void Start(const StartOrder& order,
             Instant,
             const std::function<void(StartReply)>& done) {
    if (this->start_result == OrderResult::kDone) {
      this->running.push_back({order.task, order.run, 10, {}, 0});
    }
    done({this->start_result, 1});
  }
  void Stop(const StopOrder&,
            Instant,
            const std::function<void(OrderResult)>& done) {
    ++this->stops;
    done(OrderResult::kDone);
  }
  void Throttle(const PaceOrder&,
                Instant,
                const std::function<void(OrderResult)>& done) const {
    done(OrderResult::kDone);
  }
  void RenewLeases(const LeaseRequest& request,
                   Instant,
                   const std::function<void(LeaseReply)>& done) {
    ++this->calls;
    this->fence = request.fence;
    // Short waits of the agent, so that its calls do not follow without pause.
    g_usleep(1'000);
    LeaseReply reply;
    if (this->silent || this->unstable) {
      reply.result = this->unstable && this->calls % 2 == 0
                         ? OrderResult::kUnreachable
                         : OrderResult::kNoAnswer;
      done(reply);
      return;
    }
    if (this->refusing || request.worker != WorkerId("w")) {
      reply.result = this->refusing ? OrderResult::kUnreachable
                                    : OrderResult::kOtherIncarnation;
      done(reply);
      return;
    }
    reply.worker_clock_ms = 1;
    reply.born_ms = this->born_ms;
    reply.running = this->running;
    reply.ended = this->ended;
    done(reply);
  }

  void EndRuns(workload::RunEnd end) {
    for (const ListedRun& run : this->running) {
      this->ended.push_back(
          {this->ended.size() + 1, run.task, run.run, end, {}});
    }
    this->running.clear();
  }

  std::atomic<std::int64_t> born_ms = 0;
  /// Number of requests for the lists.
  std::atomic<int> calls = 0;
  /// Fence of the last such request.
  std::atomic<std::uint64_t> fence = 0;
  std::atomic<bool> refusing = false;
  std::atomic<bool> silent = false;
  /// Every other request is refused, and the rest are not answered.
  std::atomic<bool> unstable = false;
  std::atomic<OrderResult> start_result = OrderResult::kDone;
  std::vector<ListedRun> running;
  std::vector<ListedRunEnd> ended;
  int stops = 0;
};

inline constexpr std::int64_t kLeaseMs = 60'000;
inline constexpr const char* kJobId = "0123456789abcdef";

template <typename Port = FakePort>
class AgentFixture {
 public:
  /// The agent's process starts at `started_ms`.
  explicit AgentFixture(WorkerAgentSettings settings = {},
                        std::uint64_t started_ms = 1)
      : settings(settings), task("test") {
    this->task.Run([&, this] {
      this->agent = std::make_unique<WorkerAgent<Port>>(
          this->task, this->port, started_ms * 1'000, this->settings,
          this->metrics);
    });
  }
  ~AgentFixture() {
    this->task.Run([this] { this->agent.reset(); });
  }

  void Heartbeat(std::int64_t born_ms,
                 workload::WorkerAvailability availability,
                 std::int64_t cpu_millis = 32'000,
                 const std::string& id = "w") {
    this->task.Run([&] {
      WorkerHeartbeat heartbeat;
      heartbeat.description.incarnation = {InstanceId("a"), WorkerId(id),
                                           born_ms};
      heartbeat.description.availability = availability;
      heartbeat.description.capacity = {cpu_millis, 128'000, 8};
      heartbeat.sequence = ++this->sequence;
      this->agent->OnHeartbeat(heartbeat,
                               [this](bool done) { this->followed = done; });
      this->agent->Start();
    });
    // The agent reads the lists on its task.
    g_usleep(20'000);
  }

  /// Starts a new process of the worker, which runs nothing.
  void Restart(std::int64_t born_ms) {
    this->task.Run([&] {
      this->port.running.clear();
      this->port.ended.clear();
      this->port.born_ms = born_ms;
    });
  }

  /// Orders one run on the incarnation, and returns the agent's report.
  rpc::ExchangeReply Order(std::int64_t born_ms, std::int64_t cpu_millis = 0) {
    rpc::ExchangeRequest request;
    request.mutable_worker()->set_id("w");
    request.mutable_worker()->set_born_unix_ms(born_ms);
    request.set_authority_until_agent_ms(BootClock{}.Now().ms + kLeaseMs);
    auto* order = request.add_orders();
    order->mutable_task()->set_job(kJobId);
    order->set_run(1);
    order->set_cpu_millis(cpu_millis);
    return this->Exchange(request);
  }

  rpc::ExchangeReply Exchange(rpc::ExchangeRequest request = {}) {
    request.set_epoch(1);
    request.set_sequence(++this->exchanges);
    request.set_agent_incarnation(this->addressed_incarnation);
    rpc::ExchangeReply result;
    this->task.Run([&] {
      this->agent->OnExchange(request,
                              rpc::Responder<rpc::ExchangeReply>(
                                  [&](std::optional<rpc::ExchangeReply> reply) {
                                    result = reply.value();
                                  }));
    });
    return result;
  }

  WorkerAgentSettings settings;
  Task task;
  Port port;
  MetricsRegistry metrics;
  std::unique_ptr<WorkerAgent<Port>> agent;
  std::uint64_t sequence = 0;
  std::uint64_t exchanges = 0;
  /// Process of the agent that the exchanges are for; 0 for any.
  std::uint64_t addressed_incarnation = 0;
  /// The answer to the last heartbeat.
  bool followed = false;
};

}  // namespace carobrill::worker_agent

#endif  // TESTS_WORKER_AGENT_AGENT_FIXTURE_H_
