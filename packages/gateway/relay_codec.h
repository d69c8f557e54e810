#ifndef PACKAGES_GATEWAY_RELAY_CODEC_H_
#define PACKAGES_GATEWAY_RELAY_CODEC_H_

#include "packages/core/keyed_log.h"
#include "packages/rpc/log_relay.pb.h"

namespace carobrill::gateway {

/// @{
/// Encode and decode log calls that are sent to a peer. A deadline is sent as
/// the remaining time, since peers share no clock.
rpc::RelayRequest ToRelay(const KeyedAppend& append, Instant now);
rpc::RelayRequest ToRelay(const KeyedRead& read, Instant now);
rpc::RelayRequest ToRelay(const KeyedSnapshotRead& read, Instant now);
KeyedAppend AppendIn(const rpc::RelayRequest& request, Instant now);
KeyedRead ReadIn(const rpc::RelayRequest& request, Instant now);
KeyedSnapshotRead SnapshotReadIn(const rpc::RelayRequest& request, Instant now);
/// @}

/// @{
/// Encode and decode the replies of the log.
rpc::RelayReply ToRelay(const KeyedAppendReply& reply);
rpc::RelayReply ToRelay(const KeyedReadReply& reply);
rpc::RelayReply ToRelay(const KeyedSnapshotReply& reply);
void FromRelay(const rpc::RelayReply& message, KeyedAppendReply& reply);
void FromRelay(const rpc::RelayReply& message, KeyedReadReply& reply);
void FromRelay(const rpc::RelayReply& message, KeyedSnapshotReply& reply);
/// @}

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_RELAY_CODEC_H_
