#ifndef PACKAGES_HTTP_HTTP_SERVER_H_
#define PACKAGES_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "packages/core/metrics.h"
#include "packages/core/result.h"
#include "packages/core/task.h"
#include "packages/http/client_limits.h"
#include "packages/http/http_types.h"

typedef struct _GSocket GSocket;
typedef struct _GSource GSource;
typedef struct _SoupServer SoupServer;

namespace carobrill {
class Acceptor;
}  // namespace carobrill

namespace carobrill::http {

class ClientConnections;

/// Failure to listen on an address, with the reason given by the system.
struct HttpListenError {
  std::string address;
  std::uint16_t port = 0;
  std::string reason;
};

namespace detail {

/// Phase of a server: while kClosing, each response closes its connection; once
/// kClosed, no response is written.
enum class ServerPhase { kOpen, kClosing, kClosed };

/// State of a server and its unfinished requests. Accessed only on the server's
/// task.
struct RequestTracker {
  std::size_t open_requests = 0;
  ServerPhase phase = ServerPhase::kOpen;
  std::function<void()> when_idle;
};

}  // namespace detail

/// An HTTP server whose I/O runs on one task.
class HttpServer {
 public:
  /// `handler` runs on `task` for every request; `task` must outlive the
  /// server. A request whose body exceeds `max_body_bytes` reaches the handler
  /// without its body and with `body_too_large` set.
  HttpServer(Task& task,
             HttpHandler handler,
             std::size_t max_body_bytes = kDefaultMaxBodyBytes);

  /// As above, with limits for the clients. Refusals are counted in `metrics`,
  /// which may be null; otherwise it must outlive the server.
  HttpServer(Task& task,
             HttpHandler handler,
             const ClientLimits& limits,
             MetricsRegistry* metrics);

  /// Closes all connections.
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens on an IP address; port 0 selects a free port. Returns the port.
  /// Fails with HttpListenError.
  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

  /// Closes the listening sockets. Requests in progress continue, and each
  /// response closes its connection, so that clients move to other servers.
  void StopListening();

  /// Changes the limit for the bodies of further requests.
  void SetMaxBodyBytes(std::size_t max_body_bytes);

  /// Runs `callback` once on the task when no request is open, that is, each
  /// has its response written completely or its connection closed.
  void NotifyWhenIdle(std::function<void()> callback);

 private:
  void Accept(GSocket* socket);
  void StartSweep();
  void RunOnTask(const Task::Message& function);

  Task& task;
  HttpHandler handler;
  std::shared_ptr<ClientConnections> connections;
  std::shared_ptr<detail::RequestTracker> tracker;
  std::unique_ptr<Acceptor> acceptor;
  GSource* sweep = nullptr;
  SoupServer* server = nullptr;
  /// Keeps the listener of `server` open, see AddInertListener.
  GSocket* inert_peer = nullptr;
};

}  // namespace carobrill::http

#endif  // PACKAGES_HTTP_HTTP_SERVER_H_
