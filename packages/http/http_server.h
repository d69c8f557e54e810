#ifndef PACKAGES_HTTP_HTTP_SERVER_H_
#define PACKAGES_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "packages/core/result.h"
#include "packages/core/task.h"
#include "packages/http/http_types.h"

typedef struct _SoupServer SoupServer;

namespace carobrill::http {

/// An address on which a server could not listen, with the system's reason.
struct ListenError {
  std::string address;
  std::uint16_t port = 0;
  std::string reason;
};

namespace detail {

/// Requests of a server that are not finished. Used on the server's task only.
struct RequestTracker {
  std::size_t open_requests = 0;
  std::function<void()> when_idle;
};

}  // namespace detail

/// Largest request body that a server keeps by default.
inline constexpr std::size_t kDefaultMaxBodyBytes = std::size_t{8} << 20;

/// An HTTP server whose sockets belong to one task.
class HttpServer {
 public:
  /// `handler` runs on `task` for every request; `task` must outlive the
  /// server. A request with a longer body than `max_body_bytes` reaches the
  /// handler without its body.
  HttpServer(Task& task,
             HttpHandler handler,
             std::size_t max_body_bytes = kDefaultMaxBodyBytes);

  /// Closes all connections.
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens on an IP address; port 0 picks a free port. Returns the port.
  /// Fails with ListenError.
  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

  /// Closes the listening sockets; requests in progress go on.
  void StopListening();

  /// Runs `callback` once on the task as soon as every request has its whole
  /// response written or its connection closed.
  void WhenIdle(std::function<void()> callback);

 private:
  void RunOnTask(const Task::Message& function);

  Task& task;
  HttpHandler handler;
  std::size_t max_body_bytes;
  std::shared_ptr<detail::RequestTracker> tracker;
  SoupServer* server = nullptr;
};

}  // namespace carobrill::http

#endif  // PACKAGES_HTTP_HTTP_SERVER_H_
