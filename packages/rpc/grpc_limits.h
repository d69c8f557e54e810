#ifndef PACKAGES_RPC_GRPC_LIMITS_H_
#define PACKAGES_RPC_GRPC_LIMITS_H_

namespace carobrill::rpc::detail {

/// Largest message in either direction, in bytes.
inline constexpr int kMaxMessageBytes = 16 * 1024 * 1024;

/// Keepalive interval and timeout. A connection with open calls is pinged after
/// this time without traffic and closed if no response arrives within the same
/// time. Otherwise a connection cut by a network partition would stay in use
/// until TCP times out minutes later.
inline constexpr int kKeepaliveMs = 1'000;

/// The server treats pings at shorter intervals as abuse.
inline constexpr int kMinPingIntervalMs = 300;

inline constexpr int kInitialBackoffMs = 100;
inline constexpr int kMaxBackoffMs = 1'000;

}  // namespace carobrill::rpc::detail

#endif  // PACKAGES_RPC_GRPC_LIMITS_H_
