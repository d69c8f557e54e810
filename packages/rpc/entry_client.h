#ifndef PACKAGES_RPC_ENTRY_CLIENT_H_
#define PACKAGES_RPC_ENTRY_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "packages/core/task.h"
#include "packages/core/time.h"
#include "packages/rpc/channel_pool.h"
#include "packages/rpc/control.pb.h"
#include "packages/rpc/rpc_types.h"

namespace carobrill::rpc {

/// Calls entries by address ("ip:port"). Safe from any thread; callbacks
/// run on the owner's task. A call is sent at most once.
class EntryClient {
 public:
  /// `owner` and `channels` must outlive the client.
  EntryClient(Task& owner, ChannelPool& channels);

  /// Cancels the calls in flight; their callbacks do not run.
  ~EntryClient();

  EntryClient(const EntryClient&) = delete;
  EntryClient& operator=(const EntryClient&) = delete;

  void Announce(const std::string& address,
                const AnnounceRequest& request,
                Instant deadline,
                RpcCallback<AnnounceReply> callback);
  void ReportGang(const std::string& address,
                  const ReportGangRequest& request,
                  Instant deadline,
                  RpcCallback<ReportGangReply> callback);
  void ExchangeDigest(const std::string& address,
                      const DigestRequest& request,
                      Instant deadline,
                      RpcCallback<DigestReply> callback);

  /// Calls `on_chunk` for each chunk in order, then `on_end` once.
  void FetchState(const std::string& address,
                  const FetchStateRequest& request,
                  Instant deadline,
                  std::function<void(StateChunk)> on_chunk,
                  std::function<void(RpcStreamStatus)> on_end);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace carobrill::rpc

#endif  // PACKAGES_RPC_ENTRY_CLIENT_H_
