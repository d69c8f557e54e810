#ifndef PACKAGES_DAEMON_GANG_REPORTS_H_
#define PACKAGES_DAEMON_GANG_REPORTS_H_

#include "packages/core/time.h"
#include "packages/daemon/entry_session.h"
#include "packages/daemon/proposer.h"
#include "packages/rpc/control.pb.h"
#include "packages/rpc/rpc_types.h"

namespace carobrill::daemon {

/// Brings the reports of watchers into the log. Any entry does so, whether it
/// plans or not: a report that two entries propose costs a rejected record.
/// Used on the entry's task only.
class GangReports {
 public:
  GangReports(EntrySession& session, Proposer& proposer)
      : session(session), proposer(proposer) {}

  /// Takes a report; the reply says "recorded" once the log decided it.
  void OnReport(const rpc::GangReport& report,
                rpc::Responder<rpc::ReportGangReply> respond);

 private:
  bool IsSettled(const rpc::GangReport& report) const;

  EntrySession& session;
  Proposer& proposer;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_GANG_REPORTS_H_
