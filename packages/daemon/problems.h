#ifndef PACKAGES_DAEMON_PROBLEMS_H_
#define PACKAGES_DAEMON_PROBLEMS_H_

#include "packages/daemon/api_error.h"
#include "packages/ledger/proposal.h"
#include "packages/records/verdict.h"
#include "packages/requests/request_types.h"

namespace carobrill::daemon {

/// The problem that tells a caller why the fold rejected a record.
Problem ProblemOf(records::Verdict verdict);

/// The problem for a proposal whose verdict is not known, or which was never
/// written.
Problem ProblemOf(ledger::ProposalOutcome outcome);

/// The problem that tells a caller why a request has no answer.
Problem ProblemOf(const requests::Answer& answer);

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_PROBLEMS_H_
