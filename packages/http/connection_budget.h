#ifndef PACKAGES_HTTP_CONNECTION_BUDGET_H_
#define PACKAGES_HTTP_CONNECTION_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "packages/core/time.h"
#include "packages/http/client_limits.h"

namespace carobrill::http {

/// What a connection is doing.
enum class ConnectionPhase {
  /// No byte of a request has arrived.
  kIdle,
  kHead,
  kBody,
  /// The handler has the request, and the response is pending.
  kHandling,
  kResponse,
};

/// Number of a connection, unique in its budget.
using ConnectionId = std::uint64_t;

/// A connection that must be closed.
struct Refusal {
  ConnectionId connection = 0;
  RefusalReason reason = RefusalReason::kHeldBytes;
  /// Phase in which the connection was.
  ConnectionPhase phase = ConnectionPhase::kIdle;
  /// False if the connection has not completed a request.
  bool served = false;
};

/// Accounts for the connections of a server and decides which of them must be
/// closed. Calls for an unknown connection have no effect.
class ConnectionBudget {
 public:
  explicit ConnectionBudget(const ClientLimits& limits);

  /// Adds a connection of a client address.
  ConnectionId Open(const std::string& address, Instant now);

  /// Removes a connection that has ended.
  void Close(ConnectionId connection);

  /// Accounts for bytes that arrived, which are held while they belong to a
  /// head. The first byte after an idle phase begins a head. Returns a refusal
  /// if the request exceeds a size limit.
  std::optional<Refusal> OnBytes(ConnectionId connection,
                                 std::size_t bytes,
                                 Instant now);

  /// The head is complete, and the body follows.
  void OnHead(ConnectionId connection, Instant now);

  /// The part of the body that has arrived takes `bytes` of memory.
  void OnBody(ConnectionId connection, std::size_t bytes);

  /// The body exceeds its limit and is discarded from now on.
  void OnBodyDiscarded(ConnectionId connection);

  /// The request is complete and no longer holds its body.
  void OnRequest(ConnectionId connection);

  /// A response of `bytes` is ready to be written.
  void OnResponse(ConnectionId connection, std::size_t bytes, Instant now);

  /// The response is written completely.
  void OnFinished(ConnectionId connection, Instant now);

  /// Returns the next connection to close while a total is exceeded.
  std::optional<Refusal> NextOverBudget(Instant now) const;

  /// Returns the connection to close if the process is out of `reason`.
  std::optional<Refusal> NextFor(RefusalReason reason, Instant now) const;

  /// Returns all connections whose deadline has passed.
  std::vector<Refusal> Expired(Instant now) const;

  /// True if the connection has served requests and waits for another one.
  bool IsIdle(ConnectionId connection) const;

  void SetMaxBodyBytes(std::size_t bytes);

  const ClientLimits& Limits() const { return this->limits; }
  std::size_t HeldBytes() const { return this->held_bytes; }
  std::size_t Connections() const { return this->connections.size(); }

 private:
  struct Connection {
    std::string address;
    ConnectionPhase phase = ConnectionPhase::kIdle;
    /// Start of the current request or response, or of the idle phase.
    Instant since;
    Instant deadline = Instant::Never();
    /// Bytes received since the start of the request.
    std::size_t received = 0;
    std::size_t held = 0;
    std::size_t head_bytes = 0;
    bool served = false;
  };

  Connection* Find(ConnectionId connection);
  void SetHeld(Connection& connection, std::size_t bytes);
  std::size_t MaxReceivedBytes() const;
  std::optional<Refusal> Choose(RefusalReason reason,
                                const std::string* address,
                                Instant now) const;

  ClientLimits limits;
  std::unordered_map<ConnectionId, Connection> connections;
  std::unordered_map<std::string, std::size_t> count_by_address;
  /// Address of the newest connection, the only one that can exceed its limit.
  std::string newest_address;
  ConnectionId last_id = 0;
  std::size_t held_bytes = 0;
};

}  // namespace carobrill::http

#endif  // PACKAGES_HTTP_CONNECTION_BUDGET_H_
