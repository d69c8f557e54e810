#include "tests/soak/proxy.h"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

#include "review/standin/record.h"

namespace carobrill::soak {
namespace {

constexpr std::size_t kMaxBufferedBytes = 4 * 1024 * 1024;
constexpr std::size_t kReadBytes = 64 * 1024;
constexpr int kBacklog = 256;
constexpr std::int64_t kPollMs = 500;

bool WouldBlock() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

void SetNoDelay(int socket_fd) {
  const int on = 1;
  setsockopt(socket_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// With SO_LINGER set to 0 s, close() sends a reset instead of a FIN.
void CloseWithReset(int socket_fd) {
  if (socket_fd >= 0) {
    const linger option{1, 0};
    setsockopt(socket_fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    close(socket_fd);
  }
}

}  // namespace

Proxy::Proxy(Endpoint listen,
             Endpoint target,
             std::uint64_t seed,
             ProxyHooks hooks)
    : listen(std::move(listen)),
      target(std::move(target)),
      hooks(std::move(hooks)),
      random(seed),
      buffer(kReadBytes) {
  this->OpenListener();
  this->wake_event = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  this->thread = std::thread([this] { this->Run(); });
}

Proxy::~Proxy() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  eventfd_write(this->wake_event, 1);
  this->thread.join();
  for (Connection& connection : this->connections) {
    Reset(connection);
  }
  close(this->listener);
  close(this->wake_event);
}

std::uint64_t Proxy::Add(const LinkFault& fault) {
  const std::lock_guard lock(this->mutex);
  this->faults[++this->last_fault] = fault;
  eventfd_write(this->wake_event, 1);
  return this->last_fault;
}

void Proxy::Remove(std::uint64_t number) {
  const std::lock_guard lock(this->mutex);
  this->faults.erase(number);
  eventfd_write(this->wake_event, 1);
}

void Proxy::OpenListener() {
  this->listener =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = this->listen.Address();
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(this->listener, generic, size) != 0 ||
      ::listen(this->listener, kBacklog) != 0 ||
      getsockname(this->listener, generic, &size) != 0) {
    throw std::system_error(errno, std::generic_category(),
                            "listen on " + this->listen.Text());
  }
  this->listen.port = ntohs(address.sin_port);
}

LinkFault Proxy::FaultOf(const std::optional<std::size_t>& source) {
  const std::lock_guard lock(this->mutex);
  LinkFault all;
  for (const auto& [number, fault] : this->faults) {
    if (fault.source.has_value() && fault.source != source) {
      continue;
    }
    all.refuse |= fault.refuse;
    all.hold_requests |= fault.hold_requests;
    all.hold_replies |= fault.hold_replies;
    all.drop_held |= fault.drop_held;
    all.delay_ms += fault.delay_ms;
    all.late_share = std::max(all.late_share, fault.late_share);
  }
  return all;
}

void Proxy::Run() {
  while (true) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->stopping) {
        return;
      }
    }
    const bool refused = this->FaultOf(std::nullopt).refuse;
    if (refused && this->listener >= 0) {
      close(std::exchange(this->listener, -1));
    } else if (!refused && this->listener < 0) {
      this->OpenListener();
    }
    const std::int64_t now = standin::NowMs();
    std::int64_t next_ms = now + kPollMs;
    std::vector<pollfd> poll_fds = {{this->wake_event, POLLIN, 0}};
    if (this->listener >= 0) {
      poll_fds.push_back({this->listener, POLLIN, 0});
    }
    const auto add = [&](int from, int to, const Flow& flow, bool held) {
      if (from >= 0 && !flow.source_ended && flow.size < kMaxBufferedBytes) {
        poll_fds.push_back({from, POLLIN, 0});
      }
      if (held || to < 0 || flow.chunks.empty() || flow.sink_gone) {
        return;
      }
      if (flow.chunks.front().due_ms <= now) {
        poll_fds.push_back({to, POLLOUT, 0});
      } else {
        next_ms = std::min(next_ms, flow.chunks.front().due_ms);
      }
    };
    for (const Connection& connection : this->connections) {
      const LinkFault fault = this->FaultOf(connection.source);
      add(connection.client, connection.server, connection.request,
          fault.hold_requests);
      add(connection.server, connection.client, connection.reply,
          fault.hold_replies || connection.unanswered);
    }
    poll(poll_fds.data(), poll_fds.size(),
         static_cast<int>(std::max<std::int64_t>(0, next_ms - now)));
    eventfd_t ignored = 0;
    eventfd_read(this->wake_event, &ignored);
    this->Accept();
    for (Connection& connection : this->connections) {
      this->Forward(connection);
    }
    this->connections.remove_if(
        [](const Connection& connection) { return connection.closed; });
  }
}

void Proxy::Accept() {
  while (this->listener >= 0) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const int client =
        accept4(this->listener, reinterpret_cast<sockaddr*>(&peer), &size,
                SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) {
      return;
    }
    SetNoDelay(client);
    Connection connection;
    connection.client = client;
    if (this->hooks.source_of) {
      connection.source = this->hooks.source_of(Endpoint::Of(peer));
    }
    this->connections.push_back(std::move(connection));
  }
}

