#include "packages/agent/identity.h"

namespace carobrill::agent {

bool IsAddressedTo(const Identity& self, const rpc::Peers& peers) {
  return peers.receiver() == self.instance.value &&
         peers.receiver_incarnation() == self.incarnation;
}

rpc::Peers PeersTo(const Identity& self,
                   const std::string& receiver,
                   Incarnation incarnation) {
  rpc::Peers peers;
  peers.set_sender(self.instance.value);
  peers.set_sender_incarnation(self.incarnation);
  peers.set_receiver(receiver);
  peers.set_receiver_incarnation(incarnation);
  return peers;
}

rpc::Peers PeersOfReply(const Identity& self, const rpc::Peers& request) {
  return PeersTo(self, request.sender(), request.sender_incarnation());
}

// A reply is matched to its call, so only the incarnations can be wrong. The
// names would take up a fifth of a heartbeat's bytes.
rpc::Peers IncarnationsOfReply(const Identity& self,
                               const rpc::Peers& request) {
  rpc::Peers peers;
  peers.set_sender_incarnation(self.incarnation);
  peers.set_receiver_incarnation(request.sender_incarnation());
  return peers;
}

}  // namespace carobrill::agent
