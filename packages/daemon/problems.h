#ifndef PACKAGES_DAEMON_PROBLEMS_H_
#define PACKAGES_DAEMON_PROBLEMS_H_

#include "packages/daemon/api_error.h"
#include "packages/ledger/proposal.h"
#include "packages/records/verdict.h"
#include "packages/requests/request_types.h"

namespace carobrill::daemon {

/// Converts the verdict on a rejected record to an API error.
Problem ToProblem(records::Verdict verdict);

/// Converts the outcome of a proposal that was not written, or whose verdict is
/// unknown, to an API error.
Problem ToProblem(ledger::ProposalOutcome outcome);

/// Converts the failure of a request to an API error.
Problem ToProblem(const requests::Answer& answer);

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_PROBLEMS_H_
