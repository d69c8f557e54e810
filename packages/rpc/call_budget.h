#ifndef PACKAGES_RPC_CALL_BUDGET_H_
#define PACKAGES_RPC_CALL_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "packages/core/time.h"
#include "packages/rpc/http2_frames.h"
#include "packages/rpc/rpc_limits.h"

namespace carobrill::rpc {

/// Number of a connection, unique in its budget.
using RpcConnectionId = std::uint64_t;

/// A connection that must be closed.
struct RpcRefusal {
  RpcConnectionId connection = 0;
  RpcRefusalReason reason = RpcRefusalReason::kHeldBytes;
};

/// Accounts for the connections of a gRPC server and their calls, and decides
/// which connections must be closed. Calls for an unknown connection have no
/// effect.
class CallBudget {
 public:
  explicit CallBudget(const RpcLimits& limits);

  /// Adds a connection of a client address.
  RpcConnectionId Open(const std::string& address, Instant now);

  /// Removes a connection that has ended.
  void Close(RpcConnectionId connection);

  /// The preface has arrived.
  void OnPreface(RpcConnectionId connection);

  /// Accounts for a frame that the client sends, including its payload. Returns
  /// a refusal if the connection exceeds a limit of its own.
  std::optional<RpcRefusal> OnClientFrame(RpcConnectionId connection,
                                          const FrameHeader& frame,
                                          Instant now);

  /// Accounts for a frame that the server sends.
  void OnServerFrame(RpcConnectionId connection,
                     const FrameHeader& frame,
                     Instant now);

  /// The server holds a reply of `bytes` until the client reads it.
  void OnReply(RpcConnectionId connection, std::size_t bytes);

  /// Whether the client has stopped to read.
  void OnBlocked(RpcConnectionId connection, bool blocked, Instant now);

  /// Returns the next connection to close while a total is exceeded.
  std::optional<RpcRefusal> NextOverBudget(Instant now) const;

  /// Returns the connection to close if the process is out of `reason`.
  std::optional<RpcRefusal> NextFor(RpcRefusalReason reason, Instant now) const;

  /// Forgets calls that were given up long enough ago, and returns all
  /// connections whose deadline has passed. Must be called once a second.
  std::vector<RpcRefusal> Expire(Instant now);

  /// Bytes held for one connection.
  std::size_t HeldBytes(RpcConnectionId connection) const;

  const RpcLimits& Limits() const { return this->limits; }
  std::size_t HeldBytes() const { return this->held_bytes; }
  std::size_t Calls() const { return this->calls; }
  std::size_t Connections() const { return this->connections.size(); }

 private:
  enum class CallPhase {
    /// The request is not complete.
    kRequest,
    kHandling,
    /// The client has given up the call; the server may still work on it.
    kAbandoned,
  };

  struct Call {
    CallPhase phase = CallPhase::kRequest;
    std::size_t held = 0;
    /// The server has begun to send a reply.
    bool replied = false;
    Instant deadline;
  };

  struct Connection {
    std::string address;
    /// When the connection was opened, or its last call succeeded.
    Instant since;
    bool served = false;
    /// Deadline for the preface or the header fields being received.
    Instant head_deadline;
    Instant reply_deadline = Instant::Never();
    std::size_t head_bytes = 0;
    /// Frames without content since the last call of Expire.
    std::size_t empty_frames = 0;
    std::uint32_t last_stream = 0;
    std::size_t open_calls = 0;
    std::size_t held = 0;
    /// Part of `held` for replies that were not read.
    std::size_t reply_bytes = 0;
    std::map<std::uint32_t, Call> calls;
  };

  using CallEntry = std::map<std::uint32_t, Call>::iterator;

  Connection* Find(RpcConnectionId connection);
  std::optional<RpcRefusalReason> OnHead(Connection& connection,
                                         const FrameHeader& frame,
                                         Instant now);
  void BeginCall(Connection& connection, std::uint32_t stream, Instant now);
  void AbandonCall(Connection& connection, Call& call, Instant now);
  CallEntry RemoveCall(Connection& connection, CallEntry call);
  void Hold(Connection& connection, std::size_t bytes);
  void Release(Connection& connection, std::size_t bytes);
  static std::optional<RpcRefusalReason> ExpiredDeadline(
      const Connection& connection,
      Instant now);
  static std::size_t Used(RpcRefusalReason reason,
                          const Connection& connection);
  std::optional<RpcRefusal> Choose(RpcRefusalReason reason,
                                   std::size_t limit,
                                   const std::string* address,
                                   Instant now) const;

  RpcLimits limits;
  std::unordered_map<RpcConnectionId, Connection> connections;
  std::unordered_map<std::string, std::size_t> count_by_address;
  /// Address of the newest connection, the only one that can exceed its limit.
  std::string newest_address;
  RpcConnectionId last_id = 0;
  std::size_t held_bytes = 0;
  /// Calls of all connections.
  std::size_t calls = 0;
};

}  // namespace carobrill::rpc

#endif  // PACKAGES_RPC_CALL_BUDGET_H_
