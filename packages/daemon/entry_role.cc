#include "packages/daemon/entry_role.h"

#include <optional>
#include <string>
#include <utility>

#include "packages/core/log.h"
#include "packages/core/metrics.h"
#include "packages/core/task.h"
#include "packages/daemon/entry_backend.h"
#include "packages/daemon/entry_core.h"
#include "packages/daemon/http_api.h"
#include "packages/daemon/settings_limits.h"
#include "packages/http/http_server.h"

namespace carobrill::daemon {
namespace {

constexpr std::int64_t kIdlePollMs = 20;
// A peer takes over planning at the first digest that says "draining". The
// delay lets the digest reach the peers before the port closes.
constexpr std::int64_t kHandoverMs = 200;

ApiLimits LimitsOf(const RequestSettings& settings) {
  ApiLimits limits;
  limits.max_body_bytes = settings.max_body_bytes;
  limits.default_deadline_ms = settings.default_deadline_ms;
  return limits;
}

/// The API serves bodies as large as its own setting allows.
http::ClientLimits HttpLimitsOf(const Settings& settings) {
  http::ClientLimits limits = MainPortLimits(settings.instance);
  limits.max_body_bytes = settings.entry.requests.max_body_bytes;
  return limits;
}

}  // namespace

class EntryRole::Impl {
 public:
  explicit Impl(const Settings& settings)
      : settings(settings), core_task("entry"), http_task("http") {}

  ~Impl() {
    this->api_server.reset();
    if (this->rpc_server != nullptr) {
      this->rpc_server.reset();
    }
    this->core_task.Run([this] { this->core.reset(); });
  }

  Result<void> Start() {
    BOOST_LEAF_AUTO(
        initial_state,
        ReplicatedState::Create(this->settings.instance.charts_directory));
    BOOST_LEAF_AUTO(recovery, ledger::Recovery::Load(
                                  this->settings.instance.charts_directory));
    BOOST_LEAF_CHECK(this->ListenRpc());
    this->MakeCore(std::move(initial_state), recovery);
    BOOST_LEAF_CHECK(this->ListenHttp());
    this->core_task.Run([this] { this->core->Start(); });
    return {};
  }

  // Stops the API first, because the requests in progress still need the other
  // services.
  void BeginShutdown(std::function<void()> on_drained) {
    this->on_drained = std::move(on_drained);
    this->core_task.Post([this] { this->core->BeginDrain(); });
    this->api->BeginDrain([this] {
      this->api_server->NotifyWhenIdle([this] {
        this->core_task.PostAt(BootClock{}.Now().After(kHandoverMs),
                               [this] { this->FinishWhenIdle(); });
      });
    });
  }

  std::uint16_t RpcPort() const { return this->rpc_port; }
  std::uint16_t HttpPort() const { return this->http_port; }

 private:
  Result<void> ListenRpc() {
    rpc::EntryHandlers handlers;
    handlers.announce = [this](auto request, auto respond) {
      if (this->handlers.announce) {
        this->handlers.announce(std::move(request), std::move(respond));
      }
    };
    handlers.report_gang = [this](auto request, auto respond) {
      if (this->handlers.report_gang) {
        this->handlers.report_gang(std::move(request), std::move(respond));
      }
    };
    handlers.exchange_digest = [this](auto request, auto respond) {
      if (this->handlers.exchange_digest) {
        this->handlers.exchange_digest(std::move(request), std::move(respond));
      }
    };
    handlers.fetch_state = [this](auto request, auto stream) {
      if (this->handlers.fetch_state) {
        this->handlers.fetch_state(std::move(request), std::move(stream));
      }
    };
    this->rpc_server = std::make_unique<rpc::EntryServer>(
        this->core_task, handlers,
        RpcPortLimits(Role::kEntry, this->settings.instance), &this->metrics);
    const ListenAddress& listen = this->settings.instance.rpc;
    BOOST_LEAF_ASSIGN(this->rpc_port,
                      this->rpc_server->Listen(listen.address, listen.port));
    return {};
  }

  // The core needs the bound port, so it is created after the server. A call
  // that arrives before the core exists is not answered and fails as
  // UNAVAILABLE.
  void MakeCore(ReplicatedState initial_state, ledger::Recovery recovery) {
    EntryIdentity identity;
    identity.settings = this->settings;
    identity.incarnation = WallClockMicros();
    identity.address = this->settings.instance.rpc.address + ":" +
                       std::to_string(this->rpc_port);
    this->id_prefix =
        this->settings.instance.id + "-" + std::to_string(identity.incarnation);
    this->core_task.Run([&] {
      this->core =
          std::make_unique<EntryCore>(identity, std::move(initial_state),
                                      recovery, this->core_task, this->metrics);
      this->handlers = this->core->Handlers();
    });
  }

  Result<void> ListenHttp() {
    this->backend =
        std::make_unique<EntryBackend>(*this->core, this->core_task);
    this->api = std::make_unique<HttpApi<EntryBackend>>(
        *this->backend, this->metrics, LimitsOf(this->settings.entry.requests),
        this->id_prefix);
    this->api_server = std::make_unique<http::HttpServer>(
        this->http_task,
        [this](const auto& request, auto respond) {
          this->api->Handle(request, std::move(respond));
        },
        HttpLimitsOf(this->settings), &this->metrics);
    const ListenAddress& listen = this->settings.instance.http;
    BOOST_LEAF_ASSIGN(this->http_port,
                      this->api_server->Listen(listen.address, listen.port));
    return {};
  }

  // Claims may still have to be settled after their callers have disconnected.
  void FinishWhenIdle() {
    if (!this->core->Idle()) {
      this->core_task.PostAt(BootClock{}.Now().After(kIdlePollMs),
                             [this] { this->FinishWhenIdle(); });
      return;
    }
    this->rpc_server->Shutdown(BootClock{}.Now().After(kHandoverMs),
                               [this] { this->on_drained(); });
  }

  Settings settings;
  MetricsRegistry metrics;
  Task core_task;
  Task http_task;
  std::string id_prefix;
  std::uint16_t rpc_port = 0;
  std::uint16_t http_port = 0;
  rpc::EntryHandlers handlers;
  std::unique_ptr<EntryCore> core;
  std::unique_ptr<rpc::EntryServer> rpc_server;
  std::unique_ptr<EntryBackend> backend;
  std::unique_ptr<HttpApi<EntryBackend>> api;
  std::unique_ptr<http::HttpServer> api_server;
  std::function<void()> on_drained;
};

EntryRole::EntryRole(const Settings& settings)
    : impl(std::make_unique<Impl>(settings)) {}

EntryRole::~EntryRole() = default;

Result<void> EntryRole::Start() {
  return this->impl->Start();
}

void EntryRole::BeginShutdown(std::function<void()> on_drained) {
  this->impl->BeginShutdown(std::move(on_drained));
}

std::uint16_t EntryRole::RpcPort() const {
  return this->impl->RpcPort();
}

std::uint16_t EntryRole::HttpPort() const {
  return this->impl->HttpPort();
}

}  // namespace carobrill::daemon
