#ifndef PACKAGES_AGENT_IDENTITY_H_
#define PACKAGES_AGENT_IDENTITY_H_

#include <string>

#include "packages/core/ids.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::agent {

/// Identity of an agent, with the service and worker that it manages.
struct Identity {
  InstanceId instance;
  Incarnation incarnation = 0;
  ServiceId service;
  WorkerId worker;
};

/// True when a message is addressed to this instance and incarnation.
bool IsAddressedTo(const Identity& self, const rpc::Peers& peers);

/// Returns sender and receiver of a message from `self` to another process.
rpc::Peers PeersTo(const Identity& self,
                   const std::string& receiver,
                   Incarnation incarnation);

/// Returns sender and receiver of the reply to a message.
rpc::Peers PeersOfReply(const Identity& self, const rpc::Peers& request);

/// Returns only the incarnations of sender and receiver, for frequent small
/// replies.
rpc::Peers IncarnationsOfReply(const Identity& self, const rpc::Peers& request);

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_IDENTITY_H_
