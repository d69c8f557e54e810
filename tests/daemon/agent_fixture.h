#ifndef TESTS_DAEMON_AGENT_FIXTURE_H_
#define TESTS_DAEMON_AGENT_FIXTURE_H_

#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "packages/daemon/agent_role.h"
#include "packages/http/http_client.h"
#include "packages/http/http_server.h"
#include "packages/rpc/agent_client.h"
#include "packages/rpc/entry_server.h"
#include "packages/testing/fake_endpoint.h"
#include "packages/testing/fake_worker.h"

namespace carobrill::daemon {

inline constexpr std::int64_t kWaitTimeoutMs = 15'000;

/// Waits until `condition` is true. Returns false on timeout.
inline bool WaitUntil(const std::function<bool()>& condition,
                      std::int64_t timeout_ms = kWaitTimeoutMs) {
  const Instant deadline = BootClock{}.Now().After(timeout_ms);
  while (!condition()) {
    if (BootClock{}.Now() >= deadline) {
      return false;
    }
    g_usleep(10'000);
  }
  return true;
}

/// Fake entry that grants leases and stores announcements and gang reports.
class TestEntry {
 public:
  explicit TestEntry(const std::string& name)
      : name(name), server(this->task, this->Handlers()) {
    const auto port = this->server.Listen("127.0.0.1", 0);
    REQUIRE(port.has_value());
    this->address = "127.0.0.1:" + std::to_string(*port);
  }

  rpc::AnnounceRequest Announced(const std::string& agent) {
    const std::lock_guard lock(this->mutex);
    return this->announced[agent];
  }

  /// The last report on `job`.
  rpc::GangReport Reported(const std::string& job) {
    const std::lock_guard lock(this->mutex);
    return this->reported[job];
  }

  /// Sender and receiver of a message to `agent`, with the incarnation that it
  /// announced last.
  rpc::Peers PeersTo(const std::string& agent) {
    rpc::Peers peers;
    peers.set_sender(this->name);
    peers.set_sender_incarnation(1);
    peers.set_receiver(agent);
    peers.set_receiver_incarnation(
        this->Announced(agent).peers().sender_incarnation());
    return peers;
  }

  std::atomic<unsigned> lease_ms = 2'000;
  std::atomic<bool> must_leave = false;
  std::string address;

 private:
  template <typename Reply, typename Request>
  Reply ReplyTo(const Request& request) const {
    Reply reply;
    reply.mutable_peers()->set_sender(this->name);
    reply.mutable_peers()->set_sender_incarnation(1);
    reply.mutable_peers()->set_receiver(request.peers().sender());
    reply.mutable_peers()->set_receiver_incarnation(
        request.peers().sender_incarnation());
    return reply;
  }

  rpc::EntryHandlers Handlers() {
    rpc::EntryHandlers handlers;
    handlers.announce = [this](const rpc::AnnounceRequest& request,
                               const rpc::Responder<rpc::AnnounceReply>& to) {
      {
        const std::lock_guard lock(this->mutex);
        this->announced[request.peers().sender()] = request;
      }
      auto reply = this->ReplyTo<rpc::AnnounceReply>(request);
      reply.set_lease_ms(this->lease_ms);
      reply.set_must_leave(this->must_leave);
      to(reply);
    };
    handlers.report_gang = [this](
                               const rpc::ReportGangRequest& request,
                               const rpc::Responder<rpc::ReportGangReply>& to) {
      {
        const std::lock_guard lock(this->mutex);
        this->reported[request.report().job()] = request.report();
      }
      auto reply = this->ReplyTo<rpc::ReportGangReply>(request);
      reply.set_recorded(true);
      to(reply);
    };
    return handlers;
  }

  std::string name;
  std::mutex mutex;
  std::map<std::string, rpc::AnnounceRequest> announced;
  std::map<std::string, rpc::GangReport> reported;
  Task task{"entry"};
  rpc::EntryServer server;
};

/// Serves a fake over HTTP and gives access to its controls and statistics.
template <typename Fake>
class FakeServer {
 public:
  template <typename... Arguments>
  explicit FakeServer(Arguments&&... arguments)
      : fake(std::forward<Arguments>(arguments)...),
        server(this->task,
               [this](const http::HttpRequest& request,
                      const http::HttpResponder& respond) {
                 this->fake.Handle(request, respond);
               }),
        client(this->task) {
    const auto port = this->server.Listen("127.0.0.1", 0);
    REQUIRE(port.has_value());
    this->url = "http://127.0.0.1:" + std::to_string(*port);
  }

  void Control(const nlohmann::json& change) {
    http::HttpClientRequest call;
    call.method = "POST";
    call.url = this->url + "/control";
    call.body = change.dump();
    REQUIRE(this->client.SendAndWait(call).Ok());
  }

  nlohmann::json Stats() {
    http::HttpClientRequest call;
    call.url = this->url + "/stats";
    return nlohmann::json::parse(this->client.SendAndWait(call).body);
  }

  std::string url;

 private:
  Task task{"fake"};
  Fake fake;
  http::HttpServer server;
  http::HttpClient client;
};

/// Calls agents as an entry does.
class AgentCaller {
 public:
  template <typename Reply, typename Request>
  rpc::RpcResult<Reply> Call(
      void (rpc::AgentClient::*method)(const std::string&,
                                       const Request&,
                                       Instant,
                                       rpc::RpcCallback<Reply>),
      const std::string& address,
      const Request& request) {
    return this->Send(method, address, request).get();
  }

  template <typename Reply, typename Request>
  std::future<rpc::RpcResult<Reply>> Send(
      void (rpc::AgentClient::*method)(const std::string&,
                                       const Request&,
                                       Instant,
                                       rpc::RpcCallback<Reply>),
      const std::string& address,
      const Request& request) {
    auto promise = std::make_shared<std::promise<rpc::RpcResult<Reply>>>();
    (this->client.*method)(address, request,
                           BootClock{}.Now().After(kWaitTimeoutMs),
                           [promise](rpc::RpcResult<Reply> reply) {
                             promise->set_value(std::move(reply));
                           });
    return promise->get_future();
  }

 private:
  Task task{"caller"};
  rpc::ChannelPool channels;
  rpc::AgentClient client{this->task, this->channels};
};

inline Settings AgentSettingsOf(const std::string& id,
                                const std::vector<std::string>& entries) {
  Settings settings;
  settings.role = Role::kAgent;
  settings.instance.id = id;
  settings.instance.charts_directory =
      std::string(CAROBRILL_SOURCE_DIRECTORY) + "/charts";
  settings.agent.entries = entries;
  return settings;
}

inline std::string AddressOf(const AgentRole& role) {
  return "127.0.0.1:" + std::to_string(role.RpcPort());
}

}  // namespace carobrill::daemon

#endif  // TESTS_DAEMON_AGENT_FIXTURE_H_
