#ifndef PACKAGES_GATEWAY_RELAY_CODEC_H_
#define PACKAGES_GATEWAY_RELAY_CODEC_H_

#include "packages/core/keyed_log.h"
#include "packages/rpc/log_relay.pb.h"

namespace carobrill::gateway {

/// @{
/// Encode and decode log calls that are sent to a peer. A deadline is sent as
/// the remaining time, since peers share no clock.
rpc::RelayRequest ToRelayMessage(const KeyedAppend& append, Instant now);
rpc::RelayRequest ToRelayMessage(const KeyedRead& read, Instant now);
rpc::RelayRequest ToRelayMessage(const KeyedSnapshotRead& read, Instant now);
KeyedAppend DecodeAppend(const rpc::RelayRequest& request, Instant now);
KeyedRead DecodeRead(const rpc::RelayRequest& request, Instant now);
KeyedSnapshotRead DecodeSnapshotRead(const rpc::RelayRequest& request,
                                     Instant now);
/// @}

/// @{
/// Encode and decode the replies of the log.
rpc::RelayReply ToRelayMessage(const KeyedAppendReply& reply);
rpc::RelayReply ToRelayMessage(const KeyedReadReply& reply);
rpc::RelayReply ToRelayMessage(const KeyedSnapshotReply& reply);
void FromRelayMessage(const rpc::RelayReply& message, KeyedAppendReply& reply);
void FromRelayMessage(const rpc::RelayReply& message, KeyedReadReply& reply);
void FromRelayMessage(const rpc::RelayReply& message,
                      KeyedSnapshotReply& reply);
/// @}

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_RELAY_CODEC_H_
