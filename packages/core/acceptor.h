#ifndef PACKAGES_CORE_ACCEPTOR_H_
#define PACKAGES_CORE_ACCEPTOR_H_

#include <gio/gio.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace carobrill {

/// Returns the IP address of a client as text; empty for other addresses.
std::string IpAddressOf(GSocketAddress* address);

/// What an acceptor reports, on the thread of its context.
struct AcceptorHandlers {
  /// A connection was accepted; the handler takes a reference if it keeps it.
  std::function<void(GSocket* connection)> on_connection;
  /// The process or the system has no descriptor left.
  std::function<void()> on_exhausted;
};

/// Listens and accepts connections. Used only on the thread of its context.
class Acceptor {
 public:
  Acceptor(GMainContext* context, AcceptorHandlers handlers);

  /// Stops listening.
  ~Acceptor();

  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  /// Listens on an address and returns the port; 0 with `error` on failure.
  std::uint16_t Listen(GSocketAddress* address, GError** error);

  /// Accepts again after on_exhausted.
  void Resume();

  void StopListening();

 private:
  struct Listener {
    GSocket* socket = nullptr;
    /// Null while accepting is suspended.
    GSource* source = nullptr;
  };

  static gboolean OnReadable(GSocket* socket,
                             GIOCondition condition,
                             gpointer data);
  bool Accept(GSocket* socket);
  void Suspend();

  GMainContext* context;
  AcceptorHandlers handlers;
  std::vector<Listener> listeners;
};

}  // namespace carobrill

#endif  // PACKAGES_CORE_ACCEPTOR_H_
