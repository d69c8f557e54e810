#include "packages/http/http_client.h"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <vector>

#include "packages/http/http_server.h"

namespace carobrill::http {
namespace {

// A callback must not run after its client, and maybe the owner it refers to,
// is destroyed.
TEST_CASE("a destroyed client runs no callback of a call in flight") {
  Task server_task("server");
  Task client_task("client");
  std::vector<HttpResponder> held;
  std::atomic<int> received = 0;
  HttpServer server(server_task,
                    [&](const HttpRequest&, HttpResponder respond) {
                      held.push_back(std::move(respond));
                      ++received;
                    });
  const auto port = server.Listen("127.0.0.1", 0);
  REQUIRE(port.has_value());
  auto client = std::make_unique<HttpClient>(client_task);
  std::atomic<int> called = 0;
  HttpClientRequest call;
  call.url = "http://127.0.0.1:" + std::to_string(*port) + "/";
  client->Send(call, [&](const HttpClientResult&) { ++called; });
  while (received == 0) {
    g_usleep(1000);
  }
  client.reset();
  g_usleep(100'000);
  client_task.Run([] {});
  CHECK(called == 0);
  server_task.Run([&] { held.clear(); });
}

}  // namespace
}  // namespace carobrill::http
