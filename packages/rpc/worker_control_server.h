#ifndef PACKAGES_RPC_WORKER_CONTROL_SERVER_H_
#define PACKAGES_RPC_WORKER_CONTROL_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "packages/core/metrics.h"
#include "packages/core/result.h"
#include "packages/core/task.h"
#include "packages/rpc/rpc_limits.h"
#include "packages/rpc/rpc_types.h"
#include "packages/rpc/worker_control.pb.h"

namespace carobrill::rpc {

/// Handler for the calls to a worker agent; runs on the owner's task.
struct WorkerControlHandlers {
  std::function<void(ExchangeRequest, Responder<ExchangeReply>)> exchange;
};

/// Serves the gRPC service WorkerControl.
class WorkerControlServer {
 public:
  /// `owner` must outlive the server, and `metrics` as well unless it is null.
  WorkerControlServer(Task& owner,
                      WorkerControlHandlers handlers,
                      const RpcLimits& limits = {},
                      MetricsRegistry* metrics = nullptr);

  /// Ends the calls in flight. No handler runs afterwards.
  ~WorkerControlServer();

  WorkerControlServer(const WorkerControlServer&) = delete;
  WorkerControlServer& operator=(const WorkerControlServer&) = delete;

  /// Listens on an IP address; port 0 selects a free one. Returns the port.
  /// Fails with RpcListenError.
  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace carobrill::rpc

#endif  // PACKAGES_RPC_WORKER_CONTROL_SERVER_H_
