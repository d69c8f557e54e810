#ifndef PACKAGES_RPC_WORKER_CONTROL_CLIENT_H_
#define PACKAGES_RPC_WORKER_CONTROL_CLIENT_H_

#include <memory>
#include <string>

#include "packages/core/task.h"
#include "packages/core/time.h"
#include "packages/rpc/channel_pool.h"
#include "packages/rpc/rpc_types.h"
#include "packages/rpc/worker_control.pb.h"

namespace carobrill::rpc {

/// Calls worker agents by address ("ip:port"). Callbacks run on the
/// owner's task. A call is sent at most once.
class WorkerControlClient {
 public:
  /// `owner` and `channels` must outlive the client.
  WorkerControlClient(Task& owner, ChannelPool& channels);

  /// Cancels the calls in flight; their callbacks do not run.
  ~WorkerControlClient();

  WorkerControlClient(const WorkerControlClient&) = delete;
  WorkerControlClient& operator=(const WorkerControlClient&) = delete;

  /// Sends orders and receives the agent's report; fails at `deadline` (boot
  /// clock).
  void Exchange(const std::string& address,
                const ExchangeRequest& request,
                Instant deadline,
                RpcCallback<ExchangeReply> callback);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace carobrill::rpc

#endif  // PACKAGES_RPC_WORKER_CONTROL_CLIENT_H_
