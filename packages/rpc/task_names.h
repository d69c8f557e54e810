#ifndef PACKAGES_RPC_TASK_NAMES_H_
#define PACKAGES_RPC_TASK_NAMES_H_

#include "packages/rpc/worker_control.pb.h"
#include "packages/workload/job.h"

namespace carobrill::rpc {

/// @{
/// The name of a task in messages between planner and agents.
TaskName ToMessage(const workload::TaskKey& task);
workload::TaskKey FromMessage(const TaskName& task);
/// @}

}  // namespace carobrill::rpc

#endif  // PACKAGES_RPC_TASK_NAMES_H_
