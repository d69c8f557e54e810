#ifndef PACKAGES_RPC_GUARDED_LISTENER_H_
#define PACKAGES_RPC_GUARDED_LISTENER_H_

#include <gio/gio.h>
#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "packages/core/acceptor.h"
#include "packages/core/address_filter.h"
#include "packages/core/metrics.h"
#include "packages/core/refusal_counts.h"
#include "packages/core/result.h"
#include "packages/core/task.h"
#include "packages/rpc/call_budget.h"
#include "packages/rpc/http2_frames.h"
#include "packages/rpc/rpc_limits.h"
#include "packages/rpc/rpc_types.h"

namespace carobrill::rpc::detail {

/// Listens for a gRPC server. Each connection is passed on through a pair of
/// sockets, and is closed when a limit is exceeded. Runs on one task; all
/// functions may be called from any thread unless stated otherwise.
class GuardedListener {
 public:
  /// Takes ownership of a connected socket, on the task.
  using PassOn = std::function<void(int descriptor)>;

  /// `task` must outlive the listener. `metrics` may be null; otherwise it must
  /// outlive the listener.
  GuardedListener(Task& task,
                  const RpcLimits& limits,
                  MetricsRegistry* metrics);

  /// Delivers what the server has sent, as far as the clients accept it at
  /// once, and closes all connections.
  ~GuardedListener();

  GuardedListener(const GuardedListener&) = delete;
  GuardedListener& operator=(const GuardedListener&) = delete;

  /// Listens on an IP address; port 0 selects a free one. Returns the port.
  /// Fails with RpcListenError.
  Result<std::uint16_t> Listen(const std::string& address,
                               std::uint16_t port,
                               PassOn pass_on);

  /// Accepts no connections and passes none on from now on.
  void StopListening();

  /// The server holds a reply of `bytes`. `peer` is the peer of the call, as
  /// gRPC names it. Must be called on the task.
  void OnReply(const std::string& peer, std::size_t bytes);

 private:
  enum class Side { kClient, kServer };

  /// One direction of a connection.
  struct Direction {
    FrameReader frames;
    /// Waits for input of the sender, or until `unsent` can be sent.
    GSource* source = nullptr;
    std::string unsent;
  };

  struct Connection {
    RpcConnectionId id = 0;
    GSocket* client = nullptr;
    /// Our end of the pair; null until the preface has arrived.
    GSocket* server = nullptr;
    /// gRPC's end of the pair.
    int server_descriptor = -1;
    ino_t server_inode = 0;
    std::string preface;
    /// Not read until gRPC has released earlier connections.
    bool parked = false;
    Direction from_client;
    Direction from_server;
  };

  /// Our end of a pair whose client has gone. gRPC shuts its end down soon, and
  /// closes it once it has released the connection and its calls.
  struct Closing {
    GSocket* server = nullptr;
    /// Waits for the end to be shut down; null after that.
    GSource* source = nullptr;
    int server_descriptor = -1;
    ino_t server_inode = 0;
    /// Bytes that the connection held.
    std::size_t held = 0;
    Instant deadline;
  };

  struct SourceData {
    GuardedListener* listener;
    RpcConnectionId connection;
    Side sender;
  };

  static gboolean OnClosing(GSocket* socket,
                            GIOCondition condition,
                            gpointer data);
  static gboolean OnReady(GSocket* socket,
                          GIOCondition condition,
                          gpointer data);
  void Accept(GSocket* socket);
  void Advance(RpcConnectionId id, Side sender);
  bool Receive(Connection& connection, Side sender);
  bool OnClientBytes(Connection& connection, std::string_view bytes);
  bool OnServerBytes(Connection& connection, std::string_view bytes);
  bool ConnectServer(Connection& connection);
  bool Forward(Connection& connection, Side sender, std::string_view bytes);
  void Deliver(Connection& connection);
  bool SendUnsent(Connection& connection, Side sender);
  void Wait(Connection& connection, Side sender);
  Connection* Find(RpcConnectionId id);
  void Enforce();
  void Refuse(const RpcRefusal& refusal);
  void Close(RpcConnectionId id);
  void BeginClosing(const Connection& connection, std::size_t held);
  void EndReleased();
  void EndClosing(RpcConnectionId id);
  bool MustPark(const Connection& connection) const;
  void Sweep();
  void StartSweep();

  Task& task;
  CallBudget budget;
  AddressFilter filter;
  BootClock clock;
  PassOn pass_on;
  Acceptor acceptor;
  GSource* sweep = nullptr;
  /// Runs while ends of pairs in `closing` are shut down, but not closed.
  GSource* release_check = nullptr;
  std::unordered_map<RpcConnectionId, Connection> connections;
  std::unordered_map<RpcConnectionId, Closing> closing;
  /// Bytes that the connections in `closing` held.
  std::size_t closing_held = 0;
  std::unordered_map<int, RpcConnectionId> ids_by_descriptor;
  RefusalCounts<RpcRefusalReason> refusals;
};

}  // namespace carobrill::rpc::detail

#endif  // PACKAGES_RPC_GUARDED_LISTENER_H_
