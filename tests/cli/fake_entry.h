#ifndef TESTS_CLI_FAKE_ENTRY_H_
#define TESTS_CLI_FAKE_ENTRY_H_

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "packages/http/http_server.h"

namespace carobrill::cli {

/// A fake entry whose responses are supplied by a handler. Requests for which
/// the handler returns no response stay open.
class FakeEntry {
 public:
  using Handler = std::function<std::optional<http::HttpResponse>(
      const http::HttpRequest&)>;

  explicit FakeEntry(Handler handler)
      : handler(std::move(handler)),
        server(task,
               [this](const auto& request, auto respond) {
                 const std::lock_guard lock(this->mutex);
                 this->requests.push_back(request);
                 if (auto response = this->handler(request)) {
                   respond(std::move(*response));
                 } else {
                   this->unanswered.push_back(std::move(respond));
                 }
               }),
        port(server.Listen("127.0.0.1", 0).value()) {}

  ~FakeEntry() {
    this->task.Run([this] { this->unanswered.clear(); });
  }

  /// Returns the same response to every request.
  static Handler Always(int status, const std::string& body) {
    return [=](const auto&) {
      return http::HttpResponse{status, body, "application/json", {}};
    };
  }

  /// Never responds.
  static Handler Never() {
    return [](const auto&) { return std::nullopt; };
  }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(this->port);
  }

  std::vector<http::HttpRequest> Requests() {
    const std::lock_guard lock(this->mutex);
    return this->requests;
  }

 private:
  Handler handler;
  std::mutex mutex;
  std::vector<http::HttpRequest> requests;
  std::vector<http::HttpResponder> unanswered;
  Task task{"entry"};
  http::HttpServer server;
  std::uint16_t port;
};

}  // namespace carobrill::cli

#endif  // TESTS_CLI_FAKE_ENTRY_H_
