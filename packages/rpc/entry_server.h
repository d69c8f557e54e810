#ifndef PACKAGES_RPC_ENTRY_SERVER_H_
#define PACKAGES_RPC_ENTRY_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "packages/core/metrics.h"
#include "packages/core/result.h"
#include "packages/core/task.h"
#include "packages/rpc/control.pb.h"
#include "packages/rpc/rpc_limits.h"
#include "packages/rpc/rpc_types.h"
#include "packages/rpc/state_stream.h"

namespace carobrill::rpc {

/// Handlers for the calls of the service Entry; all run on the owner's task.
struct EntryHandlers {
  std::function<void(AnnounceRequest, Responder<AnnounceReply>)> announce;
  std::function<void(ReportGangRequest, Responder<ReportGangReply>)>
      report_gang;
  std::function<void(DigestRequest, Responder<DigestReply>)> exchange_digest;
  std::function<void(FetchStateRequest, StateStream)> fetch_state;
};

/// Serves the gRPC service Entry. A call without a handler fails with
/// UNIMPLEMENTED.
class EntryServer {
 public:
  /// `owner` must outlive the server, and `metrics` as well unless it is null.
  EntryServer(Task& owner,
              EntryHandlers handlers,
              const RpcLimits& limits = {},
              MetricsRegistry* metrics = nullptr);

  /// Ends the calls in flight. No handler runs afterwards.
  ~EntryServer();

  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  /// Listens on an IP address; port 0 selects a free one. Returns the port.
  /// Fails with RpcListenError.
  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

  /// Refuses new calls, lets the calls in flight finish until `deadline` (boot
  /// clock) and then cancels them. `done` runs on the owner's task.
  void Shutdown(Instant deadline, std::function<void()> done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace carobrill::rpc

#endif  // PACKAGES_RPC_ENTRY_SERVER_H_
