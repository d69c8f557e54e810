#ifndef PACKAGES_RPC_RPC_LIMITS_H_
#define PACKAGES_RPC_RPC_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "packages/core/name_table.h"

namespace carobrill::rpc {

/// Limits for the clients of a gRPC server.
struct RpcLimits {
  /// Networks whose clients may connect, see AddressFilter; none allows all.
  std::vector<std::string> networks;
  /// Bytes that all connections together may hold: unfinished requests, and
  /// replies that were not read.
  std::size_t max_held_bytes = std::size_t{128} << 20;
  std::size_t max_connections = 1'024;
  std::size_t max_connections_per_address = 1'024;
  /// Calls without a reply, of all connections.
  std::size_t max_calls = 4'096;
  std::size_t max_calls_per_connection = 1'024;
  /// Header fields of a call, encoded. gRPC refuses more than 8 KiB.
  std::size_t max_head_bytes = std::size_t{32} << 10;
  /// Frames without content (pings, settings, empty data) that a connection may
  /// send in a second. gRPC answers each; a client sends a few.
  std::size_t max_empty_frames = 100;
  /// Time for the first bytes of a connection and for the header fields of a
  /// call.
  std::int64_t max_head_ms = 10'000;
  /// Time from the header fields of a call to the end of its request.
  std::int64_t max_request_ms = 60'000;
  /// Time in which a client reads a reply.
  std::int64_t max_reply_ms = 60'000;
};

/// Why a connection of a gRPC server was closed.
enum class RpcRefusalReason {
  kHeldBytes,
  kConnections,
  kAddressConnections,
  kDescriptors,
  kCalls,
  kConnectionCalls,
  kNetwork,
  kProtocol,
  kHeadSize,
  kFrames,
  kHeadDeadline,
  kRequestDeadline,
  kReplyDeadline,
};

constexpr auto NamesOf(RpcRefusalReason) {
  return MakeNameTable<RpcRefusalReason>({
      {RpcRefusalReason::kHeldBytes, "held_bytes"},
      {RpcRefusalReason::kConnections, "connections"},
      {RpcRefusalReason::kAddressConnections, "address_connections"},
      {RpcRefusalReason::kDescriptors, "descriptors"},
      {RpcRefusalReason::kCalls, "calls"},
      {RpcRefusalReason::kConnectionCalls, "connection_calls"},
      {RpcRefusalReason::kNetwork, "network"},
      {RpcRefusalReason::kProtocol, "protocol"},
      {RpcRefusalReason::kHeadSize, "head_size"},
      {RpcRefusalReason::kFrames, "frames"},
      {RpcRefusalReason::kHeadDeadline, "head_deadline"},
      {RpcRefusalReason::kRequestDeadline, "request_deadline"},
      {RpcRefusalReason::kReplyDeadline, "reply_deadline"},
  });
}

}  // namespace carobrill::rpc

#endif  // PACKAGES_RPC_RPC_LIMITS_H_
