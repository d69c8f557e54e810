#include "packages/core/acceptor.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

namespace carobrill {
namespace {

/// The default of libsoup is 10, and further connections are refused; a burst
/// of clients exceeds that.
constexpr int kListenBacklog = 1024;

/// Connections accepted before the event loop serves the existing ones.
constexpr int kAcceptedInTurn = 32;

std::uint16_t PortOf(GSocket* socket) {
  GSocketAddress* address = g_socket_get_local_address(socket, nullptr);
  const std::uint16_t port =
      g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address));
  g_object_unref(address);
  return port;
}

}  // namespace

std::string IpAddressOf(GSocketAddress* address) {
  if (G_IS_INET_SOCKET_ADDRESS(address) == FALSE) {
    return "";
  }
  char* text = g_inet_address_to_string(
      g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(address)));
  std::string result(text);
  g_free(text);
  return result;
}

Acceptor::Acceptor(GMainContext* context, AcceptorHandlers handlers)
    : context(context), handlers(std::move(handlers)) {}

Acceptor::~Acceptor() {
  this->StopListening();
}

std::uint16_t Acceptor::Listen(GSocketAddress* address, GError** error) {
  GSocket* socket =
      g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                   G_SOCKET_PROTOCOL_TCP, error);
  if (socket == nullptr) {
    return 0;
  }
  g_socket_set_listen_backlog(socket, kListenBacklog);
  g_socket_set_blocking(socket, FALSE);
  if (g_socket_bind(socket, address, /*allow_reuse=*/TRUE, error) == FALSE ||
      g_socket_listen(socket, error) == FALSE) {
    g_object_unref(socket);
    return 0;
  }
  this->listeners.push_back({socket, nullptr});
  this->Resume();
  return PortOf(socket);
}

void Acceptor::Resume() {
  for (Listener& listener : this->listeners) {
    if (listener.source == nullptr) {
      listener.source =
          g_socket_create_source(listener.socket, G_IO_IN, nullptr);
      g_source_set_callback(listener.source, G_SOURCE_FUNC(OnReadable), this,
                            nullptr);
      g_source_attach(listener.source, this->context);
    }
  }
}

void Acceptor::StopListening() {
  this->Suspend();
  for (const Listener& listener : this->listeners) {
    g_socket_close(listener.socket, nullptr);
    g_object_unref(listener.socket);
  }
  this->listeners.clear();
}

gboolean Acceptor::OnReadable(GSocket* socket,
                              GIOCondition /*condition*/,
                              gpointer data) {
  auto* acceptor = static_cast<Acceptor*>(data);
  for (int i = 0; i < kAcceptedInTurn && acceptor->Accept(socket); ++i) {
  }
  return G_SOURCE_CONTINUE;
}

// Without descriptors, the listening socket stays readable, and the event loop
// would run without a pause; so accepting is suspended.
bool Acceptor::Accept(GSocket* socket) {
  GError* error = nullptr;
  GSocket* connection = g_socket_accept(socket, nullptr, &error);
  if (connection == nullptr) {
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) == FALSE) {
      this->Suspend();
      this->handlers.on_exhausted();
    }
    g_clear_error(&error);
    return false;
  }
  g_socket_set_blocking(connection, FALSE);
  // Responses are written in two parts, a head and a body.
  g_socket_set_option(connection, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  this->handlers.on_connection(connection);
  g_object_unref(connection);
  return true;
}

void Acceptor::Suspend() {
  for (Listener& listener : this->listeners) {
    if (listener.source != nullptr) {
      g_source_destroy(listener.source);
      g_source_unref(std::exchange(listener.source, nullptr));
    }
  }
}

}  // namespace carobrill