void Proxy::Connect(Connection& connection, const LinkFault& fault) {
  if (connection.server >= 0 || fault.hold_requests || connection.drop) {
    return;
  }
  const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = this->target.Address();
  fcntl(server, F_SETFL, O_NONBLOCK);
  if (connect(server, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0 &&
      errno != EINPROGRESS) {
    close(server);
    Reset(connection);
    return;
  }
  SetNoDelay(server);
  connection.server = server;
}

void Proxy::Forward(Connection& connection) {
  const LinkFault fault = this->FaultOf(connection.source);
  if (fault.refuse) {
    Reset(connection);
    return;
  }
  this->Read(connection.client, connection.request, connection, fault);
  if (connection.server >= 0) {
    this->Read(connection.server, connection.reply, connection, fault);
  }
  const bool held = (fault.hold_requests && connection.request.size > 0) ||
                    (fault.hold_replies && connection.reply.size > 0);
  connection.drop |= held && fault.drop_held;
  if (connection.drop && !fault.hold_requests && !fault.hold_replies) {
    Reset(connection);
    return;
  }
  this->Connect(connection, fault);
  if (connection.closed) {
    return;
  }
  if (!fault.hold_requests) {
    this->Send(connection.server, connection.request, true);
  }
  if (!fault.hold_replies && !connection.unanswered) {
    this->Send(connection.client, connection.reply, false);
  }
  if (!fault.hold_requests && !fault.hold_replies) {
    CloseIfDone(connection);
  }
}

void Proxy::Read(int from,
                 Flow& flow,
                 Connection& connection,
                 const LinkFault& fault) {
  const bool to_target = &flow == &connection.request;
  while (!flow.source_ended && flow.size < kMaxBufferedBytes) {
    const ssize_t size =
        recv(from, this->buffer.data(), this->buffer.size(), 0);
    if (size <= 0) {
      if (size < 0 && WouldBlock()) {
        return;
      }
      flow.source_ended = true;
      flow.source_reset = size < 0;
      return;
    }
    std::string bytes(this->buffer.data(), static_cast<std::size_t>(size));
    const auto& [real, proxied] = this->hooks.rewrite;
    if (to_target && !real.empty()) {
      for (auto at = bytes.find(real); at != std::string::npos;
           at = bytes.find(real, at)) {
        bytes.replace(at, real.size(), proxied);
      }
    }
    std::int64_t due_ms = standin::NowMs() + fault.delay_ms;
    if (to_target && fault.late_share > 0 && !connection.unanswered &&
        bytes.starts_with("POST ") &&
        std::uniform_real_distribution<>(0, 1)(this->random) <
            fault.late_share) {
      connection.unanswered = true;
      due_ms += std::uniform_int_distribution<std::int64_t>(
          fault.late_min_ms, fault.late_max_ms)(this->random);
    }
    if (!flow.chunks.empty()) {
      due_ms = std::max(due_ms, flow.chunks.back().due_ms);
    }
    flow.size += bytes.size();
    flow.chunks.push_back({due_ms, std::move(bytes)});
  }
}

void Proxy::Send(int to, Flow& flow, bool to_target) {
  while (!flow.chunks.empty() && !flow.sink_gone &&
         flow.chunks.front().due_ms <= standin::NowMs()) {
    std::string& bytes = flow.chunks.front().bytes;
    const ssize_t size = send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size < 0) {
      flow.sink_gone = !WouldBlock();
      return;
    }
    const auto sent = static_cast<std::size_t>(size);
    if (to_target && this->hooks.on_request) {
      this->hooks.on_request(std::string_view(bytes).substr(0, sent));
    }
    flow.size -= sent;
    bytes.erase(0, sent);
    if (bytes.empty()) {
      flow.chunks.pop_front();
    }
  }
  if (flow.chunks.empty() && flow.source_ended && !flow.source_reset &&
      !flow.end_forwarded) {
    shutdown(to, SHUT_WR);
    flow.end_forwarded = true;
  }
}

void Proxy::CloseIfDone(Connection& connection) {
  const Flow& request = connection.request;
  const Flow& reply = connection.reply;
  if (!request.chunks.empty() && !request.sink_gone) {
    return;
  }
  const bool answered = reply.chunks.empty() || reply.sink_gone;
  const bool late_request_done = connection.unanswered &&
                                 request.source_ended &&
                                 (!reply.chunks.empty() || reply.source_ended);
  const bool client_gone =
      request.source_reset || reply.sink_gone || late_request_done;
  const bool server_gone =
      (reply.source_reset || request.sink_gone) && answered;
  if (client_gone || server_gone) {
    Reset(connection);
  } else if (request.end_forwarded && reply.end_forwarded) {
    close(connection.client);
    close(connection.server);
    connection.closed = true;
  }
}

void Proxy::Reset(Connection& connection) {
  if (!connection.closed) {
    CloseWithReset(connection.client);
    CloseWithReset(connection.server);
    connection.closed = true;
  }
}

}  // namespace carobrill::soak
