#ifndef PACKAGES_DAEMON_ENTRY_SESSION_H_
#define PACKAGES_DAEMON_ENTRY_SESSION_H_

#include "packages/core/task_scheduler.h"
#include "packages/daemon/replicated_state.h"
#include "packages/ledger/log_session.h"
#include "packages/platform/log_client.h"

namespace carobrill::daemon {

/// Log session that maintains the replicated state of an entry.
using EntrySession =
    ledger::LogSession<platform::LogClient, ReplicatedState, TaskScheduler>;

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_ENTRY_SESSION_H_
