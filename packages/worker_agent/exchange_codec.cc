#include "packages/worker_agent/exchange_codec.h"

#include <string>

#include "packages/rpc/task_key_codec.h"

namespace carobrill::worker_agent {
namespace {

void EncodeIncarnation(const workload::WorkerIncarnation& life,
                       rpc::WorkerIdentity& identity) {
  identity.set_id(life.id.value);
  identity.set_born_unix_ms(life.born_ms);
}

}  // namespace

bool NamesWorker(const rpc::ExchangeRequest& request,
                 const workload::WorkerIncarnation& worker) {
  return !request.worker().id().empty() &&
         request.worker().id() == worker.id.value &&
         request.worker().born_unix_ms() == worker.born_ms;
}

std::vector<DesiredRun> DecodeOrders(const rpc::ExchangeRequest& request) {
  std::vector<DesiredRun> desired;
  for (const auto& order : request.orders()) {
    desired.push_back(
        {rpc::FromProto(order.task()),
         order.run(),
         order.stop(),
         order.started(),
         order.payload(),
         order.checkpoint(),
         order.ticket(),
         {order.filler(), order.latency_target_ms()},
         {order.cpu_millis(), order.memory_mb(), order.accelerators()}});
  }
  return desired;
}

rpc::ExchangeReply EncodeReport(const workload::WorkerDescription& description,
                                const workload::WorkerIncarnation& last_crashed,
                                Instant lists_read_at) {
  const Instant now = BootClock{}.Now();
  rpc::ExchangeReply reply;
  reply.set_agent_clock_ms(now.ms);
  reply.set_running_age_ms(now.ms - lists_read_at.ms);
  EncodeIncarnation(description.incarnation, *reply.mutable_worker());
  reply.set_availability(static_cast<std::uint32_t>(description.availability));
  reply.set_service(description.service.value);
  reply.set_failure_domain(description.failure_domain.value);
  reply.set_rack(description.rack.value);
  for (const std::string& label : description.labels) {
    reply.add_labels(label);
  }
  reply.set_cpu_millis(description.capacity.cpu_millis);
  reply.set_memory_mb(description.capacity.memory_mb);
  reply.set_accelerators(description.capacity.accelerators);
  if (!last_crashed.id.empty()) {
    EncodeIncarnation(last_crashed, *reply.mutable_crashed_worker());
  }
  return reply;
}

void EncodeRuns(const RunTable& runs, rpc::ExchangeReply& reply) {
  for (const ListedRun& run : runs.Running()) {
    auto* message = reply.add_running();
    *message->mutable_task() = rpc::ToProto(run.task);
    message->set_run(run.run);
    message->set_percent(run.percent);
    message->set_checkpoint(run.checkpoint);
    message->set_usage(run.usage);
  }
  for (const ListedRunEnd& end : runs.Ends()) {
    auto* message = reply.add_ended();
    message->set_number(end.number);
    *message->mutable_task() = rpc::ToProto(end.task);
    message->set_run(end.run);
    message->set_end(static_cast<std::uint32_t>(end.end));
    message->set_checkpoint(end.checkpoint);
  }
}

}  // namespace carobrill::worker_agent
