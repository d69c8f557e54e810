#include "packages/rpc/guarded_listener.h"

#include <sys/socket.h>
#include <sys/stat.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>
#include <vector>

#include "packages/core/log.h"

namespace carobrill::rpc::detail {
namespace {

constexpr guint kSweepMs = 1'000;

/// Bytes that one direction reads before other sources of the event loop have
/// their turn.
constexpr std::size_t kBytesPerTurn = 16 * 1024;

/// Time in which gRPC releases a connection; it takes milliseconds unless the
/// process is short of processor time.
constexpr std::int64_t kClosingMs = 10'000;
constexpr guint kReleaseCheckMs = 20;

/// Returns the number of bytes sent, or nothing if the connection has ended.
std::optional<std::size_t> SendNow(GSocket* socket, std::string_view bytes) {
  GError* error = nullptr;
  const gssize sent =
      g_socket_send_with_blocking(socket, bytes.data(), bytes.size(),
                                  /*blocking=*/FALSE, nullptr, &error);
  if (sent >= 0) {
    return static_cast<std::size_t>(sent);
  }
  const bool full =
      g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
  g_clear_error(&error);
  return full ? std::optional<std::size_t>(0) : std::nullopt;
}

/// Returns the bytes received, which may be none, or nothing if the connection
/// has ended. `buffer` holds them.
std::optional<std::string_view> ReceiveNow(
    GSocket* socket,
    std::array<char, kBytesPerTurn>& buffer) {
  GError* error = nullptr;
  const gssize received =
      g_socket_receive_with_blocking(socket, buffer.data(), buffer.size(),
                                     /*blocking=*/FALSE, nullptr, &error);
  if (received > 0) {
    return std::string_view(buffer.data(), static_cast<std::size_t>(received));
  }
  const bool empty =
      received < 0 &&
      g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
  g_clear_error(&error);
  return empty ? std::optional(std::string_view()) : std::nullopt;
}

ino_t InodeOf(int descriptor) {
  struct stat status {};
  return fstat(descriptor, &status) == 0 ? status.st_ino : 0;
}

void Remove(GSource*& source) {
  if (source != nullptr) {
    g_source_destroy(source);
    g_source_unref(std::exchange(source, nullptr));
  }
}

}  // namespace

GuardedListener::GuardedListener(Task& task,
                                 const RpcLimits& limits,
                                 MetricsRegistry* metrics)
    : task(task),
      budget(limits),
      filter(limits.networks),
      acceptor(
          task.Context(),
          AcceptorHandlers{[this](GSocket* socket) { this->Accept(socket); },
                           [this] {
                             if (const auto refusal = this->budget.NextFor(
                                     RpcRefusalReason::kDescriptors,
                                     this->clock.Now())) {
                               this->Refuse(*refusal);
                             }
                           }}),
      refusals(metrics,
               "carobrill_rpc_refused_total",
               "gRPC connections closed because of a limit.") {}

GuardedListener::~GuardedListener() {
  this->task.Run([this] {
    this->acceptor.StopListening();
    Remove(this->sweep);
    std::vector<RpcConnectionId> ids;
    for (const auto& [id, connection] : this->connections) {
      ids.push_back(id);
    }
    for (const RpcConnectionId id : ids) {
      this->Deliver(this->connections.at(id));
      this->Close(id);
    }
    while (!this->closing.empty()) {
      this->EndClosing(this->closing.begin()->first);
    }
    Remove(this->release_check);
  });
}

Result<std::uint16_t> GuardedListener::Listen(const std::string& address,
                                              std::uint16_t port,
                                              PassOn pass_on) {
  std::optional<std::string> failure;
  std::uint16_t bound = 0;
  this->task.Run([&] {
    GSocketAddress* socket_address =
        g_inet_socket_address_new_from_string(address.c_str(), port);
    if (socket_address == nullptr) {
      failure = "not an IP address";
      return;
    }
    this->pass_on = std::move(pass_on);
    GError* error = nullptr;
    bound = this->acceptor.Listen(socket_address, &error);
    if (error != nullptr) {
      failure = error->message;
      g_clear_error(&error);
    } else {
      this->StartSweep();
    }
    g_object_unref(socket_address);
  });
  if (failure.has_value()) {
    return Fail(RpcListenError{address, port, std::move(*failure)});
  }
  return bound;
}

void GuardedListener::StopListening() {
  this->task.Run([this] {
    this->acceptor.StopListening();
    this->pass_on = {};
  });
}

// gRPC names a peer after the descriptor that it was given, "fd:17".
void GuardedListener::OnReply(const std::string& peer, std::size_t bytes) {
  constexpr std::string_view kPrefix = "fd:";
  if (!peer.starts_with(kPrefix)) {
    return;
  }
  int descriptor = -1;
  std::from_chars(peer.data() + kPrefix.size(), peer.data() + peer.size(),
                  descriptor);
  const auto found = this->ids_by_descriptor.find(descriptor);
  if (found != this->ids_by_descriptor.end()) {
    this->budget.OnReply(found->second, bytes);
    this->Enforce();
  }
}

gboolean GuardedListener::OnReady(GSocket* /*socket*/,
                                  GIOCondition /*condition*/,
                                  gpointer data) {
  const SourceData source = *static_cast<SourceData*>(data);
  source.listener->Advance(source.connection, source.sender);
  return G_SOURCE_CONTINUE;
}

void GuardedListener::Accept(GSocket* socket) {
  GSocketAddress* remote = g_socket_get_remote_address(socket, nullptr);
  // The client may have disconnected already, and then has no address.
  if (remote == nullptr) {
    return;
  }
  if (!this->filter.Allows(remote)) {
    this->refusals.Add(RpcRefusalReason::kNetwork);
    g_socket_close(socket, nullptr);
    g_object_unref(remote);
    return;
  }
  const RpcConnectionId id =
      this->budget.Open(IpAddressOf(remote), this->clock.Now());
  g_object_unref(remote);
  Connection& connection = this->connections[id];
  connection.id = id;
  connection.client = G_SOCKET(g_object_ref(socket));
  this->Wait(connection, Side::kClient);
  this->Enforce();
}

// The source of a direction is replaced only if what it waits for changes.
void GuardedListener::Advance(RpcConnectionId id, Side sender) {
  Connection* connection = this->Find(id);
  if (connection == nullptr) {
    return;
  }
  Direction& direction = sender == Side::kClient ? connection->from_client
                                                 : connection->from_server;
  if (sender == Side::kClient && this->MustPark(*connection)) {
    connection->parked = true;
    Remove(direction.source);
    return;
  }
  const bool was_full = !direction.unsent.empty();
  if (was_full ? !this->SendUnsent(*connection, sender)
               : !this->Receive(*connection, sender)) {
    this->Close(id);
    return;
  }
  // The connection may have been refused.
  connection = this->Find(id);
  if (connection != nullptr && was_full == direction.unsent.empty()) {
    if (sender == Side::kServer) {
      this->budget.OnBlocked(id, !was_full, this->clock.Now());
    }
    this->Wait(*connection, sender);
  }
}

// Reads once and sends that on. Returns false if the connection must end.
bool GuardedListener::Receive(Connection& connection, Side sender) {
  std::array<char, kBytesPerTurn> buffer;
  const bool client = sender == Side::kClient;
  const auto bytes =
      ReceiveNow(client ? connection.client : connection.server, buffer);
  if (!bytes.has_value()) {
    return false;
  }
  return client ? this->OnClientBytes(connection, *bytes)
                : this->OnServerBytes(connection, *bytes);
}

bool GuardedListener::OnClientBytes(Connection& connection,
                                    std::string_view bytes) {
  if (connection.server == nullptr) {
    const std::size_t size = std::min(
        bytes.size(), kHttp2Preface.size() - connection.preface.size());
    connection.preface += bytes.substr(0, size);
    bytes.remove_prefix(size);
    if (!kHttp2Preface.starts_with(connection.preface)) {
      this->Refuse({connection.id, RpcRefusalReason::kProtocol});
      return true;
    }
    if (connection.preface.size() < kHttp2Preface.size()) {
      return true;
    }
    this->budget.OnPreface(connection.id);
    if (!this->ConnectServer(connection) ||
        !this->Forward(connection, Side::kClient, kHttp2Preface)) {
      return false;
    }
  }
  std::optional<RpcRefusal> refusal;
  const bool allowed =
      connection.from_client.frames.Read(bytes, [&](const FrameHeader& frame) {
        refusal =
            this->budget.OnClientFrame(connection.id, frame, this->clock.Now());
        return !refusal.has_value();
      });
  if (!allowed) {
    this->Refuse(*refusal);
    return true;
  }
  // What exceeds a limit does not reach gRPC.
  const RpcConnectionId id = connection.id;
  this->Enforce();
  return this->Find(id) == nullptr ||
         this->Forward(connection, Side::kClient, bytes);
}

bool GuardedListener::OnServerBytes(Connection& connection,
                                    std::string_view bytes) {
  const Instant now = this->clock.Now();
  connection.from_server.frames.Read(bytes, [&](const FrameHeader& frame) {
    this->budget.OnServerFrame(connection.id, frame, now);
    return true;
  });
  return this->Forward(connection, Side::kServer, bytes);
}

// A client costs gRPC nothing until it has sent the preface.
bool GuardedListener::ConnectServer(Connection& connection) {
  std::array<int, 2> ends{};
  if (!this->pass_on ||
      socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0,
                 ends.data()) != 0) {
    return false;
  }
  connection.server = g_socket_new_from_fd(ends[0], nullptr);
  connection.server_descriptor = ends[1];
  connection.server_inode = InodeOf(ends[1]);
  this->ids_by_descriptor[ends[1]] = connection.id;
  this->pass_on(ends[1]);
  this->Wait(connection, Side::kServer);
  return true;
}

