#include "tests/process/relay.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>
#include <vector>

namespace carobrill::process {
namespace {

// Maximum number of bytes buffered per direction when the target is slow;
// beyond it, reading stops and the sender is blocked.
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;
constexpr int kBacklog = 128;

sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

void Check(bool succeeded, const char* what) {
  if (!succeeded) {
    throw std::system_error(errno, std::generic_category(), what);
  }
}

bool WouldBlock() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

// Disables Nagle's algorithm, which would delay small messages; tests measure
// latencies.
void SetNoDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// With SO_LINGER set to 0 s, close() sends a reset instead of a FIN.
void CloseWithReset(int socket) {
  const linger option{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  close(socket);
}

int ConnectTo(std::uint16_t port) {
  const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAddress(port);
  if (connect(server, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(server);
    return -1;
  }
  fcntl(server, F_SETFL, O_NONBLOCK);
  SetNoDelay(server);
  return server;
}

}  // namespace

Relay::Relay(std::uint16_t target_port) : target_port(target_port) {
  this->listener =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  Check(this->listener >= 0, "socket");
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  Check(bind(this->listener, generic, size) == 0, "bind");
  Check(listen(this->listener, kBacklog) == 0, "listen");
  Check(getsockname(this->listener, generic, &size) == 0, "getsockname");
  this->port = ntohs(address.sin_port);
  this->wake_event = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  Check(this->wake_event >= 0, "eventfd");
  this->thread = std::thread([this] { this->Run(); });
}

Relay::~Relay() {
  this->stopping = true;
  eventfd_write(this->wake_event, 1);
  this->thread.join();
  for (auto& connection : this->connections) {
    Reset(connection);
  }
  close(this->listener);
  close(this->wake_event);
}

void Relay::SetMode(RelayMode mode) {
  this->mode = mode;
  eventfd_write(this->wake_event, 1);
}

void Relay::Run() {
  while (!this->stopping) {
    const RelayMode mode = this->mode;
    std::vector<pollfd> poll_fds = {{this->listener, POLLIN, 0},
                                    {this->wake_event, POLLIN, 0}};
    const auto add = [&](int from, int to, const Flow& flow) {
      const bool reads =
          !flow.source_ended && flow.buffered.size() < kMaxBufferedBytes;
      if (reads) {
        poll_fds.push_back({from, POLLIN, 0});
      }
      if (!flow.buffered.empty()) {
        poll_fds.push_back({to, POLLOUT, 0});
      }
    };
    for (const auto& connection : this->connections) {
      if (mode == RelayMode::kForward || mode == RelayMode::kHoldReplies) {
        add(connection.client, connection.server, connection.request);
      }
      if (mode == RelayMode::kForward) {
        add(connection.server, connection.client, connection.reply);
      }
    }
    poll(poll_fds.data(), poll_fds.size(), -1);
    eventfd_t ignored = 0;
    eventfd_read(this->wake_event, &ignored);
    this->Accept();
    for (auto& connection : this->connections) {
      this->ForwardConnection(connection, this->mode);
    }
    this->connections.remove_if(
        [](const Connection& connection) { return connection.closed; });
  }
}

void Relay::Accept() {
  while (true) {
    const int client =
        accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) {
      return;
    }
    ++this->accepted;
    const int server =
        this->mode == RelayMode::kReset ? -1 : ConnectTo(this->target_port);
    if (server < 0) {
      CloseWithReset(client);
      continue;
    }
    SetNoDelay(client);
    this->connections.push_back({client, server, {}, {}, false});
  }
}

void Relay::ForwardConnection(Connection& connection, RelayMode mode) {
  if (mode == RelayMode::kReset) {
    Reset(connection);
    return;
  }
  if (mode == RelayMode::kForward || mode == RelayMode::kHoldReplies) {
    Transfer(connection.client, connection.server, connection.request,
             connection);
  }
  if (mode == RelayMode::kForward && !connection.closed) {
    Transfer(connection.server, connection.client, connection.reply,
             connection);
  }
  if (!connection.closed && connection.request.shutdown_forwarded &&
      connection.reply.shutdown_forwarded) {
    close(connection.client);
    close(connection.server);
    connection.closed = true;
  }
}

void Relay::Transfer(int from, int to, Flow& flow, Connection& connection) {
  std::array<char, 16 * 1024> buffer{};
  while (!flow.source_ended && flow.buffered.size() < kMaxBufferedBytes) {
    const ssize_t size = recv(from, buffer.data(), buffer.size(), 0);
    if (size < 0) {
      if (!WouldBlock()) {
        Reset(connection);
        return;
      }
      break;
    }
    flow.source_ended = size == 0;
    flow.buffered.append(buffer.data(), static_cast<std::size_t>(size));
  }
  while (!flow.buffered.empty()) {
    const ssize_t size =
        send(to, flow.buffered.data(), flow.buffered.size(), MSG_NOSIGNAL);
    if (size < 0) {
      if (!WouldBlock()) {
        Reset(connection);
      }
      return;
    }
    flow.buffered.erase(0, static_cast<std::size_t>(size));
  }
  if (flow.source_ended && !flow.shutdown_forwarded) {
    shutdown(to, SHUT_WR);
    flow.shutdown_forwarded = true;
  }
}

void Relay::Reset(Connection& connection) {
  if (!connection.closed) {
    CloseWithReset(connection.client);
    CloseWithReset(connection.server);
    connection.closed = true;
  }
}

}  // namespace carobrill::process
