#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <poll.h>
#include <rapidcheck.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <stdexcept>
#include <string>
#include <vector>

#include "packages/http/http_client.h"
#include "packages/http/http_server.h"

namespace carobrill::http {
namespace {

std::string UrlOf(std::uint16_t port, const std::string& path) {
  return "http://127.0.0.1:" + std::to_string(port) + path;
}

TEST_CASE("a server can respond later and from another thread") {
  Task server_task("server");
  Task client_task("client");
  Task worker_task("worker");
  HttpServer server(
      server_task, [&](const HttpRequest& request, HttpResponder respond) {
        worker_task.PostAt(BootClock{}.Now().After(20), [=] {
          respond(HttpResponse{201,
                               request.method + request.path +
                                   request.query.at("a") +
                                   request.headers.at("x-name") + request.body,
                               "text/plain",
                               {}});
        });
      });
  const auto port = server.Listen("127.0.0.1", 0);
  REQUIRE(port.has_value());
  HttpClient client(client_task);
  HttpClientRequest call;
  call.method = "POST";
  call.url = UrlOf(*port, "/path?a=b");
  call.headers["X-Name"] = "n";
  call.body = "body";
  const HttpClientResult reply = client.SendAndWait(call);
  CHECK(reply.failure == HttpFailure::kNone);
  CHECK(reply.status == 201);
  CHECK(reply.body == "POST/pathbnbody");
}

TEST_CASE("a handler that fails ends its request, not the server") {
  // Guards against one unexpected error that ends a whole process.
  Task server_task("server");
  Task client_task("client");
  HttpServer server(server_task,
                    [&](const HttpRequest& request, HttpResponder respond) {
                      if (request.path == "/late") {
                        respond(HttpResponse{200, "ok", "text/plain", {}});
                      }
                      if (request.path != "/good") {
                        throw std::runtime_error("unexpected");
                      }
                      respond(HttpResponse{200, "ok", "text/plain", {}});
                    });
  const auto port = server.Listen("127.0.0.1", 0);
  REQUIRE(port.has_value());
  HttpClient client(client_task);
  const auto status_of = [&](const char* path) {
    HttpClientRequest call;
    call.method = "GET";
    call.url = UrlOf(*port, path);
    return client.SendAndWait(call).status;
  };
  CHECK(status_of("/bad") == 500);
  CHECK(status_of("/late") == 200);
  CHECK(status_of("/good") == 200);
}

TEST_CASE("a call without a response ends at its deadline") {
  Task server_task("server");
  Task client_task("client");
  std::vector<HttpResponder> held;
  HttpServer server(server_task,
                    [&](const HttpRequest&, HttpResponder respond) {
                      held.push_back(std::move(respond));
                    });
  const auto port = server.Listen("127.0.0.1", 0);
  REQUIRE(port.has_value());
  HttpClient client(client_task);
  HttpClientRequest call;
  call.url = UrlOf(*port, "/");
  call.deadline = BootClock{}.Now().After(50);
  const HttpClientResult late = client.SendAndWait(call);
  CHECK(late.failure == HttpFailure::kTimeout);
  CHECK(late.maybe_sent);
  // The client has disconnected; a late response must not crash the server.
  server_task.Run([&] {
    held.front()({});
    held.clear();
  });
  server_task.Run([] {});
}

TEST_CASE("an unreachable server and an invalid address are typed failures") {
  Task task("client");
  HttpClient client(task);
  HttpClientRequest call;
  call.url = UrlOf(1, "/");
  // A client retries a call only if it was certainly not sent.
  const HttpClientResult unreachable = client.SendAndWait(call);
  CHECK(unreachable.failure == HttpFailure::kUnreachable);
  CHECK_FALSE(unreachable.maybe_sent);
  call.url = "not a url";
  const HttpClientResult invalid = client.SendAndWait(call);
  CHECK(invalid.failure == HttpFailure::kInvalidUrl);
  CHECK_FALSE(invalid.maybe_sent);
  HttpServer server(task, [](const HttpRequest&, HttpResponder) {});
  const auto error = ErrorFrom<HttpListenError>(
      [&] { return server.Listen("no address", 0); });
  REQUIRE(error.has_value());
  CHECK(error->reason == "not an IP address");
}

TEST_CASE("a body above the limit is discarded") {
  // A client must not be able to exhaust the memory of the server.
  Task server_task("server");
  Task client_task("client");
  HttpServer server(
      server_task,
      [](const HttpRequest& request, HttpResponder respond) {
        HttpResponse response;
        response.body = request.body_too_large ? "too large" : request.body;
        respond(response);
      },
      1000);
  const auto port = server.Listen("127.0.0.1", 0);
  REQUIRE(port.has_value());
  HttpClient client(client_task);
  HttpClientRequest call;
  call.method = "POST";
  call.url = UrlOf(*port, "/");
  call.body = std::string(1000, 'a');
  CHECK(client.SendAndWait(call).body == call.body);
  call.body = std::string(1'000'000, 'a');
  CHECK(client.SendAndWait(call).body == "too large");
  call.body = "b";
  CHECK(client.SendAndWait(call).body == "b");
}

/// Sends raw bytes on a new connection. Returns the bytes received until the
/// connection closes or `limit_ms` passes without data.
std::string SendRaw(std::uint16_t port,
                    const std::string& bytes,
                    int limit_ms) {
  const int connection = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  REQUIRE(connect(connection, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0);
  send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  std::string received;
  char buffer[4096];
  pollfd polled = {connection, POLLIN, 0};
  while (poll(&polled, 1, limit_ms) > 0) {
    const auto size = recv(connection, buffer, sizeof(buffer), 0);
    if (size <= 0) {
      break;
    }
    received.append(buffer, static_cast<std::size_t>(size));
  }
  close(connection);
  return received;
}

TEST_CASE("a repeated header keeps all its values") {
  // A second Idempotency-Key must not bypass validation.
  Task task("server");
  HttpServer server(task, [](const HttpRequest& request, auto respond) {
    HttpResponse response;
    response.body = request.headers.at("idempotency-key");
    response.headers["Connection"] = "close";
    respond(response);
  });
  const auto port = server.Listen("127.0.0.1", 0);
  REQUIRE(port.has_value());
  const auto answer = SendRaw(*port,
                              "GET / HTTP/1.1\r\nHost: a\r\n"
                              "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"
                              "\r\n",
                              5'000);
  CHECK(answer.ends_with("a, b"));
}

TEST_CASE("a server survives bytes that are not HTTP") {
  // Malformed requests must not crash the process.
  Task task("server");
  Task client_task("client");
  HttpServer server(task, [](const HttpRequest& request, auto respond) {
    HttpResponse response;
    response.body = request.body;
    respond(response);
  });
  const auto port = server.Listen("127.0.0.1", 0);
  REQUIRE(port.has_value());
  CHECK(rc::check([&] {
    std::string bytes =
        "POST /v1/jobs?a=b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    const auto edits = *rc::gen::inRange(1, 8);
    for (int i = 0; i < edits; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      if (*rc::gen::inRange(0, 3) == 0) {
        bytes.erase(at, *rc::gen::inRange<std::size_t>(1, 10));
      } else {
        bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
      }
      RC_PRE(!bytes.empty());
    }
    SendRaw(*port, bytes, 1);
  }));
  HttpClient client(client_task);
  HttpClientRequest call;
  call.method = "POST";
  call.url = UrlOf(*port, "/");
  call.body = "still here";
  CHECK(client.SendAndWait(call).body == "still here");
}

TEST_CASE("a burst of connections is accepted") {
  // Clients must not be refused while earlier connections wait to be
  // accepted.
  Task task("server");
  HttpServer server(task, [](const HttpRequest&, auto respond) {
    HttpResponse response;
    response.headers["Connection"] = "close";
    respond(response);
  });
  const auto port = server.Listen("127.0.0.1", 0);
  REQUIRE(port.has_value());
  constexpr int kBurst = 200;
  int connected = 0;
  // The server accepts no connections while its task is busy.
  task.Run([&] {
    std::vector<pollfd> connections;
    connections.reserve(kBurst);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(*port);
    for (int i = 0; i < kBurst; ++i) {
      const int connection = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      // The connection is established in the background; poll() reports the
      // result.
      static_cast<void>(connect(
          connection, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
      connections.push_back({connection, POLLOUT, 0});
    }
    // Less than 1 s, after which the system retries the SYN.
    g_usleep(200'000);
    poll(connections.data(), connections.size(), 0);
    for (const auto& connection : connections) {
      connected += connection.revents == POLLOUT ? 1 : 0;
      close(connection.fd);
    }
  });
  CHECK(connected == kBurst);
}

TEST_CASE("a server is idle once the last response is written") {
  // A shutdown must not cut off a response.
  Task server_task("server");
  Task client_task("client");
  std::vector<HttpResponder> held;
  HttpServer server(server_task,
                    [&](const HttpRequest&, HttpResponder respond) {
                      held.push_back(std::move(respond));
                    });
  const auto port = server.Listen("127.0.0.1", 0);
  REQUIRE(port.has_value());
  std::atomic<int> idle = 0;
  server.NotifyWhenIdle([&] { ++idle; });
  CHECK(idle == 1);
  std::atomic<bool> answered = false;
  HttpClient client(client_task);
  HttpClientRequest call;
  call.url = UrlOf(*port, "/");
  client.Send(call, [&](HttpClientResult reply) { answered = reply.Ok(); });
  const auto deadline = BootClock{}.Now().After(10'000);
  const auto wait_for = [&](auto condition) {
    while (!condition() && BootClock{}.Now() < deadline) {
      g_usleep(1000);
    }
    return condition();
  };
  bool arrived = false;
  REQUIRE(wait_for([&] {
    server_task.Run([&] { arrived = !held.empty(); });
    return arrived;
  }));
  server.NotifyWhenIdle([&] { ++idle; });
  CHECK(idle == 1);
  server_task.Run([&] {
    held.front()({});
    held.clear();
  });
  CHECK(wait_for([&] { return idle == 2; }));
  CHECK(wait_for([&] { return answered.load(); }));
}

}  // namespace
}  // namespace carobrill::http
