#include "packages/daemon/agent_role.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "packages/core/log.h"
#include "packages/core/task.h"
#include "packages/daemon/agent_announcer.h"
#include "packages/daemon/agent_context.h"
#include "packages/daemon/agent_gangs.h"
#include "packages/daemon/agent_requests.h"
#include "packages/daemon/agent_status_page.h"
#include "packages/daemon/settings_limits.h"
#include "packages/http/http_server.h"
#include "packages/rpc/agent_server.h"

namespace carobrill::daemon {
namespace {

constexpr std::int64_t kTickIntervalMs = 50;

// Minimum time for which the gRPC server stays open during a shutdown. Entries
// learn from each other within two digests (600 ms) that an agent is leaving.
// If the server closed earlier, an entry could not tell whether a call on the
// closing connection had been delivered.
constexpr std::int64_t kLingerMs = 1'000;

// Time before the shutdown limit at which running work is stopped. It leaves
// time for checkpoints, the end of the tasks and the reports to entries. At
// most half of the limit is used for this.
constexpr std::int64_t kForcedStopMs = 15'000;

// Time before the shutdown limit that is left for sending the last replies.
constexpr std::int64_t kCloseTimeoutMs = 1'000;

std::string JoinAddress(const std::string& address, std::uint16_t port) {
  const bool is_v6 = address.find(':') != std::string::npos;
  return (is_v6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

/// The state charts of the role.
struct Charts {
  agent::GateChart gate;
  agent::MemberChart member;
};

Result<Charts> LoadCharts(const std::string& directory) {
  Charts charts;
  BOOST_LEAF_ASSIGN(charts.gate, agent::GateChart::Load(directory, "endpoint"));
  BOOST_LEAF_ASSIGN(charts.member,
                    agent::MemberChart::Load(directory, "member"));
  return charts;
}

/// The components of a started role. Used and destroyed on the task.
class Components {
 public:
  Components(const Settings& settings, Task& task, const Charts& charts)
      : charts(charts),
        context(settings, task, this->charts.gate),
        requests(this->context),
        gangs(this->context,
              this->charts.member,
              [this](const rpc::GangReport& report,
                     std::function<void()> on_recorded) {
                this->announcer.Report(report, std::move(on_recorded));
              }),
        announcer(this->context,
                  [this](rpc::AnnounceRequest& request, bool include_usage) {
                    this->FillAnnouncement(request, include_usage);
                  }),
        server(task,
               this->Handlers(),
               RpcPortLimits(Role::kAgent, settings.instance),
               nullptr),
        status_server(
            task,
            [this](const http::HttpRequest& request,
                   const http::HttpResponder& respond) {
              respond(HandleStatusRequest(request, this->Status()));
            },
            StatusPortLimits(settings.instance),
            nullptr) {}

  /// Sets the address at which entries and other agents call this agent.
  void SetPort(std::uint16_t port) {
    this->context.address =
        JoinAddress(this->context.settings.instance.rpc.address, port);
  }

  rpc::AgentServer& Server() { return this->server; }
  http::HttpServer& StatusServer() { return this->status_server; }

  void Tick() {
    const Instant now = BootClock{}.Now();
    if (this->HasEndpoint()) {
      this->requests.Tick(now);
    }
    this->gangs.Tick(now);
    const bool ready = (!this->HasEndpoint() || this->requests.Ready()) &&
                       (!this->HasWorker() || this->gangs.Ready());
    if (ready && this->context.gate.State() == agent::GateState::kJoining) {
      this->context.gate.SetReady();
    }
    this->TickShutdown(now);
    this->announcer.Tick(now);
  }

  void BeginShutdown(std::function<void()> on_drained) {
    if (this->on_drained) {
      return;
    }
    const Instant now = BootClock{}.Now();
    Log(LogLevel::kInfo, "shutdown started; refusing new work");
    this->on_drained = std::move(on_drained);
    this->linger_until = now.After(kLingerMs);
    const std::int64_t limit_ms =
        this->context.settings.instance.shutdown_limit_ms;
    this->forced_stop_at =
        now.After(limit_ms - std::min(kForcedStopMs, limit_ms / 2));
    this->close_at =
        now.After(limit_ms - std::min(kCloseTimeoutMs, limit_ms / 4));
    this->context.gate.SetLeaving(agent::LeaveCause::kShutdown, true);
    this->Tick();
  }

 private:
  bool HasEndpoint() const {
    return !this->context.settings.agent.endpoint.id.empty();
  }

  bool HasWorker() const {
    return !this->context.settings.agent.worker.id.empty();
  }

  rpc::AgentHandlers Handlers() {
    rpc::AgentHandlers handlers;
    handlers.execute = [this](const rpc::ExecuteRequest& request,
                              const rpc::Responder<rpc::ExecuteReply>& reply) {
      this->requests.Execute(request, reply);
    };
    handlers.fence_claim =
        [this](const rpc::FenceClaimRequest& request,
               const rpc::Responder<rpc::FenceClaimReply>& reply) {
          this->requests.FenceClaim(request, reply);
        };
    handlers.prepare_member =
        [this](const rpc::PrepareMemberRequest& request,
               const rpc::Responder<rpc::MemberReply>& reply) {
          this->gangs.Prepare(request, reply);
        };
    handlers.start_member = [this](
                                const rpc::StartMemberRequest& request,
                                const rpc::Responder<rpc::MemberReply>& reply) {
      this->gangs.Start(request, reply);
    };
    handlers.stop_member = [this](
                               const rpc::StopMemberRequest& request,
                               const rpc::Responder<rpc::MemberReply>& reply) {
      this->gangs.Stop(request, reply);
    };
    handlers.member_alive =
        [this](const rpc::MemberAliveRequest& request,
               const rpc::Responder<rpc::MemberAliveReply>& reply) {
          this->gangs.MemberAlive(request, reply);
        };
    handlers.drain = [this](const rpc::DrainRequest& request,
                            const rpc::Responder<rpc::DrainReply>& reply) {
      this->Drain(request, reply);
    };
    return handlers;
  }

  void Drain(const rpc::DrainRequest& request,
             const rpc::Responder<rpc::DrainReply>& respond) {
    rpc::DrainReply reply;
    *reply.mutable_peers() =
        agent::PeersOfReply(this->context.self, request.peers());
    if (agent::IsAddressedTo(this->context.self, request.peers())) {
      Log(LogLevel::kInfo, "agent is leaving: drained",
          {{"reason", request.reason()}});
      this->context.gate.SetLeaving(agent::LeaveCause::kDrain, true);
      this->announcer.Tick(BootClock{}.Now());
    }
    respond(std::move(reply));
  }

  void FillAnnouncement(rpc::AnnounceRequest& request, bool include_usage) {
    if (this->HasEndpoint()) {
      *request.mutable_service() = this->requests.Load();
    }
    const agent::GangTable& table = this->gangs.Table();
    const auto& size = table.Capacity().Size();
    if (this->HasWorker() && size.has_value()) {
      rpc::WorkerInventory& worker = *request.mutable_worker();
      worker.set_worker(this->context.settings.agent.worker.id);
      worker.set_rack(this->context.settings.agent.worker.rack);
      worker.set_cores_milli(size->cores_milli);
      worker.set_memory_mb(size->memory_mb);
      worker.set_accelerators(size->accelerators);
    }
    for (auto& report : table.Reports()) {
      *request.add_gangs() = std::move(report);
    }
    if (include_usage) {
      for (auto& usage : table.Usage(BootClock{}.Now())) {
        *request.add_usage() = std::move(usage);
      }
    }
  }

  AgentStatus Status() const {
    const agent::GangTable& table = this->gangs.Table();
    AgentStatus status;
    status.state = this->context.gate.State();
    status.holds_lease = this->context.lease.Holds(BootClock{}.Now());
    status.slots_used = this->context.gate.SlotsUsed();
    status.attempts_forwarded = this->requests.Forwarded();
    status.attempts_refused = this->requests.Refused();
    status.worker_usage = table.Capacity().Used();
    status.gangs_watched = table.Reports().size();
    return status;
  }

  // Running work continues until the shutdown limit is near. When all work has
  // ended, the state "gone" is announced, and then the server closes.
  void TickShutdown(Instant now) {
    if (!this->on_drained || this->closing) {
      return;
    }
    if (now >= this->forced_stop_at && !this->work_stopped) {
      Log(LogLevel::kWarning, "shutdown limit is near; stopping running work");
      this->work_stopped = true;
      this->gangs.StopAll(now);
    }
    const bool requests_done =
        this->requests.Running() == 0 || this->work_stopped;
    const bool done = requests_done && this->gangs.Table().Empty() &&
                      now >= this->linger_until;
    if (done) {
      this->context.gate.SetIdle();
    }
    const bool state_acknowledged = this->announcer.StateIsAcknowledged() ||
                                    now >= this->linger_until.After(kLingerMs);
    if ((done && state_acknowledged) || now >= this->close_at) {
      this->closing = true;
      this->server.Shutdown(now.After(kCloseTimeoutMs), [this] {
        Log(LogLevel::kInfo, "shutdown completed; agent is drained");
        this->on_drained();
      });
    }
  }

  Charts charts;
  AgentContext context;
  AgentRequests requests;
  AgentGangs gangs;
  AgentAnnouncer announcer;
  std::function<void()> on_drained;
  Instant linger_until;
  Instant forced_stop_at;
  Instant close_at;
  bool work_stopped = false;
  bool closing = false;
  rpc::AgentServer server;
  http::HttpServer status_server;
};

}  // namespace

class AgentRole::Impl {
 public:
  explicit Impl(const Settings& settings) : settings(settings) {}

  // Destroys the components on their task, so that no timer or message can run
  // while they are being destroyed.
  ~Impl() {
    this->task.Run([this] { this->components.reset(); });
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Result<void> Start() {
    BOOST_LEAF_AUTO(charts,
                    LoadCharts(this->settings.instance.charts_directory));
    this->components.emplace(this->settings, this->task, charts);
    const InstanceSettings& instance = this->settings.instance;
    BOOST_LEAF_ASSIGN(this->rpc_port,
                      this->components->Server().Listen(instance.rpc.address,
                                                        instance.rpc.port));
    BOOST_LEAF_ASSIGN(this->http_port,
                      this->components->StatusServer().Listen(
                          instance.http.address, instance.http.port));
    this->task.Run([this] {
      this->components->SetPort(this->rpc_port);
      this->components->Tick();
    });
    this->task.PostEvery(kTickIntervalMs, [this] {
      if (this->components.has_value()) {
        this->components->Tick();
      }
    });
    Log(LogLevel::kInfo, "agent started",
        {{"rpc_port", std::to_string(this->rpc_port)},
         {"http_port", std::to_string(this->http_port)}});
    return {};
  }

  void BeginShutdown(std::function<void()> on_drained) {
    this->task.Post([this, on_drained = std::move(on_drained)]() mutable {
      if (this->components.has_value()) {
        this->components->BeginShutdown(std::move(on_drained));
      }
    });
  }

  std::uint16_t RpcPort() const { return this->rpc_port; }
  std::uint16_t HttpPort() const { return this->http_port; }

 private:
  Settings settings;
  std::optional<Components> components;
  std::uint16_t rpc_port = 0;
  std::uint16_t http_port = 0;
  Task task{"agent"};
};

AgentRole::AgentRole(const Settings& settings)
    : impl(std::make_unique<Impl>(settings)) {}

AgentRole::~AgentRole() = default;

Result<void> AgentRole::Start() {
  return this->impl->Start();
}

void AgentRole::BeginShutdown(std::function<void()> on_drained) {
  this->impl->BeginShutdown(std::move(on_drained));
}

std::uint16_t AgentRole::RpcPort() const {
  return this->impl->RpcPort();
}

std::uint16_t AgentRole::HttpPort() const {
  return this->impl->HttpPort();
}

}  // namespace carobrill::daemon