bool GuardedListener::Forward(Connection& connection,
                              Side sender,
                              std::string_view bytes) {
  const bool client = sender == Side::kClient;
  Direction& direction =
      client ? connection.from_client : connection.from_server;
  if (direction.unsent.empty() && !bytes.empty()) {
    const auto sent =
        SendNow(client ? connection.server : connection.client, bytes);
    if (!sent.has_value()) {
      return false;
    }
    bytes.remove_prefix(*sent);
  }
  direction.unsent += bytes;
  return true;
}

// Sends on what the server has sent already.
void GuardedListener::Deliver(Connection& connection) {
  std::array<char, kBytesPerTurn> buffer;
  while (connection.server != nullptr &&
         connection.from_server.unsent.empty()) {
    const auto bytes = ReceiveNow(connection.server, buffer);
    if (!bytes.has_value() || bytes->empty() ||
        !this->Forward(connection, Side::kServer, *bytes)) {
      return;
    }
  }
}

bool GuardedListener::SendUnsent(Connection& connection, Side sender) {
  const std::string unsent =
      std::exchange((sender == Side::kClient ? connection.from_client
                                             : connection.from_server)
                        .unsent,
                    {});
  return this->Forward(connection, sender, unsent);
}

void GuardedListener::Wait(Connection& connection, Side sender) {
  const bool client = sender == Side::kClient;
  Direction& direction =
      client ? connection.from_client : connection.from_server;
  const bool full = !direction.unsent.empty();
  Remove(direction.source);
  // A full direction waits for its receiver, the other side.
  direction.source = g_socket_create_source(
      client != full ? connection.client : connection.server,
      full ? G_IO_OUT : G_IO_IN, nullptr);
  g_source_set_callback(
      direction.source, G_SOURCE_FUNC(OnReady),
      new SourceData{this, connection.id, sender},
      [](gpointer data) { delete static_cast<SourceData*>(data); });
  g_source_attach(direction.source, this->task.Context());
}

