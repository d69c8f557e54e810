#ifndef PACKAGES_WORKER_AGENT_EXCHANGE_CODEC_H_
#define PACKAGES_WORKER_AGENT_EXCHANGE_CODEC_H_

#include <vector>

#include "packages/rpc/worker_control.pb.h"
#include "packages/worker_agent/run_table.h"
#include "packages/workload/worker.h"

namespace carobrill::worker_agent {

/// True when the request's orders are for this incarnation of the worker.
bool NamesWorker(const rpc::ExchangeRequest& request,
                 const workload::WorkerIncarnation& worker);

/// Returns the runs that a planner orders.
std::vector<DesiredRun> DecodeOrders(const rpc::ExchangeRequest& request);

/// Returns a report of the worker without its runs. `last_crashed` is empty if
/// none has crashed. `lists_read_at` (boot clock) is when the worker returned
/// its lists.
rpc::ExchangeReply EncodeReport(const workload::WorkerDescription& description,
                                const workload::WorkerIncarnation& last_crashed,
                                Instant lists_read_at);

/// Adds the runs that the worker lists and the run ends.
void EncodeRuns(const RunTable& runs, rpc::ExchangeReply& reply);

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_EXCHANGE_CODEC_H_
