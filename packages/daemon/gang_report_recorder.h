#ifndef PACKAGES_DAEMON_GANG_REPORT_RECORDER_H_
#define PACKAGES_DAEMON_GANG_REPORT_RECORDER_H_

#include "packages/core/time.h"
#include "packages/daemon/entry_session.h"
#include "packages/daemon/proposer.h"
#include "packages/rpc/control.pb.h"
#include "packages/rpc/rpc_types.h"

namespace carobrill::daemon {

/// Writes the reports of gang watchers to the log. Every entry does this, not
/// only the planning one. If two entries propose the same report, the log gets
/// an additional record that is rejected. Used on the entry's task only.
class GangReportRecorder {
 public:
  GangReportRecorder(EntrySession& session, Proposer& proposer)
      : session(session), proposer(proposer) {}

  /// Handles a report. The reply says whether the log has recorded it or it is
  /// obsolete. If a record has to be proposed, the reply is sent when the
  /// record is decided.
  void OnReport(const rpc::GangReport& report,
                rpc::Responder<rpc::ReportGangReply> respond);

 private:
  bool IsRecorded(const rpc::GangReport& report) const;

  EntrySession& session;
  Proposer& proposer;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_GANG_REPORT_RECORDER_H_