GuardedListener::Connection* GuardedListener::Find(RpcConnectionId id) {
  const auto found = this->connections.find(id);
  return found == this->connections.end() ? nullptr : &found->second;
}

void GuardedListener::Enforce() {
  while (const auto refusal = this->budget.NextOverBudget(this->clock.Now())) {
    this->Refuse(*refusal);
  }
}

void GuardedListener::Refuse(const RpcRefusal& refusal) {
  this->refusals.Add(refusal.reason);
  this->Close(refusal.connection);
}

// gRPC ends the calls of the connection when its end of the pair is closed.
void GuardedListener::Close(RpcConnectionId id) {
  const std::size_t held = this->budget.HeldBytes(id);
  this->budget.Close(id);
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) {
    return;
  }
  Connection& connection = found->second;
  Remove(connection.from_client.source);
  Remove(connection.from_server.source);
  const auto descriptor =
      this->ids_by_descriptor.find(connection.server_descriptor);
  // gRPC may have closed its end, and the number may be in use again.
  if (descriptor != this->ids_by_descriptor.end() && descriptor->second == id) {
    this->ids_by_descriptor.erase(descriptor);
  }
  // A source that is running still refers to its socket.
  g_socket_close(connection.client, nullptr);
  g_clear_object(&connection.client);
  if (connection.server != nullptr) {
    this->BeginClosing(connection, held);
  }
  this->connections.erase(found);
}

// A crowd that connects again and again must wait until gRPC has released what
// it left behind.
bool GuardedListener::MustPark(const Connection& connection) const {
  return connection.server == nullptr &&
         (this->closing.size() >= this->budget.Limits().max_connections ||
          this->closing_held >= this->budget.Limits().max_held_bytes);
}

