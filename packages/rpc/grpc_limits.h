#ifndef PACKAGES_RPC_GRPC_LIMITS_H_
#define PACKAGES_RPC_GRPC_LIMITS_H_

namespace carobrill::rpc::detail {

/// Largest message in either direction, in bytes.
inline constexpr int kMaxMessageBytes = 16 * 1024 * 1024;

/// A connection with open calls is probed after this silence, and is closed
/// when the probe is not answered as long. Without it, a connection that a
/// partition cut would stay in use until TCP gives up, minutes later.
inline constexpr int kKeepaliveMs = 1'000;

/// Probes that arrive more often than this count as abuse.
inline constexpr int kMinPingIntervalMs = 300;

inline constexpr int kInitialBackoffMs = 100;
inline constexpr int kMaxBackoffMs = 1'000;

}  // namespace carobrill::rpc::detail

#endif  // PACKAGES_RPC_GRPC_LIMITS_H_
