#ifndef PACKAGES_RPC_CHANNEL_POOL_H_
#define PACKAGES_RPC_CHANNEL_POOL_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "packages/core/time.h"

namespace grpc {
class Channel;
}  // namespace grpc

namespace carobrill::rpc {

/// Keeps one gRPC channel per peer address ("ip:port"). Thread-safe. A channel
/// that was not requested for ten minutes is closed when another is created.
class ChannelPool {
 public:
  ChannelPool() = default;
  ChannelPool(const ChannelPool&) = delete;
  ChannelPool& operator=(const ChannelPool&) = delete;

  /// Returns the channel to `address`. It reconnects with a backoff of at most
  /// 1 s.
  std::shared_ptr<grpc::Channel> Get(const std::string& address);

  /// Removes the channel to `address`; it closes once its calls have ended.
  void Remove(const std::string& address);

 private:
  struct Entry {
    std::shared_ptr<grpc::Channel> channel;
    Instant idle_deadline;
  };

  void CloseIdle(Instant now);

  std::mutex mutex;
  std::map<std::string, Entry> entries;
};

}  // namespace carobrill::rpc

#endif  // PACKAGES_RPC_CHANNEL_POOL_H_
