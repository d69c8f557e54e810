#include "packages/http/client_connections.h"

#include <array>
#include <optional>
#include <string>
#include <utility>

#include "packages/core/acceptor.h"
#include "packages/core/log.h"
#include "packages/http/filtered_stream.h"

namespace carobrill::http {
namespace {

constexpr const char* kIdKey = "carobrill-connection";

/// Bytes of one connection that are read in a turn of the event loop. While
/// 90 clients sent chunks of one byte without this limit, a turn took 0.5 s,
/// and a gateway lost its store.
constexpr std::size_t kBytesPerTurn = 64 * 1024;
constexpr std::size_t kSlowBytesPerTurn = 1024;

/// Received data is discarded before a refused connection is closed, since the
/// system would otherwise reset it and the client would lose the response.
constexpr int kMaxDiscardedReads = 16;
constexpr std::size_t kDiscardedReadBytes = 16 * 1024;

/// Status line of a refusal.
std::string StatusOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kHeadSize:
      return "431 Request Header Fields Too Large";
    case RefusalReason::kBodySize:
      return "413 Content Too Large";
    case RefusalReason::kHeadDeadline:
    case RefusalReason::kBodyDeadline:
      return "408 Request Timeout";
    default:
      return "503 Service Unavailable";
  }
}

// A response is true and can be understood if the handler has not seen the
// request and no response is on its way. On an idle connection that was used
// before, it could be taken for the response to the next request.
bool CanRespond(const Refusal& refusal) {
  return refusal.phase == ConnectionPhase::kHead ||
         refusal.phase == ConnectionPhase::kBody ||
         (refusal.phase == ConnectionPhase::kIdle && !refusal.served);
}

void SendRefusal(GSocket* socket, RefusalReason reason) {
  const std::string response = "HTTP/1.1 " + StatusOf(reason) +
                               "\r\nConnection: close\r\n"
                               "Content-Length: 0\r\n\r\n";
  g_socket_send_with_blocking(socket, response.data(), response.size(),
                              /*blocking=*/FALSE, nullptr, nullptr);
  std::array<char, kDiscardedReadBytes> discarded{};
  for (int i = 0;
       i < kMaxDiscardedReads && g_socket_receive_with_blocking(
                                     socket, discarded.data(), discarded.size(),
                                     /*blocking=*/FALSE, nullptr, nullptr) > 0;
       ++i) {
  }
}

}  // namespace

ClientConnections::ClientConnections(const ClientLimits& limits,
                                     MetricsRegistry* metrics)
    : budget(limits),
      refusals(metrics,
               "carobrill_http_refused_total",
               "Connections closed and requests refused because of a limit.") {}

GIOStream* ClientConnections::Add(GSocket* socket, GSocketAddress* remote) {
  const ConnectionId id =
      this->budget.Open(IpAddressOf(remote), this->clock.Now());
  this->entries[id].socket = G_SOCKET(g_object_ref(socket));
  this->Enforce();
  if (!this->entries.contains(id)) {
    return nullptr;
  }
  g_object_set_data(G_OBJECT(remote), kIdKey, GSIZE_TO_POINTER(id));
  GSocketConnection* connection =
      g_socket_connection_factory_create_connection(socket);
  GIOStream* stream = NewFilteredStream(
      G_IO_STREAM(connection),
      {[self = this->shared_from_this(), id] { return self->BytesPerTurn(id); },
       [self = this->shared_from_this(), id](std::size_t bytes) {
         return self->OnRead(id, bytes);
       },
       [self = this->shared_from_this(), id] { return self->EndedIdle(id); },
       [self = this->shared_from_this(), id] {
         self->OnClosed(id);
         self->refused_idle.erase(id);
       }});
  g_object_unref(connection);
  return stream;
}

ConnectionId ClientConnections::IdOf(GSocketAddress* remote) {
  return remote == nullptr
             ? 0
             : GPOINTER_TO_SIZE(g_object_get_data(G_OBJECT(remote), kIdKey));
}

void ClientConnections::AppendBody(ConnectionId id,
                                   const char* bytes,
                                   std::size_t size) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    return;
  }
  std::string& body = found->second.body;
  body.append(bytes, size);
  this->budget.OnBody(id, body.capacity());
  this->Enforce();
}

std::string ClientConnections::TakeBody(ConnectionId id) {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? std::string()
                                      : std::exchange(found->second.body, {});
}

void ClientConnections::ReadSlowly(ConnectionId id) {
  const auto found = this->entries.find(id);
  if (found != this->entries.end()) {
    found->second.read_slowly = true;
  }
}

void ClientConnections::Enforce() {
  while (const auto refusal = this->budget.NextOverBudget(this->clock.Now())) {
    this->Refuse(*refusal);
  }
}

void ClientConnections::CloseOne(RefusalReason reason) {
  if (const auto refusal = this->budget.NextFor(reason, this->clock.Now())) {
    this->Refuse(*refusal);
  }
}

void ClientConnections::Sweep() {
  for (const Refusal& refusal : this->budget.Expired(this->clock.Now())) {
    this->Refuse(refusal);
  }
  this->refusals.TakeUnlogged(
      [this](const std::string& reason, std::uint64_t count) {
        Log(LogLevel::kWarning, "clients refused",
            {{"reason", reason},
             {"count", std::to_string(count)},
             {"connections", std::to_string(this->budget.Connections())},
             {"held_bytes", std::to_string(this->budget.HeldBytes())}});
      });
}

std::size_t ClientConnections::BytesPerTurn(ConnectionId id) const {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    return 0;
  }
  return found->second.read_slowly ? kSlowBytesPerTurn : kBytesPerTurn;
}

bool ClientConnections::OnRead(ConnectionId id, std::size_t bytes) {
  if (!this->entries.contains(id)) {
    return false;
  }
  if (const auto refusal = this->budget.OnBytes(id, bytes, this->clock.Now())) {
    this->Refuse(*refusal);
    return false;
  }
  this->Enforce();
  return this->entries.contains(id);
}

// The socket is closed, since libsoup would send a response to the request that
// has seemingly begun.
bool ClientConnections::EndedIdle(ConnectionId id) {
  if (!this->budget.IsIdle(id)) {
    return this->refused_idle.contains(id);
  }
  const auto found = this->entries.find(id);
  if (found != this->entries.end()) {
    g_socket_close(found->second.socket, nullptr);
  }
  return true;
}

void ClientConnections::OnClosed(ConnectionId id) {
  this->budget.Close(id);
  const auto found = this->entries.find(id);
  if (found != this->entries.end()) {
    g_object_unref(found->second.socket);
    this->entries.erase(found);
  }
}

// Closes the socket at once, so that its descriptor is free for the next
// connection. libsoup releases the stream in the next turn of the event loop,
// when its read or write fails.
void ClientConnections::Refuse(const Refusal& refusal) {
  this->refusals.Add(refusal.reason);
  if (this->budget.IsIdle(refusal.connection)) {
    this->refused_idle.insert(refusal.connection);
  }
  const auto found = this->entries.find(refusal.connection);
  if (found != this->entries.end()) {
    if (CanRespond(refusal)) {
      SendRefusal(found->second.socket, refusal.reason);
    }
    g_socket_close(found->second.socket, nullptr);
  }
  this->OnClosed(refusal.connection);
}

}  // namespace carobrill::http
