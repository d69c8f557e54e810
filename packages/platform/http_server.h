#ifndef PACKAGES_PLATFORM_HTTP_SERVER_H_
#define PACKAGES_PLATFORM_HTTP_SERVER_H_

#include <cstdint>
#include <string>

#include "packages/core/result.h"
#include "packages/core/task.h"
#include "packages/platform/http_types.h"

typedef struct _SoupServer SoupServer;

namespace carobrill::platform {

/// An address on which a server could not listen, with the system's reason.
struct ListenError {
  std::string address;
  std::uint16_t port = 0;
  std::string reason;
};

/// An HTTP server whose sockets belong to one task.
class HttpServer {
 public:
  /// `handler` runs on `task` for every request; `task` must outlive the
  /// server.
  HttpServer(Task& task, HttpHandler handler);

  /// Closes all connections.
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens on an IP address; port 0 picks a free port. Returns the port.
  /// Fails with ListenError.
  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

  /// Closes the listening sockets; requests in progress go on.
  void StopListening();

 private:
  void RunOnTask(const Task::Message& function);

  Task& task;
  HttpHandler handler;
  SoupServer* server = nullptr;
};

}  // namespace carobrill::platform

#endif  // PACKAGES_PLATFORM_HTTP_SERVER_H_
