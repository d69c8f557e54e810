#ifndef PACKAGES_DAEMON_WORKER_REGISTRAR_H_
#define PACKAGES_DAEMON_WORKER_REGISTRAR_H_

#include <map>

#include "packages/core/time.h"
#include "packages/daemon/entry_session.h"
#include "packages/daemon/proposer.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::daemon {

/// Registers the workers whose agents announce themselves to this entry, and
/// drains those whose agents are leaving. Used on the entry's task only.
class WorkerRegistrar {
 public:
  WorkerRegistrar(EntrySession& session, Proposer& proposer)
      : session(session), proposer(proposer) {}

  /// Handles an accepted announcement.
  void OnAnnounce(const rpc::AnnounceRequest& announcement, Instant now);

 private:
  bool AllowProposal(const WorkerId& worker, Instant now);
  void Register(const rpc::AnnounceRequest& announcement, Instant now);
  void Drain(const scheduling::Worker& worker, Instant now);

  EntrySession& session;
  Proposer& proposer;
  /// Earliest time of the next proposal, by worker.
  std::map<WorkerId, Instant> next_proposal_at;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_WORKER_REGISTRAR_H_
