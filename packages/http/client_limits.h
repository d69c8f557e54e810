#ifndef PACKAGES_HTTP_CLIENT_LIMITS_H_
#define PACKAGES_HTTP_CLIENT_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "packages/core/name_table.h"

namespace carobrill::http {

/// Default limit for the size of a request body.
inline constexpr std::size_t kDefaultMaxBodyBytes = std::size_t{8} << 20;

/// Limits for the clients of a server.
struct ClientLimits {
  /// Bytes that all connections together may hold in buffers.
  std::size_t max_held_bytes = std::size_t{256} << 20;
  std::size_t max_connections = 8'192;
  std::size_t max_connections_per_address = 8'192;
  /// Size of a request line with all header fields, and empty lines before it.
  std::size_t max_head_bytes = std::size_t{64} << 10;
  std::size_t max_body_bytes = kDefaultMaxBodyBytes;
  /// Time from the first byte of a head to its end.
  std::int64_t max_head_ms = 10'000;
  /// Time from the end of a head to the end of its body.
  std::int64_t max_body_ms = 60'000;
  /// Time in which a client reads a response.
  std::int64_t max_response_ms = 60'000;
};

/// Why a connection was closed or a request refused.
enum class RefusalReason {
  kHeldBytes,
  kConnections,
  kAddressConnections,
  kDescriptors,
  kHeadSize,
  kBodySize,
  kHeadDeadline,
  kBodyDeadline,
  kResponseDeadline,
};

constexpr auto NamesOf(RefusalReason) {
  return MakeNameTable<RefusalReason>({
      {RefusalReason::kHeldBytes, "held_bytes"},
      {RefusalReason::kConnections, "connections"},
      {RefusalReason::kAddressConnections, "address_connections"},
      {RefusalReason::kDescriptors, "descriptors"},
      {RefusalReason::kHeadSize, "head_size"},
      {RefusalReason::kBodySize, "body_size"},
      {RefusalReason::kHeadDeadline, "head_deadline"},
      {RefusalReason::kBodyDeadline, "body_deadline"},
      {RefusalReason::kResponseDeadline, "response_deadline"},
  });
}

}  // namespace carobrill::http

#endif  // PACKAGES_HTTP_CLIENT_LIMITS_H_
