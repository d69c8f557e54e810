#include "tests/soak/socket_owner.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <vector>

#include "packages/rpc/grpc_limits.h"

namespace carobrill::soak {
namespace {

// A listening socket on loopback, and connections to it.
class Listener {
 public:
  Listener() {
    const sockaddr_in any = Endpoint{"127.0.0.1", 0}.Address();
    REQUIRE(bind(this->socket_fd, reinterpret_cast<const sockaddr*>(&any),
                 sizeof(any)) == 0);
    REQUIRE(listen(this->socket_fd, 16) == 0);
    socklen_t size = sizeof(this->address);
    getsockname(this->socket_fd, reinterpret_cast<sockaddr*>(&this->address),
                &size);
  }
  ~Listener() { close(this->socket_fd); }

  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  Endpoint At() const { return Endpoint::Of(this->address); }

  // Returns the ends of the client and of the server.
  std::array<int, 2> Connect() const {
    const int client = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(connect(client, reinterpret_cast<const sockaddr*>(&this->address),
                    sizeof(this->address)) == 0);
    return {client, accept(this->socket_fd, nullptr, nullptr)};
  }

 private:
  int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
};

Endpoint LocalEnd(int socket_fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(socket_fd, reinterpret_cast<sockaddr*>(&address), &size);
  return Endpoint::Of(address);
}

}  // namespace

TEST_CASE("the owner of a connection is found by both of its ends") {
  const Listener listener;
  const auto [client, server] = listener.Connect();
  const std::vector<pid_t> pids = {getppid(), getpid()};
  const Endpoint local = LocalEnd(client);
  CHECK(SocketOwner(local, listener.At(), pids) == 1);
  CHECK(SocketOwner(local, listener.At(), {getppid()}) == std::nullopt);
  CHECK(SocketOwner({"127.0.0.2", local.port}, listener.At(), pids) ==
        std::nullopt);
  close(client);
  close(server);
  CHECK(SocketOwner(local, listener.At(), pids) == std::nullopt);
}

// Guards against proxies that accept connections more slowly than gRPC gives
// them up, because other programs have left thousands of closed connections.
TEST_CASE("all gateways reconnect to all agents before an attempt times out") {
  constexpr int kClosedConnections = 5'000;
  constexpr int kMaxGateways = 16;
  constexpr int kMaxAgents = 64;
  const Listener listener;
  for (int i = 0; i < kClosedConnections; ++i) {
    const auto [client, server] = listener.Connect();
    close(client);
    close(server);
  }
  const auto [client, server] = listener.Connect();
  const Endpoint local = LocalEnd(client);
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kMaxGateways * kMaxAgents; ++i) {
    CHECK(SocketOwner(local, listener.At(), {getpid()}) == 0);
  }
  CHECK(std::chrono::steady_clock::now() - begin <
        std::chrono::milliseconds(rpc::detail::kMaxBackoffMs));
  close(client);
  close(server);
}

}  // namespace carobrill::soak