void GuardedListener::BeginClosing(const Connection& connection,
                                   std::size_t held) {
  g_socket_shutdown(connection.server, /*shutdown_read=*/FALSE,
                    /*shutdown_write=*/TRUE, nullptr);
  Closing& entry = this->closing[connection.id];
  entry.server = connection.server;
  entry.server_descriptor = connection.server_descriptor;
  entry.server_inode = connection.server_inode;
  entry.held = held;
  this->closing_held += held;
  entry.deadline = this->clock.Now().After(kClosingMs);
  entry.source = g_socket_create_source(connection.server, G_IO_IN, nullptr);
  g_source_set_callback(
      entry.source, G_SOURCE_FUNC(OnClosing),
      new SourceData{this, connection.id, Side::kServer},
      [](gpointer data) { delete static_cast<SourceData*>(data); });
  g_source_attach(entry.source, this->task.Context());
}

gboolean GuardedListener::OnClosing(GSocket* socket,
                                    GIOCondition /*condition*/,
                                    gpointer data) {
  const SourceData source = *static_cast<SourceData*>(data);
  std::array<char, kBytesPerTurn> discarded;
  if (!ReceiveNow(socket, discarded).has_value()) {
    GuardedListener& listener = *source.listener;
    Remove(listener.closing.at(source.connection).source);
    listener.EndReleased();
  }
  return G_SOURCE_CONTINUE;
}

// Nothing tells when gRPC closes its end, which it has shut down before, so the
// descriptor is checked until it no longer refers to that end.
void GuardedListener::EndReleased() {
  std::vector<RpcConnectionId> released;
  bool waiting = false;
  for (const auto& [id, entry] : this->closing) {
    if (entry.source != nullptr) {
      continue;
    }
    if (InodeOf(entry.server_descriptor) == entry.server_inode) {
      waiting = true;
    } else {
      released.push_back(id);
    }
  }
  for (const RpcConnectionId id : released) {
    this->EndClosing(id);
  }
  if (!waiting) {
    Remove(this->release_check);
  } else if (this->release_check == nullptr) {
    this->release_check = g_timeout_source_new(kReleaseCheckMs);
    g_source_set_callback(
        this->release_check,
        [](gpointer data) -> gboolean {
          static_cast<GuardedListener*>(data)->EndReleased();
          return G_SOURCE_CONTINUE;
        },
        this, nullptr);
    g_source_attach(this->release_check, this->task.Context());
  }
}

void GuardedListener::EndClosing(RpcConnectionId id) {
  const auto found = this->closing.find(id);
  if (found == this->closing.end()) {
    return;
  }
  this->closing_held -= found->second.held;
  Remove(found->second.source);
  g_socket_close(found->second.server, nullptr);
  g_object_unref(found->second.server);
  this->closing.erase(found);
  for (auto& [other, connection] : this->connections) {
    if (std::exchange(connection.parked, false)) {
      this->Wait(connection, Side::kClient);
    }
  }
}

// Ends a suspension of the acceptor, too.
void GuardedListener::Sweep() {
  const Instant now = this->clock.Now();
  for (const RpcRefusal& refusal : this->budget.Expire(now)) {
    this->Refuse(refusal);
  }
  std::vector<RpcConnectionId> late;
  for (const auto& [id, entry] : this->closing) {
    if (entry.deadline <= now) {
      late.push_back(id);
    }
  }
  for (const RpcConnectionId id : late) {
    Log(LogLevel::kWarning, "gRPC did not release a connection in time");
    this->EndClosing(id);
  }
  this->refusals.TakeUnlogged(
      [this](const std::string& reason, std::uint64_t count) {
        Log(LogLevel::kWarning, "gRPC clients refused",
            {{"reason", reason},
             {"count", std::to_string(count)},
             {"connections", std::to_string(this->budget.Connections())},
             {"calls", std::to_string(this->budget.Calls())},
             {"held_bytes", std::to_string(this->budget.HeldBytes())}});
      });
  this->acceptor.Resume();
}

void GuardedListener::StartSweep() {
  this->sweep = g_timeout_source_new(kSweepMs);
  g_source_set_callback(
      this->sweep,
      [](gpointer data) -> gboolean {
        static_cast<GuardedListener*>(data)->Sweep();
        return G_SOURCE_CONTINUE;
      },
      this, nullptr);
  g_source_attach(this->sweep, this->task.Context());
}

}  // namespace carobrill::rpc::detail
