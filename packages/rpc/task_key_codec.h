#ifndef PACKAGES_RPC_TASK_KEY_CODEC_H_
#define PACKAGES_RPC_TASK_KEY_CODEC_H_

#include "packages/rpc/worker_control.pb.h"
#include "packages/workload/job.h"

namespace carobrill::rpc {

/// @{
/// Conversion between a task key and its protobuf message.
TaskName ToProto(const workload::TaskKey& task);
workload::TaskKey FromProto(const TaskName& task);
/// @}

}  // namespace carobrill::rpc

#endif  // PACKAGES_RPC_TASK_KEY_CODEC_H_
