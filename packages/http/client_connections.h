#ifndef PACKAGES_HTTP_CLIENT_CONNECTIONS_H_
#define PACKAGES_HTTP_CLIENT_CONNECTIONS_H_

#include <gio/gio.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "packages/core/metrics.h"
#include "packages/core/refusal_counts.h"
#include "packages/core/time.h"
#include "packages/http/client_limits.h"
#include "packages/http/connection_budget.h"

namespace carobrill::http {

/// The connections of a server: closes those that its budget refuses. Used only
/// on the server's task.
class ClientConnections
    : public std::enable_shared_from_this<ClientConnections> {
 public:
  /// `metrics` may be null; otherwise it must outlive the connections.
  ClientConnections(const ClientLimits& limits, MetricsRegistry* metrics);

  /// Adds a connection and returns a new stream for it, whose reads are
  /// limited; null if the connection was refused. `remote` can be passed to
  /// IdOf later.
  GIOStream* Add(GSocket* socket, GSocketAddress* remote);

  /// Returns the connection that was added with `remote`, or 0.
  static ConnectionId IdOf(GSocketAddress* remote);

  /// Appends to the body of the current request of a connection. The body is
  /// released when the connection is closed.
  void AppendBody(ConnectionId id, const char* bytes, std::size_t size);

  /// Returns the body and removes it.
  std::string TakeBody(ConnectionId id);

  /// Reads the connection in smaller parts from now on, since its data takes
  /// much processor time.
  void ReadSlowly(ConnectionId id);

  /// Closes connections until all totals are kept.
  void Enforce();

  /// Closes the connection whose turn it is, if any.
  void CloseOne(RefusalReason reason);

  /// Closes connections whose deadline has passed, and logs what was refused.
  void Sweep();

  ConnectionBudget& Budget() { return this->budget; }

 private:
  struct Entry {
    GSocket* socket = nullptr;
    std::string body;
    bool read_slowly = false;
  };

  std::size_t BytesPerTurn(ConnectionId id) const;
  bool OnRead(ConnectionId id, std::size_t bytes);
  bool EndedIdle(ConnectionId id);
  void OnClosed(ConnectionId id);
  void Refuse(const Refusal& refusal);

  ConnectionBudget budget;
  BootClock clock;
  std::unordered_map<ConnectionId, Entry> entries;
  /// Refused connections that were idle and that libsoup has not released yet.
  std::unordered_set<ConnectionId> refused_idle;
  RefusalCounts<RefusalReason> refusals;
};

}  // namespace carobrill::http

#endif  // PACKAGES_HTTP_CLIENT_CONNECTIONS_H_
