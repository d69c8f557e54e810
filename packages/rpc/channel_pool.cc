#include "packages/rpc/channel_pool.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

#include "packages/rpc/grpc_limits.h"

namespace carobrill::rpc {
namespace {

constexpr std::int64_t kIdleTimeoutMs = 10LL * 60 * 1000;

// gRPC's retries are disabled, because an attempt that is not idempotent must
// not be sent twice. The subchannel pool is local, so that pools in the same
// process share no connection state.
grpc::ChannelArguments MakeChannelArguments() {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   detail::kInitialBackoffMs);
  // This is also the timeout of one connection attempt.
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, detail::kMaxBackoffMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, detail::kMaxBackoffMs);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, detail::kKeepaliveMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, detail::kKeepaliveMs);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(detail::kMaxMessageBytes);
  arguments.SetMaxSendMessageSize(detail::kMaxMessageBytes);
  return arguments;
}

}  // namespace

std::shared_ptr<grpc::Channel> ChannelPool::Get(const std::string& address) {
  const Instant now = BootClock{}.Now();
  const std::lock_guard lock(this->mutex);
  auto found = this->entries.find(address);
  if (found == this->entries.end()) {
    this->CloseIdle(now);
    auto channel = grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), MakeChannelArguments());
    found = this->entries.emplace(address, Entry{std::move(channel), {}}).first;
  }
  found->second.idle_deadline = now.After(kIdleTimeoutMs);
  return found->second.channel;
}

void ChannelPool::Remove(const std::string& address) {
  const std::lock_guard lock(this->mutex);
  this->entries.erase(address);
}

void ChannelPool::CloseIdle(Instant now) {
  std::erase_if(this->entries, [now](const auto& item) {
    return item.second.idle_deadline <= now;
  });
}

}  // namespace carobrill::rpc
