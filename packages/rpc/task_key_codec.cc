#include "packages/rpc/task_key_codec.h"

namespace carobrill::rpc {

TaskName ToProto(const workload::TaskKey& task) {
  TaskName message;
  message.set_job(task.job.value);
  message.set_occurrence(task.occurrence);
  message.set_step(task.step);
  message.set_index(task.index);
  return message;
}

workload::TaskKey FromProto(const TaskName& task) {
  return {JobId(task.job()), task.occurrence(), task.step(), task.index()};
}

}  // namespace carobrill::rpc
