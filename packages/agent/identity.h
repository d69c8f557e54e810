#ifndef PACKAGES_AGENT_IDENTITY_H_
#define PACKAGES_AGENT_IDENTITY_H_

#include <string>

#include "packages/core/ids.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::agent {

/// What an agent is called and what it stands beside.
struct Identity {
  InstanceId instance;
  Incarnation incarnation = 0;
  ServiceId service;
  WorkerId worker;
};

/// True when a message is addressed to this very incarnation.
bool IsAddressedTo(const Identity& self, const rpc::Peers& peers);

/// The addresses of a message from `self` to another process.
rpc::Peers PeersTo(const Identity& self,
                   const std::string& receiver,
                   Incarnation incarnation);

/// The addresses of the reply to a message.
rpc::Peers PeersOfReply(const Identity& self, const rpc::Peers& request);

/// The addresses of a reply without names, for frequent small replies.
rpc::Peers IncarnationsOfReply(const Identity& self, const rpc::Peers& request);

}  // namespace carobrill::agent

#endif  // PACKAGES_AGENT_IDENTITY_H_
