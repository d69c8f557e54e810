#ifndef PACKAGES_WORKER_AGENT_EXCHANGE_CODEC_H_
#define PACKAGES_WORKER_AGENT_EXCHANGE_CODEC_H_

#include <vector>

#include "packages/rpc/worker_control.pb.h"
#include "packages/worker_agent/run_table.h"
#include "packages/workload/worker.h"

namespace carobrill::worker_agent {

/// Returns the runs that a planner orders.
std::vector<DesiredRun> DecodeOrders(const rpc::ExchangeRequest& request);

/// Sets the fields that describe the worker, except its availability.
/// `last_crashed` is empty if none has crashed.
void EncodeDescription(const workload::WorkerDescription& description,
                       const workload::WorkerIncarnation& last_crashed,
                       rpc::ExchangeReply& reply);

/// Adds the runs that the worker lists and the run ends.
void EncodeRuns(const RunTable& runs, rpc::ExchangeReply& reply);

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_EXCHANGE_CODEC_H_
