#include "platform/runner_client.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <future>
#include <string>
#include <thread>

#include "packages/core/task.h"
#include "packages/http/http_client.h"

namespace carobrill::adapter {
namespace {

using worker_agent::OrderResult;
using worker_agent::StartReply;

constexpr std::int64_t kTimeoutMs = 2'000;

std::string ResponseOf(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listening socket of a runner on loopback.
class RunnerSocket {
 public:
  RunnerSocket() : listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof(address);
    REQUIRE(::bind(this->listener, generic, size) == 0);
    REQUIRE(::listen(this->listener, 1) == 0);
    REQUIRE(::getsockname(this->listener, generic, &size) == 0);
    this->address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }
  ~RunnerSocket() { this->Close(); }

  RunnerSocket(const RunnerSocket&) = delete;
  RunnerSocket& operator=(const RunnerSocket&) = delete;

  const std::string& Address() const { return this->address; }

  /// Returns the next connection. Neither this nor its calls wait for ever.
  int Accept() const {
    LimitWait(this->listener);
    const int connection = ::accept(this->listener, nullptr, nullptr);
    LimitWait(connection);
    return connection;
  }

  void Close() {
    if (this->listener >= 0) {
      ::close(this->listener);
      this->listener = -1;
    }
  }

  /// Reads one request, whose body ends with a brace.
  static void Receive(int connection) {
    std::array<char, 4'096> bytes{};
    std::string request;
    while (!request.ends_with("}")) {
      const ssize_t count = ::read(connection, bytes.data(), bytes.size());
      if (count <= 0) {
        return;
      }
      request.append(bytes.data(), static_cast<std::size_t>(count));
    }
  }

  static void Send(int connection, const std::string& response) {
    CHECK(::write(connection, response.data(), response.size()) ==
          static_cast<ssize_t>(response.size()));
  }

 private:
  static void LimitWait(int socket) {
    const timeval limit{kTimeoutMs / 1'000, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }

  int listener;
  std::string address;
};

OrderResult StartRun(RunnerClient& runner, Task& task, std::uint32_t run) {
  std::promise<OrderResult> result;
  task.Run([&] {
    worker_agent::StartOrder order;
    order.task = {JobId("0123456789abcdef"), 0, 0, 0};
    order.run = run;
    order.worker = WorkerId("w");
    runner.Start(
        order, BootClock{}.Now().After(kTimeoutMs),
        [&](const StartReply& reply) { result.set_value(reply.result); });
  });
  return result.get_future().get();
}

TEST_CASE("a start is not sent again when its connection closes") {
  // Guards against a refusal that hides an earlier start of the run.
  RunnerSocket socket;
  Task task("client");
  http::HttpClient client(task);
  RunnerClient runner(client, socket.Address());
  bool sent_again = false;
  std::thread server([&] {
    const int first = socket.Accept();
    RunnerSocket::Receive(first);
    RunnerSocket::Send(first, ResponseOf("200 OK", R"({"clock_ms":1})"));
    RunnerSocket::Receive(first);
    ::close(first);
    const int second = socket.Accept();
    sent_again = second >= 0;
    ::close(second);
  });
  CHECK(StartRun(runner, task, 1) == OrderResult::kDone);
  // The client may use the connection again only after this.
  g_usleep(50'000);
  CHECK(StartRun(runner, task, 2) == OrderResult::kNoAnswer);
  server.join();
  CHECK(!sent_again);
}

TEST_CASE("a start on a port without a listener has not reached the worker") {
  // Guards against runs that wait for a start that was never sent.
  RunnerSocket socket;
  socket.Close();
  Task task("client");
  http::HttpClient client(task);
  RunnerClient runner(client, socket.Address());
  CHECK(StartRun(runner, task, 1) == OrderResult::kUnreachable);
}

TEST_CASE("a network error does not show that a worker has exited") {
  // Guards against tasks that run twice because a worker was not reached.
  Task task("client");
  http::HttpClient client(task);
  // There is no route for connections to a multicast address.
  RunnerClient runner(client, "224.0.0.1:80");
  std::promise<OrderResult> result;
  task.Run([&] {
    runner.RenewLeases({}, BootClock{}.Now().After(kTimeoutMs),
                       [&](const worker_agent::LeaseReply& reply) {
                         result.set_value(reply.result);
                       });
  });
  CHECK(result.get_future().get() == OrderResult::kNoAnswer);
}

}  // namespace
}  // namespace carobrill::adapter
